package controlnode

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/fencedcall"
	"larchrouter/internal/tier/lease"
	"larchrouter/internal/tier/orders"
)

// Names of the singleton tasks in the settings.
const (
	usageTaskName = "usage_report"
	scaleTaskName = "autoscale"
)

// Intervals and time-outs of the singleton tasks.
const (
	taskInterval        = 200 * time.Millisecond // between two steps
	platformCallTimeout = 2500 * time.Millisecond
	minCallBackoff      = 200 * time.Millisecond
	maxCallBackoff      = 2 * time.Second
)

// tokenBaseShift is the number of bits by which the Unix time of the first token is shifted to make the token base of a control
// plane. The low bits leave room for its epochs, so that the tokens of a control plane that is created anew are higher.
const tokenBaseShift = 20

// taskRunner runs the singleton tasks while this node holds the lease. One goroutine owns it.
type taskRunner struct {
	server    *Server
	client    *fencedcall.Client
	tokenBase int64 // 0 until it is known
	heldEpoch int64 // epoch of the grant in the last step; 0 for none
	usage     *usageTask
	scale     *scaleTask
}

// runSingletonTasks runs the singleton tasks that the settings name, until the server stops.
func (s *Server) runSingletonTasks() {
	if s.settings.Platform.Address == "" || len(s.settings.Platform.Duties) == 0 {
		return
	}
	d := &taskRunner{server: s}
	d.client = fencedcall.NewClient(s.settings.Platform.Address, s.self.Name, d.permitsToken)
	defer d.client.Close()
	if s.settings.HasDuty(usageTaskName) {
		d.usage = newUsageTask(d)
	}
	if s.settings.HasDuty(scaleTaskName) {
		d.scale = newScaleTask(d)
	}
	for s.ctx.Err() == nil {
		d.step()
		d.publishSnapshot()
		s.sleep(taskInterval)
	}
}

// step runs the tasks that are due, if this node holds the lease. The first step after the lease is acquired resets the tasks, since
// another node may have held it meanwhile.
func (d *taskRunner) step() {
	grant := d.server.heldGrant()
	if grant == nil {
		d.heldEpoch = 0
		return
	}
	if d.heldEpoch == 0 {
		if d.usage != nil {
			d.usage.reset()
		}
		if d.scale != nil {
			d.scale.reset()
		}
	}
	d.heldEpoch = grant.epoch
	if d.tokenBase == 0 && !d.ensureTokenBase() {
		return
	}
	if d.usage != nil {
		d.usage.step(grant)
	}
	if d.scale != nil {
		d.scale.step(grant)
	}
}

// ensureTokenBase reads the committed token base, after recording one if there is none. It reports whether a base is committed.
func (d *taskRunner) ensureTokenBase() bool {
	base := d.server.trueNow().Unix() << tokenBaseShift
	if _, err := d.server.decideAtHead(d.server.ctx, orders.RecordFencingTokenBase{Base: base}); err != nil {
		return false
	}
	query := &taskStateQuery{}
	if !d.server.runOnLoop(query) || query.state == nil {
		return false
	}
	d.tokenBase, _ = query.state.FencingTokenBase()
	return d.tokenBase != 0
}

// taskStateQuery reads the committed state of the singleton tasks.
type taskStateQuery struct {
	state *orders.State // nil if it cannot be decoded
}

func (q *taskStateQuery) handle(s *Server) {
	q.state, _ = orders.ReadState(s.node.Chain().Committed(0), s.settings.FaultTolerance())
}

// token returns the fencing token of a grant.
func (d *taskRunner) token(grant *publishedGrant) int64 { return d.tokenBase + grant.epoch }

// permitsToken is the fence of the client: it reports whether a token is that of the grant that this node holds now.
func (d *taskRunner) permitsToken(token int64) bool {
	grant := d.server.heldGrant()
	return grant != nil && token == d.token(grant)
}

// post makes a call under a grant. If the platform refuses the token, this node stops using the lease of this epoch.
func (d *taskRunner) post(grant *publishedGrant, path string, body []byte) (fencedcall.Outcome, error) {
	start := &callStartRequest{call: &lease.Call{Epoch: grant.epoch}}
	if !d.server.runOnLoop(start) {
		d.server.recordCallEnd(start.call) // the start may have been recorded before the disk was found to be full
		return fencedcall.NotSent, errStopping
	}
	if !start.held {
		return fencedcall.NotSent, errLeaseLost
	}
	defer d.server.recordCallEnd(start.call)
	ctx, cancel := context.WithTimeout(d.server.ctx, platformCallTimeout)
	defer cancel()
	startedAt := time.Now()
	outcome, err := d.client.Post(ctx, path, d.token(grant), body)
	d.server.taskCalls.record(path, d.token(grant), outcome, body)
	if outcome != fencedcall.Accepted {
		d.server.log.Info("platform call not accepted", "path", path, "token", d.token(grant), "outcome", outcome,
			"ms", time.Since(startedAt).Milliseconds(), "err", err)
	}
	if outcome == fencedcall.Refused {
		d.server.log.Error("platform refused the fencing token as it has seen a higher one; this node stops its singleton tasks for this epoch",
			"epoch", grant.epoch, "token", d.token(grant))
		d.server.retryOnLoop(&tokenRefusedRequest{epoch: grant.epoch})
	}
	return outcome, err
}

// callBackoff is the exponential backoff of a call that is retried.
type callBackoff struct {
	failures int
	next     time.Time // no call before it
}

// ready reports whether a call may be made.
func (b *callBackoff) ready(now time.Time) bool { return !now.Before(b.next) }

// failed records a failed call and sets the pause before the next one, which doubles with each failure up to maxCallBackoff.
func (b *callBackoff) failed(now time.Time) {
	pause := min(maxCallBackoff, minCallBackoff<<min(b.failures, 10)) // the inner min prevents an overflow of the shift
	b.failures++
	b.next = now.Add(pause)
}

// succeeded resets the backoff.
func (b *callBackoff) succeeded() { *b = callBackoff{} }

// errLeaseLost is returned if the lease under which a call was decided is no longer held.
var errLeaseLost = errors.New("lease expired or lost: call not made")
