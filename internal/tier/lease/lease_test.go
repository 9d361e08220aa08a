package lease

import (
	"testing"
	"time"
)

const (
	testTerm = 3 * time.Second
	second   = time.Second
)

var testParams = Params{Term: testTerm, MaxDrift: DefaultMaxDrift}

// head returns the observation of an active head whose newest confirmed round was sent at confirmedAt.
func head(epoch int64, confirmedAt time.Duration) Observation {
	return Observation{Epoch: epoch, IsHead: true, Active: true, ConfirmedAt: confirmedAt, HasConfirmed: true}
}

func wantGrant(t *testing.T, l *Lease, now time.Duration, epoch int64) {
	t.Helper()
	g, ok := l.Grant(now)
	if ok != (epoch > 0) || g.Epoch != epoch {
		t.Errorf("at %s: got grant %+v, %v; want epoch %d", now, g, ok, epoch)
	}
}

func TestTakeoverOutlastsTermOnDriftingClocks(t *testing.T) {
	p := Params{Term: testTerm, MaxDrift: 0.01}
	slowest := float64(p.Term) / (1 - p.MaxDrift)           // true time in which the slowest clock counts Term
	fastest := float64(p.TakeoverWait()) / (1 + p.MaxDrift) // true time in which the fastest clock counts TakeoverWait
	if fastest < slowest {
		t.Errorf("TakeoverWait lasts %v of true time, Term up to %v", time.Duration(fastest), time.Duration(slowest))
	}
}

func TestHeadWaitsForEarlierGrants(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(10*second, head(5, 10*second))
	wantGrant(t, l, 10*second+testTerm, 0)
	at := 10*second + testParams.TakeoverWait()
	l.Observe(at, head(5, at))
	wantGrant(t, l, at, 5)
}

func TestGrantLastsForTermFromSendingOfRound(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(0, head(1, 0))
	l.Observe(10*second, head(1, 9*second)) // the echoes took a second
	wantGrant(t, l, 9*second+testTerm-1, 1)
	wantGrant(t, l, 9*second+testTerm, 0)
}

func TestGrantNeedsActiveConfirmedHead(t *testing.T) {
	at := 10 * second
	for name, o := range map[string]Observation{
		"another node is the head": {Epoch: 2},
		"not confirmed":            {Epoch: 2, IsHead: true, Active: true},
		"promised or leaving":      {Epoch: 2, IsHead: true, ConfirmedAt: at, HasConfirmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(testParams, 0)
			l.Observe(0, head(1, 0))
			l.Observe(at, o)
			wantGrant(t, l, at, 0)
		})
	}
}

func TestHeadOfConsecutiveEpochsDoesNotWaitAgain(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(0, head(1, 0))
	l.Observe(10*second, head(2, 10*second))
	wantGrant(t, l, 10*second, 2)
	l.Observe(11*second, head(4, 11*second)) // epoch 3 may have had another head
	wantGrant(t, l, 11*second, 0)
}

func TestReleaseShortensWait(t *testing.T) {
	old := New(testParams, 0)
	old.Observe(0, head(1, 0))
	release, ok := old.Observe(10*second, Observation{Epoch: 2})
	if !ok || release != (Release{Epoch: 1}) {
		t.Fatalf("got release %+v, %v", release, ok)
	}
	wantGrant(t, old, 10*second, 0)

	next := New(testParams, 0)
	next.Observe(10*second, head(2, 10*second))
	next.HandleRelease(10*second, Release{Epoch: 3}) // of another tenure
	wantGrant(t, next, 10*second, 0)
	next.HandleRelease(10*second, release)
	wantGrant(t, next, 10*second, 2)
}

// Guards against losing a release that arrives before the view: its sender may be notified of the view before its receiver is.
func TestReleaseBeforeAdoptionCounts(t *testing.T) {
	const wait = second
	for name, test := range map[string]struct {
		releases []Release
		adopted  int64         // epoch
		from     time.Duration // when the node's wait ends
	}{
		"of the previous epoch":   {[]Release{{Epoch: 4}}, 5, 11 * second},
		"shorter wait of the two": {[]Release{{Epoch: 4, Wait: wait}, {Epoch: 4}, {Epoch: 4, Wait: wait}}, 5, 11 * second},
		"newer epoch of the two":  {[]Release{{Epoch: 5}, {Epoch: 4}}, 6, 11 * second},
		"with a remaining wait":   {[]Release{{Epoch: 4, Wait: 2 * second}}, 5, 10*second + testParams.TakeoverWait()*2/3},
		"of an earlier epoch":     {[]Release{{Epoch: 3}}, 5, 11*second + testParams.TakeoverWait()},
		"of a later epoch":        {[]Release{{Epoch: 5}}, 5, 11*second + testParams.TakeoverWait()},
		"an epoch was missed":     {[]Release{{Epoch: 4}}, 6, 11*second + testParams.TakeoverWait()},
		"with a negative wait":    {[]Release{{Epoch: 4, Wait: -1}}, 5, 11*second + testParams.TakeoverWait()},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(testParams, 0)
			l.Observe(0, Observation{Epoch: 4})
			for _, r := range test.releases {
				l.HandleRelease(10*second, r)
			}
			l.Observe(11*second, head(test.adopted, 11*second))
			wait := max(0, test.from-11*second)
			if got := l.RemainingWait(11 * second); got < wait || got > wait+2 {
				t.Errorf("remaining wait %s, want %s", got, wait)
			}
		})
	}
}

// Guards against a release for a later tenure that shortens the wait of the present one.
func TestEarlyReleaseDoesNotShortenWaitOfPresentTenure(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(10*second, head(5, 10*second))
	l.HandleRelease(10*second, Release{Epoch: 6})
	wantGrant(t, l, 10*second, 0)
	l.Observe(11*second, head(7, 11*second)) // after epoch 6 of another head: it waits because it lost the lease
	wantGrant(t, l, 11*second, 0)
}

func TestReleaseIncludesRemainingWaitOfSender(t *testing.T) {
	old := New(testParams, 0)
	old.Observe(10*second, head(2, 10*second))
	release, _ := old.Observe(11*second, Observation{Epoch: 3})
	if want := testParams.TakeoverWait() - second; release.Wait != want {
		t.Fatalf("the release has wait %v, want %v", release.Wait, want)
	}
	next := New(testParams, 0)
	next.Observe(11*second, head(3, 11*second))
	next.HandleRelease(11*second, release)
	from := 11*second + next.allowForDrift(release.Wait)
	next.Observe(from, head(3, from))
	wantGrant(t, next, from-1, 0)
	wantGrant(t, next, from, 3)
}

// Guards against holders in the order A, B, A within one term: node A regains the lease by a release of B shortly after it lost it.
func TestReleaseDoesNotReturnLeaseWithinTerm(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(0, head(1, 0))
	l.Observe(10*second, head(1, 10*second))
	wantGrant(t, l, 10*second, 1)
	l.Observe(10*second, Observation{Epoch: 2})
	l.Observe(11*second, head(3, 11*second))
	l.HandleRelease(11*second, Release{Epoch: 2})
	wantGrant(t, l, 10*second+testTerm, 0)
	at := 10*second + testParams.TakeoverWait()
	l.Observe(at, head(3, at))
	wantGrant(t, l, at, 3)
}

// Guards against a restarted holder that gets the lease at once: it does not know which calls it made before.
func TestStartedNodeWaitsDespiteRelease(t *testing.T) {
	l := New(testParams, 20*second)
	l.Observe(20*second, head(7, 20*second))
	l.HandleRelease(20*second, Release{Epoch: 6})
	wantGrant(t, l, 20*second+testTerm, 0)
}

func TestRefusedHolderWaitsForNextEpoch(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(0, head(1, 0))
	l.Observe(10*second, head(1, 10*second))
	l.HandleRefusal(1)
	wantGrant(t, l, 10*second, 0)
	l.Observe(11*second, head(2, 11*second))
	wantGrant(t, l, 11*second, 2)
}

// Guards against a node that regains the lease while a call of its earlier tenure is in flight: the platform may accept that call
// long after its grant was checked, as long as it has not seen a higher token for its subject.
func TestCallOfEndedTenureDelaysNextGrant(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(0, head(1, 0))
	l.Observe(10*second, head(1, 10*second))
	g, _ := l.Grant(10 * second)
	call, answered := &Call{Epoch: g.Epoch}, &Call{Epoch: g.Epoch}
	l.CallStarted(call)
	l.CallStarted(answered)
	l.CallEnded(10*second, answered)
	l.Observe(10*second, Observation{Epoch: 2})
	l.Observe(15*second, head(3, 15*second))
	l.HandleRelease(15*second, Release{Epoch: 2})
	wantGrant(t, l, 15*second, 0) // the call is in flight
	l.CallEnded(16*second, call)
	at := 16*second + testParams.TakeoverWait()
	l.Observe(at, head(3, at))
	wantGrant(t, l, at-1, 0)
	wantGrant(t, l, at, 3)
}

func TestCallOfPresentTenureDelaysNoGrant(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(0, head(1, 0))
	l.Observe(10*second, head(1, 10*second))
	g, _ := l.Grant(10 * second)
	call := &Call{Epoch: g.Epoch}
	l.CallStarted(call)
	l.Observe(10*second, head(2, 10*second))
	wantGrant(t, l, 10*second, 2)
	l.CallEnded(11*second, call)
	wantGrant(t, l, 11*second, 2)
}

func TestCallStartedAfterLossDelaysNextGrant(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(0, head(1, 0))
	l.Observe(10*second, head(1, 10*second))
	g, _ := l.Grant(10 * second)
	l.Observe(10*second, Observation{Epoch: 2})
	call := &Call{Epoch: g.Epoch}
	l.CallStarted(call)
	l.Observe(15*second, head(3, 15*second))
	l.HandleRelease(15*second, Release{Epoch: 2})
	wantGrant(t, l, 15*second, 0)
	l.CallEnded(15*second, call)
	at := 15*second + testParams.TakeoverWait()
	l.Observe(at, head(3, at))
	wantGrant(t, l, at-1, 0)
	wantGrant(t, l, at, 3)
}

// Guards against calls that are counted twice when their start or end is recorded twice, which happened when the disk was full:
// then another call was taken for ended, or an ended one for in flight.
func TestRepeatedStartOrEndOfCallCountsOnce(t *testing.T) {
	l := New(testParams, 0)
	l.Observe(0, head(1, 0))
	l.Observe(10*second, head(1, 10*second))
	call, other := &Call{Epoch: 1}, &Call{Epoch: 1}
	l.CallStarted(call)
	l.CallStarted(call)
	l.CallStarted(other)
	l.Observe(10*second, Observation{Epoch: 2})
	l.CallEnded(11*second, call)
	l.CallEnded(12*second, call)
	l.Observe(20*second, head(3, 20*second))
	l.HandleRelease(20*second, Release{Epoch: 2})
	wantGrant(t, l, 20*second, 0) // the other call is in flight
	l.CallEnded(21*second, other)
	l.CallEnded(23*second, call)
	at := 21*second + testParams.TakeoverWait()
	l.Observe(at, head(3, at))
	wantGrant(t, l, at-1, 0)
	wantGrant(t, l, at, 3)
}

// Guards against holders in the order A, B, A across subjects: a release sent while a call was in flight let the next head make
// calls before the platform had accepted that call.
func TestReleaseWaitsForCallsInFlight(t *testing.T) {
	old, call, other := callingHead(t)
	if release, ok := old.Observe(10*second, Observation{Epoch: 2}); ok {
		t.Fatalf("got release %+v with two calls in flight", release)
	}
	old.CallEnded(11*second, call)
	if release, ok := old.Observe(11*second, Observation{Epoch: 2}); ok {
		t.Fatalf("got release %+v with a call in flight", release)
	}
	old.CallEnded(12*second, other)
	release, ok := old.Observe(12*second, Observation{Epoch: 2})
	if !ok || release != (Release{Epoch: 1}) {
		t.Fatalf("got release %+v, %v after the calls ended", release, ok)
	}
	if release, ok := old.Observe(13*second, Observation{Epoch: 2}); ok {
		t.Errorf("got release %+v a second time", release)
	}
}

// Guards against a release that is sent to the head of an epoch that does not directly follow the released tenure.
func TestDelayedReleaseIsDroppedInLaterEpoch(t *testing.T) {
	for name, next := range map[string]Observation{
		"another head": {Epoch: 3},
		"this node":    head(3, 11*second),
	} {
		t.Run(name, func(t *testing.T) {
			old, call, other := callingHead(t)
			old.Observe(10*second, Observation{Epoch: 2})
			old.Observe(11*second, next)
			old.CallEnded(12*second, call)
			old.CallEnded(12*second, other)
			if release, ok := old.Observe(12*second, next); ok {
				t.Errorf("got release %+v to the head of epoch 3", release)
			}
		})
	}
}

// Guards against a short tenure that is released while a call of an earlier tenure is in flight, or shortly after.
func TestHeadWaitingForStaleCallsReleasesNothing(t *testing.T) {
	old, call, other := callingHead(t)
	old.Observe(10*second, Observation{Epoch: 2})
	old.Observe(11*second, head(3, 11*second))
	old.Observe(12*second, Observation{Epoch: 4})
	old.CallEnded(13*second, call)
	old.CallEnded(13*second, other)
	if release, ok := old.Observe(13*second, Observation{Epoch: 4}); ok {
		t.Errorf("got release %+v", release)
	}
}

// callingHead returns the head of epoch 1, which has two calls in flight at 10 s.
func callingHead(t *testing.T) (l *Lease, first, second *Call) {
	t.Helper()
	const at = 10 * time.Second
	l = New(testParams, 0)
	l.Observe(0, head(1, 0))
	l.Observe(at, head(1, at))
	wantGrant(t, l, at, 1)
	first, second = &Call{Epoch: 1}, &Call{Epoch: 1}
	l.CallStarted(first)
	l.CallStarted(second)
	return l, first, second
}
