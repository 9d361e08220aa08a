package controlnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/duty"
	"larchrouter/internal/tier/lease"
	"larchrouter/internal/tier/orders"
)

// Names of the singleton duties in the settings.
const (
	usageDutyName = "usage_report"
	scaleDutyName = "autoscale"
)

// Intervals and time-outs of the duties.
const (
	dutyInterval    = 200 * time.Millisecond // between two looks for what is due
	dutyCallTimeout = 2500 * time.Millisecond
	minCallBackoff  = 200 * time.Millisecond
	maxCallBackoff  = 2 * time.Second
)

// tokenBaseShift leaves room for the epochs of a control plane below its token base: the seconds since 1970 at which its first
// token was made, shifted by so many bits.
const tokenBaseShift = 20

// dutyRunner carries out the singleton duties while this node has the lease. One goroutine owns it.
type dutyRunner struct {
	server    *Server
	client    *duty.Client
	tokenBase int64 // 0 until it is known
	heldEpoch int64 // of the grant of the last step; 0 for none
	usage     *usageDuty
	scale     *scaleDuty
}

// runDuties carries out the duties that the settings name, until the server stops.
func (s *Server) runDuties() {
	if s.settings.Platform.Address == "" || len(s.settings.Platform.Duties) == 0 {
		return
	}
	d := &dutyRunner{server: s}
	d.client = duty.NewClient(s.settings.Platform.Address, s.self.Name, d.mayAct)
	defer d.client.Close()
	if s.settings.HasDuty(usageDutyName) {
		d.usage = newUsageDuty(d)
	}
	if s.settings.HasDuty(scaleDutyName) {
		d.scale = newScaleDuty(d)
	}
	for s.ctx.Err() == nil {
		d.step()
		d.publishSnapshot()
		s.sleep(dutyInterval)
	}
}

// step does what is due, if this node has the lease.
func (d *dutyRunner) step() {
	grant := d.server.heldGrant()
	if grant == nil {
		d.heldEpoch = 0
		return
	}
	if d.heldEpoch == 0 {
		if d.usage != nil {
			d.usage.begin()
		}
		if d.scale != nil {
			d.scale.begin()
		}
	}
	d.heldEpoch = grant.epoch
	if d.tokenBase == 0 && !d.readTokenBase() {
		return
	}
	if d.usage != nil {
		d.usage.step(grant)
	}
	if d.scale != nil {
		d.scale.step(grant)
	}
}

// readTokenBase sets the token base, and records one if there is none. It reports whether there is one that is committed.
func (d *dutyRunner) readTokenBase() bool {
	base := d.server.trueNow().Unix() << tokenBaseShift
	if _, err := d.server.decideAtHead(d.server.ctx, orders.RecordTokenBase{Base: base}); err != nil {
		return false
	}
	query := &dutyStateQuery{}
	if !d.server.runOnLoop(query) || query.state == nil {
		return false
	}
	d.tokenBase, _ = query.state.TokenBase()
	return d.tokenBase != 0
}

// dutyStateQuery reads the committed state of the duties.
type dutyStateQuery struct {
	state *orders.State // nil if it cannot be decoded
}

func (q *dutyStateQuery) handle(s *Server) {
	q.state, _ = orders.ReadState(s.node.Chain().Committed(0), s.settings.FaultTolerance())
}

// token returns the fencing token of a grant.
func (d *dutyRunner) token(grant *dutyGrant) int64 { return d.tokenBase + grant.epoch }

// mayAct is the fence of the client: the token is that of the grant that this node has now.
func (d *dutyRunner) mayAct(token int64) bool {
	grant := d.server.heldGrant()
	return grant != nil && token == d.token(grant)
}

// post makes a call under a grant. It steps down if the platform has seen a higher token.
func (d *dutyRunner) post(grant *dutyGrant, path string, body []byte) (duty.Outcome, error) {
	start := &dutyCallRequest{call: &lease.Call{Epoch: grant.epoch}}
	if !d.server.runOnLoop(start) {
		d.server.endDutyCall(start.call) // its start may have been noted before the disk was found full
		return duty.NotSent, errStopping
	}
	if !start.held {
		return duty.NotSent, errLeaseLost
	}
	defer d.server.endDutyCall(start.call)
	ctx, cancel := context.WithTimeout(d.server.ctx, dutyCallTimeout)
	defer cancel()
	startedAt := time.Now()
	outcome, err := d.client.Post(ctx, path, d.token(grant), body)
	d.server.taskCalls.record(path, d.token(grant), outcome, body)
	if outcome != duty.Accepted {
		d.server.log.Info("call to the platform", "path", path, "token", d.token(grant), "outcome", outcome,
			"ms", time.Since(startedAt).Milliseconds(), "err", err)
	}
	if outcome == duty.Refused {
		d.server.log.Error("the platform has seen a higher fencing token; this node does not act in this epoch any more",
			"epoch", grant.epoch, "token", d.token(grant))
		d.server.repeatOnLoop(&leaseRefusedRequest{epoch: grant.epoch})
	}
	return outcome, err
}

// callBackoff spaces the repetitions of a call without a clear answer.
type callBackoff struct {
	failures int
	next     time.Time
}

// ready reports whether a call may be made.
func (b *callBackoff) ready(now time.Time) bool { return !now.Before(b.next) }

// failed notes a call without a clear answer.
func (b *callBackoff) failed(now time.Time) {
	pause := min(maxCallBackoff, minCallBackoff<<min(b.failures, 10))
	b.failures++
	b.next = now.Add(pause)
}

// succeeded notes a call with a clear answer.
func (b *callBackoff) succeeded() { *b = callBackoff{} }

// errLeaseLost reports that the lease under which a call was decided is over.
var errLeaseLost = errors.New("the lease is over: the call was not made")
