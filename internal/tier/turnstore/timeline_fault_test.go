package turnstore_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Stores that kept their disks have adopted a generation above 1 and reject calls under it: a controller that does not know of it
// would found a placement under which nothing is served.
func TestTimelineFindsUnreportedGeneration(t *testing.T) {
	violations, log := playTimeline(t, timelineConfig{stores: 4, fault: generationNotReported}, `
		ms    s0      s1 s2 s3 f0      f1
		0     .       .  .  .  a=ok    .
		500   wipe,up .  .  .  .       .
		6000  reset   .  .  .  .       .
		12500 .       .  .  .  kill,up .
		13000 .       .  .  .  a>b=ok  .`)
	if len(violations) == 0 {
		t.Errorf("not found\n%s", log)
	}
}

// forEachProgram returns a cell with an event for each of 21 programs.
func forEachProgram(format string) string {
	var all []string
	for c := 'A'; c <= 'U'; c++ {
		all = append(all, fmt.Sprintf(format, string(c)))
	}
	return strings.Join(all, ",")
}

// maxFaultRuns bounds how often a timeline with a planted fault is run until it shows a violation. One in twelve runs of
// the rarest one did not; each run without the fault must not.
const maxFaultRuns = 8

// Each part that a fault removes is necessary: the timeline shows a violation without it.
func TestTimelinesFindPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		fault    fault
		config   timelineConfig
		timeline string
	}{
		{sweptTooSoon, timelineConfig{stores: 4}, `
			ms    s0              s1      s2   s3   s4       f0           f1
			0     kill            .       .    .    .        .            .
			1     .               .       .    .    .        ` + forEachProgram("%s:a%[1]s") + ` .
			1400  up,split        .       .    .    .        .            .
			1410  .               retire  .    .    up,split .            .
			5000  .               dispose wipe .    .        .            .
			5500  .               .       .    .    .        .            ` + forEachProgram("v:a%s>b%[1]s")},
		{noGenerationFence, timelineConfig{stores: 3, budget: map[string]int{"p": 20, "q": 20, "r": 20}}, `
			ms    s0     s1       s2     s3 s4 f0           f1
			0     .      .        .      .  .  stale        .
			100   .      .        .      up .  .            .
			3000  retire .        .      .  up .            .
			8000  .      .        retire .  .  .            .
			14000 .      .        .      .  .  .            a=ok,q:k=ok,r:u=ok
			14400 .      isolated .      .  .  .            .
			14500 .      .        .      .  .  b~,q:l~,r:v~ c~,q:m~,r:w~
			15000 .      .        .      .  .  .            .`},
		{quorumOfNewListOnly, timelineConfig{stores: 3, budget: map[string]int{"p": 10, "q": 10}}, `
			ms   s0   s1       s2       f0      f1
			0    .    .        kill     .       .
			1    .    .        .        a~,q:b~ .
			2000 .    .        up,split .       .
			2010 wipe isolated .        .       .
			2100 up   .        .        .       .
			3000 .    .        .        .       c~,q:d~
			3500 .    .        .        .       .`},
		{noRetainMargin, timelineConfig{stores: 3, retain: 30 * time.Second}, `
			ms     s0 s1 s2 f0        f1
			0      .  .  .  a~        .
			1600   .  .  .  a!        .
			1601.5 .  .  .  noreplies .
			2600   .  .  .  replies   .
			32400  .  .  .  .         a>b=ok`},
		{expiredForgotten, timelineConfig{stores: 3, retain: 20 * time.Second}, `
			ms    s0 s1    s2 f0   f1
			0     .  .     .  a=ok .
			500   .  power .  .    .
			60000 .  up    .  .    .
			99000 .  .     .  .    a>b`},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			log := ""
			for run := range maxFaultRuns { // the order in which a sweep pulls is random: the fault need not show in each run
				playTimeline(t, c.config, c.timeline)
				config := c.config
				config.fault = c.fault
				var violations []string
				violations, log = playTimeline(t, config, c.timeline)
				violations = slices.DeleteFunc(violations, func(s string) bool { return !violationPattern.MatchString(s) })
				if len(violations) > 0 {
					t.Logf("run %d: %s", run+1, violations[0])
					return
				}
			}
			t.Errorf("not found in %d runs\n%s", maxFaultRuns, log)
		})
	}
}
