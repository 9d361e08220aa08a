package lease

import (
	"testing"
	"time"
)

func TestStatusNamesCause(t *testing.T) {
	at := 10 * second
	returned := New(testParams, 0)
	returned.Observe(0, head(1, 0))
	returned.Observe(at, Observation{Epoch: 2})
	returned.Observe(at+second, head(3, at+second))
	returned.HandleRelease(at+second, Release{Epoch: 2})

	refused := New(testParams, 0)
	refused.Observe(0, head(1, at))
	refused.HandleRefusal(1)

	later := New(testParams, 0)
	later.Observe(at, head(5, at))
	started := New(testParams, at)
	started.Observe(at, head(5, at))
	started.HandleRelease(at, Release{Epoch: 4})
	inactive, unconfirmed, holder := New(testParams, 0), New(testParams, 0), New(testParams, 0)
	inactive.Observe(0, Observation{Epoch: 1, IsHead: true, ConfirmedAt: at, HasConfirmed: true})
	unconfirmed.Observe(0, head(1, 0))
	holder.Observe(0, head(1, at))

	takeover := testParams.TakeoverWait()
	for name, c := range map[string]struct {
		lease *Lease
		now   time.Duration
		want  Status
	}{
		"holder":                      {holder, at + second, Status{Epoch: 1, Held: true, Remaining: testTerm - second}},
		"no view":                     {New(testParams, 0), at, Status{Cause: NotHead}},
		"platform refused the token":  {refused, at, Status{Epoch: 1, Cause: TokenRefused}},
		"shutting down":               {inactive, at, Status{Epoch: 1, Cause: NotActive}},
		"no majority":                 {unconfirmed, at, Status{Epoch: 1, Cause: NotConfirmed}},
		"just started":                {started, at, Status{Epoch: 5, Wait: takeover, Cause: JustStarted}},
		"earlier head may hold it":    {later, at, Status{Epoch: 5, Wait: takeover, Cause: EarlierGrant}},
		"lost and regained in a term": {returned, at + second, Status{Epoch: 3, Wait: takeover - second, Cause: LeaseLost}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.lease.Status(c.now); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
