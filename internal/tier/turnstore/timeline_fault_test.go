package turnstore_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// What stores that kept their disks have adopted is above gen 1: they refuse all that comes under it, so that a core
// that is not told of it founds a placement that serves nothing.
func TestTimelineFindsUnreportedGeneration(t *testing.T) {
	broken, lines := playTimeline(t, timelineConfig{stores: 4, fault: generationNotReported}, `
		ms     s0      s1 s2 s3 f0      f1
		0      .       .  .  .  a=whole .
		500    wipe,up .  .  .  .       .
		6000   anew    .  .  .  .       .
		12500  .       .  .  .  kill,up .
		13000  .       .  .  .  a>b=whole .`)
	if len(broken) == 0 {
		t.Errorf("not found\n%s", lines)
	}
}

// forEachProgram gives a cell with something for each of many forEachProgram.
func forEachProgram(format string) string {
	var all []string
	for c := 'A'; c <= 'U'; c++ {
		all = append(all, fmt.Sprintf(format, string(c)))
	}
	return strings.Join(all, ",")
}

// Each of these timelines needs the part that is left out.
// plantedPlays bounds how often a timeline with a planted fault is played until it shows. One in twelve plays of the rarest did
// not show it; each play without the fault has to hold.
const plantedPlays = 8

func TestTimelinesFindPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		fault    fault
		fig      timelineConfig
		timeline string
	}{
		{sweptTooSoon, timelineConfig{stores: 4}, `
			ms    s0              s1      s2   s3   s4       f0           f1
			0     kill            .       .    .    .        .            .
			1     .               .       .    .    .        ` + forEachProgram("%s:a%[1]s") + ` .
			1400  up,apart        .       .    .    .        .            .
			1410  .               empty   .    .    up,apart .            .
			5000  .               dispose wipe .    .        .            .
			5500  .               .       .    .    .        .            ` + forEachProgram("v:a%s>b%[1]s")},
		{noGenerationFence, timelineConfig{stores: 3, budget: map[string]int{"p": 20, "q": 20, "r": 20}}, `
			ms     s0    s1    s2    s3 s4 f0        f1
			0      .     .     .     .  .  stale     .
			100    .     .     .     up .  .         .
			3000   empty .     .     .  up .         .
			8000   .     .     empty .  .  .         .
			14000  .     .     .     .  .  .         a=whole,q:k=whole,r:u=whole
			14400  .     away  .     .  .  .         .
			14500  .     .     .     .  .  b~,q:l~,r:v~ c~,q:m~,r:w~
			15000  .     .     .     .  .  .         .`},
		{quorumOfNewListOnly, timelineConfig{stores: 3, budget: map[string]int{"p": 10, "q": 10}}, `
			ms     s0   s1   s2       f0     f1
			0      .    .    kill     .      .
			1      .    .    .        a~,q:b~ .
			2000   .    .    up,apart .      .
			2010   wipe away .        .      .
			2100   up   .    .        .      .
			3000   .    .    .        .      c~,q:d~
			3500   .    .    .        .      .`},
		{noRetainMargin, timelineConfig{stores: 3, retain: 30 * time.Second}, `
			ms     s0 s1 s2 f0     f1
			0      .  .  .  a~     .
			1600   .  .  .  a!     .
			1601.5 .  .  .  mute   .
			2600   .  .  .  tell   .
			32400  .  .  .  .      a>b=whole`},
		{expiredForgotten, timelineConfig{stores: 3, retain: 20 * time.Second}, `
			ms     s0 s1    s2 f0      f1
			0      .  .     .  a=whole .
			500    .  power .  .       .
			60000  .  up    .  .       .
			99000  .  .     .  .       a>b`},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			lines := ""
			for play := range plantedPlays { // which store a sweep asks first is drawn: the fault need not show in each play
				playTimeline(t, c.fig, c.timeline)
				with := c.fig
				with.fault = c.fault
				var broken []string
				broken, lines = playTimeline(t, with, c.timeline)
				broken = slices.DeleteFunc(broken, func(s string) bool { return !violationPattern.MatchString(s) })
				if len(broken) > 0 {
					t.Logf("play %d: %s", play+1, broken[0])
					return
				}
			}
			t.Errorf("not found in %d plays\n%s", plantedPlays, lines)
		})
	}
}
