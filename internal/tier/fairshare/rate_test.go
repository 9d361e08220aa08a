package fairshare

import (
	"testing"

	"pgregory.net/rapid"
)

// The rate stays between its floor and the link, falls while the processor is busy and rises while it is not.
func TestNextRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		link := rapid.Float64Range(1e5, 1e10).Draw(t, "link")
		rate := rapid.Float64Range(0, 1).Draw(t, "rate") * link
		most := rapid.Float64Range(0.1, 64).Draw(t, "most")
		used := rapid.Float64Range(0, 64).Draw(t, "used")
		floor := min(link/floorDivisor, maxFloor)
		next := nextRate(rate, link, used, most)
		switch {
		case next < floor || next > link:
			t.Fatalf("%v is not between %v and %v", next, floor, link)
		case used > most && next > max(rate, floor):
			t.Fatalf("it rises from %v to %v though the processor is busy", rate, next)
		case used < most && next < min(rate, link):
			t.Fatalf("it falls from %v to %v though the processor is idle", rate, next)
		}
	})
}
