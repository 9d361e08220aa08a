package turnstore_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestTimelines(t *testing.T) {
	for _, c := range []struct {
		name     string
		fig      timelineConfig
		timeline string
	}{
		{"a front frozen between its reservation and what it reads of it", timelineConfig{stores: 3, budget: map[string]int{"p": 24}}, `
			ms    s0 s1 s2 f0     f1
			0     .  .  .  a~     .
			2     .  .  .  freeze .
			100   .  .  .  .      b=whole
			200   .  .  .  .      c=402
			6000  .  .  .  thaw   .
			6100  .  .  .  a!     .
			6500  .  .  .  .      d=whole`},
		{"a front killed with a turn half streamed", timelineConfig{stores: 3, budget: map[string]int{"p": 30}}, `
			ms    s0 s1 s2 f0     f1
			0     .  .  .  a      .
			200   .  .  .  a>b~   .
			300   .  .  .  kill   .
			900   .  .  .  .      a>c=whole
			1200  .  .  .  .      c>d=whole
			2500  .  .  .  up     c>e=402`},
		{"the end lost on the way while the turn is stored, sent again from its start", timelineConfig{stores: 3}, `
			ms    s0 s1 s2 f0       f1
			0     .  .  .  a=whole  .
			100   .  .  .  a>b      .
			104   .  .  .  freeze   .
			106   .  .  .  kill     .
			400   .  .  .  .        a>c=whole
			600   .  .  .  up       c>d=whole`},
		{"two sub-agents at the last tokens of a budget through two fronts", timelineConfig{stores: 3, budget: map[string]int{"p": 15}}, `
			ms    s0 s1 s2 f0      f1
			0     .  .  .  a=whole .
			1000  .  .  .  b~      c~
			1100  .  .  .  b!      c!
			3000  .  .  .  d       .`},
		{"a fork of a chain during a move", timelineConfig{stores: 4}, `
			ms    s0 s1 s2    s3    f0        f1
			0     .  .  .     .     a=whole   .
			100   .  .  empty .     a>b=whole .
			110   .  .  .     .     .         a>c=whole
			150   .  .  .     .     b>d=whole c>e=whole
			300   .  .  .     .     b>g=whole c>h=whole
			5000  .  .  gone  .     .         .
			5001  .  .  wipe  wipe  .         .
			5200  .  .  .     .     d>i=whole e>j=whole`},
		{"asked for in the moment its turn ends", timelineConfig{stores: 3}, `
			ms    s0 s1   s2 f0        f1
			0     .  .    .  a         .
			5.9   .  .    .  .         a>x
			6     .  .    .  .         a>b
			6.5   .  slow .  .         a>c
			7     .  .    .  .         a>d
			9     .  .    .  a>e=whole a>g=whole`},
		{"a store wiped and asked at once", timelineConfig{stores: 4}, `
			ms    s0 s1      s2 s3 f0        f1
			0     .  .       .  .  a=whole   q:k=whole
			200   .  .       .  .  a>b=whole q:k>l=whole
			400   .  wipe,up .  .  b>c=whole q:l>m=whole
			410   .  .       .  .  r:b>n     r:l>o
			450   .  .       .  .  r:b>u     r:m>v
			4600  .  .       .  .  c>d=whole q:m>w=whole`},
		{"two stores lost one after the other with time to catch up between", timelineConfig{stores: 4}, `
			ms     s0      s1      s2 s3 f0        f1
			0      .       .       .  .  a=whole   q:k=whole
			200    .       .       .  .  a>b=whole q:k>l=whole
			400    wipe    .       .  .  .         .
			1400   up      .       .  .  .         .
			5600   .       wipe    .  .  b>c=whole q:l>m=whole
			6600   .       up      .  .  .         .
			10800  .       .       .  wipe,up  c>d=whole q:m>n=whole
			15000  .       .       wipe  .  d>e=whole q:n>o=whole`},
		{"answers that come late, for an opening that was given up", timelineConfig{stores: 3, budget: map[string]int{"p": 25}}, `
			ms    s0 s1 s2 f0             f1
			0     .  .  .  a=whole        .
			1000  .  .  .  mute           .
			1001  .  .  .  a>b=503        .
			1750  .  .  .  a>c~           .
			1760  .  .  .  tell           .
			1900  .  .  .  c!             .
			4000  .  .  .  c>d=whole      .
			4100  .  .  .  .              d>e=whole
			4300  .  .  .  .              e>g=402`},
		{"a turn sent again through another front while its first try still ends", timelineConfig{stores: 3, budget: map[string]int{"p": 25}}, `
			ms    s0   s1   s2   f0        f1
			0     .    .    .    a=whole   .
			1000  .    .    .    a>b~      .
			1100  slow slow slow .         .
			1101  .    .    .    b!        .
			1102  .    .    .    .         a>c
			1500  well well well .         .
			3000  .    .    .    .         c>d=whole`},
		{"a core founded anew after a change, and a store that was away meanwhile", timelineConfig{stores: 4}, `
			ms     s0      s1 s2   s3 f0        f1
			0      .       .  .    .  a=whole   q:k=whole
			500    wipe,up .  .    .  .         .
			6000   .       .  kill .  .         .
			6100   anew    .  .    .  .         .
			12500  .       .  .    .  kill,up   kill,up
			13000  .       .  .    .  a>b=whole q:k>l=whole
			14000  .       .  up   .  .         .
			20000  .       .  .    .  b>c=whole q:l>m=whole`},
		{"a store gone for good, its successor elsewhere, and another loss when its time is over", timelineConfig{stores: 4}, `
			ms    s0      s1   s2      s3 s4 f0        f1
			0     .       .    deaf    .  .  a=whole   q:k=whole
			200   .       .    hears   .  .  a>b=whole q:k>l=whole
			4400  .       wipe .       .  .  .         .
			5400  .       .    .       .  up .         .
			9600  .       .    .       .  .  b>c=whole q:l>m=whole
			9601  wipe    .    .       .  .  .         .
			9650  .       .    .       .  .  c>d=whole q:m>n=whole
			9700  .       .    .       .  .  r:b>u=whole r:l>v=whole`},
		{"a store frozen while another is added, and lost when it counts again", timelineConfig{stores: 4}, `
			ms    s0   s1     s2 s3 s4 f0        f1
			0     .    .      .  .  .  a=whole   q:k=whole
			100   .    freeze .  .  .  .         .
			150   .    .      .  .  up .         .
			3000  .    .      .  .  .  a>b=whole q:k>l=whole
			6000  .    thaw   .  .  .  .         .
			10200 wipe .      .  .  .  b>c=whole q:l>m=whole
			10300 .    .      .  .  .  r:b>u=whole r:l>v=whole`},
		{"a slow disk on one of three copies", timelineConfig{stores: 3}, `
			ms    s0 s1   s2 f0        f1
			0     .  slow .  a=whole   .
			20    .  .    .  a>b=whole .
			40    .  .    .  b>c=whole .
			60    .  .    .  .         c>d=whole`},
		{"the sweep against expiry", timelineConfig{stores: 3, retain: 20 * time.Second}, `
			ms     s0 s1    s2 f0        f1
			0      .  .     .  a=whole   .
			500    .  power .  a>b=whole .
			60000  .  up    .  .         .
			96500  .  .     .  b>d=404   .
			97000  .  .     .  .         a>e=404`},
		{"emptied, and lost together with one other", timelineConfig{stores: 4}, `
			ms    s0 s1    s2   s3   f0        f1
			0     .  .     deaf .    a=whole   q:k=whole
			100   .  .     .    .    a>b=whole q:k>l=whole
			200   .  .     hears .   .         .
			210   .  empty .    .    .         .
			4000  .  gone  .    .    .         .
			4010  wipe wipe .   .    b>c=whole q:l>m=whole`},
		{"a store that was away for longer than a program's first turns are kept", timelineConfig{stores: 4, retain: 20 * time.Second}, `
			ms     s0     s1 s2 s3 f0        f1
			0      .      .  .  .  a=whole   q:k=whole
			1000   away   .  .  .  .         .
			15000  .      .  .  .  a>b=whole q:k>l=whole
			30000  .      .  .  .  b>c=whole q:l>m=whole
			44000  .      .  .  .  c>d=whole q:m>n=whole
			45000  back   .  .  .  .         .
			52000  .      wipe .  .  .         .
			52200  .      up .  .  .         .
			56500  .      .  wipe .  .         .
			56700  .      .  up .  .         .
			60900  .      .  .  wipe  d>e=whole q:n>o=whole`},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			playTimeline(t, c.fig, c.timeline)
		})
	}
}

// Power is lost at all copies at each moment of a turn's group commits: what was answered whole is there.
func TestPowerLossAtAnyMomentOfCommit(t *testing.T) {
	for us := 0; us < 12000; us += 250 {
		playTimeline(t, timelineConfig{stores: 3}, fmt.Sprintf(`
			ms    s0 s1 s2 f0 f1
			0     .  .  .  a,q:k  b
			%v    power power power . .
			300   up up up . .
			4000  .  .  .  a>c b>d
			4100  .  .  .  .   k>e`, float64(us)/1000))
	}
}
