package override

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// An observation is known to all relays, with its age; recovery is gossiped; what nobody renews expires; and a
// restarted relay replaces what it sent before.
func TestObservations(t *testing.T) {
	f := newTestFleet(t, 6, 1)
	f.lossRate = 0.2
	f.delay = func() time.Duration { return time.Duration(1+f.random.IntN(20)) * time.Millisecond }
	f.run(time.Second)
	seen := func(at int) string {
		var all []string
		for _, s := range f.gossipers[at].Observations(f.now) {
			all = append(all, fmt.Sprintf("%s by %d %v", s.Subject, s.Origin, s.Unhealthy))
		}
		return strings.Join(all, ", ")
	}
	everywhere := func(what, want string) {
		t.Helper()
		for i := range f.gossipers {
			if got := seen(i); got != want && !f.dead[i] {
				t.Errorf("%s: relay %d knows %q, want %q", what, i, got, want)
			}
		}
	}
	f.gossipers[1].Observe(f.now, "endpoint:a", true)
	f.gossipers[1].Observe(f.now, "endpoint:b", false) // was never unhealthy
	f.gossipers[4].Observe(f.now, "endpoint:a", true)
	f.run(time.Second)
	everywhere("two relays see it unhealthy", "endpoint:a by 1 true, endpoint:a by 4 true")
	f.run(40 * time.Second)
	everywhere("it is renewed", "endpoint:a by 1 true, endpoint:a by 4 true")
	s := f.gossipers[0].Observations(f.now)[0]
	if s.Since < 40*time.Second || s.Since > 42*time.Second || s.Renewed > renewInterval+time.Second {
		t.Errorf("since %v, renewed %v ago", s.Since, s.Renewed)
	}
	f.gossipers[1].Observe(f.now, "endpoint:a", false)
	f.run(time.Second)
	everywhere("one relay sees it healthy", "endpoint:a by 1 false, endpoint:a by 4 true")
	f.start(t, 4, nil) // and has seen nothing yet
	f.run(2 * time.Second)
	everywhere("the other relay restarted", "endpoint:a by 1 false, endpoint:a by 4 false")
	f.gossipers[4].Observe(f.now, "endpoint:a", true)
	f.run(time.Second)
	everywhere("and sees it unhealthy again", "endpoint:a by 1 false, endpoint:a by 4 true")
	f.dead[4] = true
	f.run(ObservationTTL + time.Second)
	everywhere("nobody renews it", "")
	for i := range 2 * MaxObservations {
		f.gossipers[2].Observe(f.now, fmt.Sprint("endpoint:", i), true)
	}
	f.run(5 * time.Second)
	for i, gossiper := range f.gossipers {
		if n := len(gossiper.Observations(f.now)); n != MaxObservations && !f.dead[i] {
			t.Errorf("relay %d knows %d observations, want %d", i, n, MaxObservations)
		}
	}
	f.messages = 0
	f.run(2 * time.Second)
	if each := float64(f.messages) / 2 / 5; each > 1.2*5*5 {
		t.Errorf("%.0f messages a second each, once all know", each)
	}
}
