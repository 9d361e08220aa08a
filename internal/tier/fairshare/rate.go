package fairshare

import "time"

const (
	// ProcessorShare is the part of the processor up to which long responses are not slowed down while there are other requests.
	ProcessorShare = 0.5

	adjustInterval = 20 * time.Millisecond
	maxIncrease    = 1.25 // factor of the rate in one interval
	maxDecrease    = 0.5  // the same

	// Long responses get a part of the link however busy the processor is.
	floorDivisor = 8        // of the rate of the link
	maxFloor     = 16 << 20 // bytes a second
)

// nextRate returns the rate of the next interval, in bytes a second, by that of the last one and the cores that the process used in it,
// which shall not be more than mostCores.
func nextRate(rate, link, usedCores, mostCores float64) float64 {
	factor := maxIncrease
	if usedCores > 0 {
		factor = min(maxIncrease, max(maxDecrease, mostCores/usedCores))
	}
	return min(link, max(min(link/floorDivisor, maxFloor), rate*factor))
}
