package chaostest

import (
	"time"
)

// leaseSlack is the longest time from a lease's grant to the call that uses it.
const leaseSlack = 1 * time.Second

// checkRateLimits finds spans in which a partner with a configured limit got more calls than its rate and one burst, or one call
// per relay, allow.
func (c *checker) checkRateLimits() {
	for dest, partner := range c.Plan.Scenario.Partners {
		if partner.Limit == nil {
			continue
		}
		var times []time.Duration
		for _, call := range c.Calls {
			if call.Dest == dest {
				times = append(times, call.First)
			}
		}
		burst := max(partner.Limit.Burst, float64(c.Plan.Relays))
		for _, span := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
			most, first := partner.Limit.Rate*(span+leaseSlack).Seconds()+burst, 0
			for i, at := range times {
				for times[first] <= at-span {
					first++
				}
				if n := i - first + 1; float64(n) > most {
					c.addFinding("told", "partner %s got %d calls within %v up to %v: its limit of %g a second allows %.0f",
						partner.Name, n, span, at.Round(time.Millisecond), partner.Limit.Rate, most)
					break
				}
			}
		}
	}
}
