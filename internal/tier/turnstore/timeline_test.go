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
		config   timelineConfig
		timeline string
	}{
		{"a front frozen between a reservation and its responses", timelineConfig{stores: 3, budget: map[string]int{"p": 24}}, `
			ms   s0 s1 s2 f0     f1
			0    .  .  .  a~     .
			2    .  .  .  freeze .
			100  .  .  .  .      b=ok
			200  .  .  .  .      c=402
			6000 .  .  .  thaw   .
			6100 .  .  .  a!     .
			6500 .  .  .  .      d=ok`},
		{"a front killed in the middle of a stream", timelineConfig{stores: 3, budget: map[string]int{"p": 30}}, `
			ms   s0 s1 s2 f0   f1
			0    .  .  .  a    .
			200  .  .  .  a>b~ .
			300  .  .  .  kill .
			900  .  .  .  .    a>c=ok
			1200 .  .  .  .    c>d=ok
			2500 .  .  .  up   c>e=402`},
		{"the end of a stored turn is lost; the turn is retried from its start", timelineConfig{stores: 3}, `
			ms  s0 s1 s2 f0     f1
			0   .  .  .  a=ok   .
			100 .  .  .  a>b    .
			104 .  .  .  freeze .
			106 .  .  .  kill   .
			400 .  .  .  .      a>c=ok
			600 .  .  .  up     c>d=ok`},
		{"two sub-agents at the end of a budget through two fronts", timelineConfig{stores: 3, budget: map[string]int{"p": 15}}, `
			ms   s0 s1 s2 f0   f1
			0    .  .  .  a=ok .
			1000 .  .  .  b~   c~
			1100 .  .  .  b!   c!
			3000 .  .  .  d    .`},
		{"a fork of a chain during a change of the placement", timelineConfig{stores: 4}, `
			ms   s0 s1 s2      s3   f0     f1
			0    .  .  .       .    a=ok   .
			100  .  .  retire  .    a>b=ok .
			110  .  .  .       .    .      a>c=ok
			150  .  .  .       .    b>d=ok c>e=ok
			300  .  .  .       .    b>g=ok c>h=ok
			5000 .  .  retired .    .      .
			5001 .  .  wipe    wipe .      .
			5200 .  .  .       .    d>i=ok e>j=ok`},
		{"continued from at the moment it ends", timelineConfig{stores: 3}, `
			ms  s0 s1   s2 f0     f1
			0   .  .    .  a      .
			5.9 .  .    .  .      a>x
			6   .  .    .  .      a>b
			6.5 .  slow .  .      a>c
			7   .  .    .  .      a>d
			9   .  .    .  a>e=ok a>g=ok`},
		{"a store wiped and restarted at once", timelineConfig{stores: 4}, `
			ms   s0 s1      s2 s3 f0     f1
			0    .  .       .  .  a=ok   q:k=ok
			200  .  .       .  .  a>b=ok q:k>l=ok
			400  .  wipe,up .  .  b>c=ok q:l>m=ok
			410  .  .       .  .  r:b>n  r:l>o
			450  .  .       .  .  r:b>u  r:m>v
			4600 .  .       .  .  c>d=ok q:m>w=ok`},
		{"two stores lost in sequence with time to catch up in between", timelineConfig{stores: 4}, `
			ms    s0   s1   s2   s3      f0     f1
			0     .    .    .    .       a=ok   q:k=ok
			200   .    .    .    .       a>b=ok q:k>l=ok
			400   wipe .    .    .       .      .
			1400  up   .    .    .       .      .
			5600  .    wipe .    .       b>c=ok q:l>m=ok
			6600  .    up   .    .       .      .
			10800 .    .    .    wipe,up c>d=ok q:m>n=ok
			15000 .    .    wipe .       d>e=ok q:n>o=ok`},
		{"late replies to an open that timed out", timelineConfig{stores: 3, budget: map[string]int{"p": 25}}, `
			ms   s0 s1 s2 f0        f1
			0    .  .  .  a=ok      .
			1000 .  .  .  noreplies .
			1001 .  .  .  a>b=503   .
			1750 .  .  .  a>c~      .
			1760 .  .  .  replies   .
			1900 .  .  .  c!        .
			4000 .  .  .  c>d=ok    .
			4100 .  .  .  .         d>e=ok
			4300 .  .  .  .         e>g=402`},
		{"a turn retried through another front while its first attempt ends",
			timelineConfig{stores: 3, budget: map[string]int{"p": 25}}, `
			ms   s0   s1   s2   f0   f1
			0    .    .    .    a=ok .
			1000 .    .    .    a>b~ .
			1100 slow slow slow .    .
			1101 .    .    .    b!   .
			1102 .    .    .    .    a>c
			1500 fast fast fast .    .
			3000 .    .    .    .    c>d=ok`},
		{"a controller reset after a change, and a store that was down meanwhile", timelineConfig{stores: 4}, `
			ms    s0      s1 s2   s3 f0      f1
			0     .       .  .    .  a=ok    q:k=ok
			500   wipe,up .  .    .  .       .
			6000  .       .  kill .  .       .
			6100  reset   .  .    .  .       .
			12500 .       .  .    .  kill,up kill,up
			13000 .       .  .    .  a>b=ok  q:k>l=ok
			14000 .       .  up   .  .       .
			20000 .       .  .    .  b>c=ok  q:l>m=ok`},
		{"a store lost for good, its successor, and another loss as soon as it is permitted", timelineConfig{stores: 4}, `
			ms   s0   s1   s2        s3 s4 f0       f1
			0    .    .    unreached .  .  a=ok     q:k=ok
			200  .    .    reached   .  .  a>b=ok   q:k>l=ok
			4400 .    wipe .         .  .  .        .
			5400 .    .    .         .  up .        .
			9600 .    .    .         .  .  b>c=ok   q:l>m=ok
			9601 wipe .    .         .  .  .        .
			9650 .    .    .         .  .  c>d=ok   q:m>n=ok
			9700 .    .    .         .  .  r:b>u=ok r:l>v=ok`},
		{"a store frozen while another is added, and another loss as soon as it is permitted", timelineConfig{stores: 4}, `
			ms    s0   s1     s2 s3 s4 f0       f1
			0     .    .      .  .  .  a=ok     q:k=ok
			100   .    freeze .  .  .  .        .
			150   .    .      .  .  up .        .
			3000  .    .      .  .  .  a>b=ok   q:k>l=ok
			6000  .    thaw   .  .  .  .        .
			10200 wipe .      .  .  .  b>c=ok   q:l>m=ok
			10300 .    .      .  .  .  r:b>u=ok r:l>v=ok`},
		{"a slow disk at one of three replicas", timelineConfig{stores: 3}, `
			ms s0 s1   s2 f0     f1
			0  .  slow .  a=ok   .
			20 .  .    .  a>b=ok .
			40 .  .    .  b>c=ok .
			60 .  .    .  .      c>d=ok`},
		{"a sweep after expiry", timelineConfig{stores: 3, retain: 20 * time.Second}, `
			ms    s0 s1    s2 f0      f1
			0     .  .     .  a=ok    .
			500   .  power .  a>b=ok  .
			60000 .  up    .  .       .
			96500 .  .     .  b>d=404 .
			97000 .  .     .  .       a>e=404`},
		{"a retired store lost together with another one", timelineConfig{stores: 4}, `
			ms   s0   s1      s2        s3 f0     f1
			0    .    .       unreached .  a=ok   q:k=ok
			100  .    .       .         .  a>b=ok q:k>l=ok
			200  .    .       reached   .  .      .
			210  .    retire  .         .  .      .
			4000 .    retired .         .  .      .
			4010 wipe wipe    .         .  b>c=ok q:l>m=ok`},
		{"a store partitioned for longer than a program's first turns are retained",
			timelineConfig{stores: 4, retain: 20 * time.Second}, `
			ms    s0       s1   s2   s3   f0     f1
			0     .        .    .    .    a=ok   q:k=ok
			1000  isolated .    .    .    .      .
			15000 .        .    .    .    a>b=ok q:k>l=ok
			30000 .        .    .    .    b>c=ok q:l>m=ok
			44000 .        .    .    .    c>d=ok q:m>n=ok
			45000 rejoined .    .    .    .      .
			52000 .        wipe .    .    .      .
			52200 .        up   .    .    .      .
			56500 .        .    wipe .    .      .
			56700 .        .    up   .    .      .
			60900 .        .    .    wipe d>e=ok q:n>o=ok`},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			playTimeline(t, c.config, c.timeline)
		})
	}
}

// Power is lost at all replicas at each moment of a turn's group commits: acknowledged turns survive.
func TestPowerLossAtAnyMomentOfCommit(t *testing.T) {
	for us := 0; us < 12000; us += 250 {
		playTimeline(t, timelineConfig{stores: 3}, fmt.Sprintf(`
			ms   s0    s1    s2    f0    f1
			0    .     .     .     a,q:k b
			%v   power power power .     .
			300  up    up    up    .     .
			4000 .     .     .     a>c   b>d
			4100 .     .     .     .     k>e`, float64(us)/1000))
	}
}
