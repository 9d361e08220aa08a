package controlnode

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/tier/fencedcall"
	"larchrouter/internal/tier/lease"
)

// Terms of the lease in tests of the event loop without a node.
const (
	loopTestTerm     = 10 * time.Millisecond
	loopTestTakeover = 4 * loopTestTerm // longer than lease.Params.TakeoverWait
)

// batchOutcome is what happens to a batch with one request.
type batchOutcome int

const (
	handled            batchOutcome = iota // handled and synced
	handledWithoutRoom                     // handled, but the disk was full before the sync
	rejected                               // not handled, since the disk was full
)

// leaseLoop is a server with a lease and a loop that handles requests, but without a node. The outcomes of the first batches are
// given; later batches are handled and synced.
type leaseLoop struct {
	*Server
	done chan struct{} // closed when the loop has ended, after which the test owns the lease
}

// newLeaseLoop starts a leaseLoop that holds the lease of epoch 1.
func newLeaseLoop(t *testing.T, batches ...batchOutcome) *leaseLoop {
	s := &Server{startedAt: time.Now().Add(-time.Hour), requests: make(chan queuedRequest), log: process.NewLogger(io.Discard)}
	s.ctx, s.stop = context.WithCancel(t.Context())
	s.lease = lease.New(lease.Params{Term: loopTestTerm, MaxDrift: lease.DefaultMaxDrift}, 0)
	s.lease.Observe(0, confirmedHead(1))
	s.publishGrant(s.now())
	l := &leaseLoop{Server: s, done: make(chan struct{})}
	go l.run(batches)
	t.Cleanup(l.end)
	return l
}

// confirmedHead returns the observation of a head that stays confirmed for the duration of a test.
func confirmedHead(epoch int64) lease.Observation {
	return lease.Observation{Epoch: epoch, IsHead: true, Active: true, HasConfirmed: true, ConfirmedAt: 10 * time.Hour}
}

// run handles requests, each in a batch of its own.
func (l *leaseLoop) run(batches []batchOutcome) {
	defer close(l.done)
	for {
		select {
		case q := <-l.requests:
			batch := handled
			if len(batches) > 0 {
				batch, batches = batches[0], batches[1:]
			}
			if batch != rejected {
				q.request.handle(l.Server)
			}
			q.synced <- batch == handled
		case <-l.ctx.Done():
			return
		}
	}
}

// end stops the loop and waits for its end.
func (l *leaseLoop) end() {
	l.stop()
	<-l.done
}

// regains reports whether this node gets a grant after it has lost the lease, become head again and waited for loopTestTakeover.
func (l *leaseLoop) regains() bool {
	l.end()
	l.lease.Observe(l.now(), lease.Observation{Epoch: 2})
	l.lease.Observe(l.now(), confirmedHead(3))
	time.Sleep(loopTestTakeover)
	_, held := l.lease.Grant(l.now())
	return held
}

// If the start of a call is recorded in a batch that fails on a full disk, the end of the call must be recorded too: otherwise the node
// would wait for the call for ever and never regain the lease.
func TestLeaseReturnsAfterCallThatWasNotSent(t *testing.T) {
	for name, batches := range map[string][]batchOutcome{
		"start handled without room":         {handledWithoutRoom},
		"start and end handled without room": {handledWithoutRoom, handledWithoutRoom},
		"start handled, end rejected":        {handledWithoutRoom, rejected},
		"start rejected":                     {rejected},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeaseLoop(t, batches...)
			d := &taskRunner{server: l.Server, tokenBase: 1}
			if outcome, _ := d.post(&publishedGrant{epoch: 1}, usagePath, nil); outcome != fencedcall.NotSent {
				t.Fatalf("the outcome is %v", outcome)
			}
			if !l.regains() {
				t.Error("no grant after the takeover wait, though no call is in flight")
			}
		})
	}
}

// The end of a call may be handled twice: in a batch that fails on a full disk and in the retry. It must not end another call.
func TestRepeatedCallEndCountsOnce(t *testing.T) {
	l := newLeaseLoop(t, handledWithoutRoom, rejected)
	call, other := &lease.Call{Epoch: 1}, &lease.Call{Epoch: 1}
	l.lease.CallStarted(call)
	l.lease.CallStarted(other)
	l.recordCallEnd(call)
	if l.regains() {
		t.Error("grant while a call of the ended tenure is in flight")
	}
}

// If the event loop rejects the record of a token refusal on a full disk, the record must be retried: otherwise the node would continue
// to make calls in its epoch.
func TestTokenRefusalIsRecordedAfterFullDisk(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }))
	defer platform.Close()
	l := newLeaseLoop(t, handled, rejected)
	d := &taskRunner{server: l.Server, tokenBase: 1}
	d.client = fencedcall.NewClient(strings.TrimPrefix(platform.URL, "http://"), "core-1", func(int64) bool { return true })
	defer d.client.Close()
	outcome, err := d.post(&publishedGrant{epoch: 1}, usagePath, []byte("{}"))
	if outcome != fencedcall.Refused {
		t.Fatalf("outcome %v, %v", outcome, err)
	}
	l.end()
	if grant, held := l.lease.Grant(l.now()); held {
		t.Errorf("the node still has a grant %+v after the platform refused its token", grant)
	}
}
