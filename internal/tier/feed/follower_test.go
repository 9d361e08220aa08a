package feed

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestFollowerTimelines(t *testing.T) {
	for name, one := range map[string]struct{ seeds, timeline string }{
		"its first sources are cut off at the start": {"a+b+c", `
			ms    commits  a         b         c         front
			0     few      cut,joins cut,joins up,joins  .
			100   .        .         .         .         v1
			200   edit     .         .         .         .
			300   .        .         .         .         v2`},
		"its seeds name only the side that is cut off, the rest is learned": {"a+b", `
			ms    commits  a           b           c         d         e         front
			0     few      alone,joins alone,joins up,joins  up,joins  up,joins  .
			900   .        .           .           .         .         .         v0
			1300  .        .           .           .         .         .         v1
			2000  edit     .           .           .         .         .         .
			2100  .        .           .           .         .         .         v2`},
		"all are down at the start, then one comes": {"a+b+c", `
			ms    commits  a          b          c          front
			0     few      down,joins down,joins down,joins .
			20000 .        .          .          .          v0
			20001 .        .          up         .          .
			21000 .        .          .          .          v1`},
		"a source that answers late does not overwrite a later one's": {"a+b", `
			ms    commits  a             b          front
			0     few      up,slow,joins cut,joins  .
			100   edit     .             .          v0
			101   .        alone         up         .
			350   .        .             .          v2
			1000  .        .             .          v2
			1001  .        cut           lies,slow  .
			1100  edit     up            .          v2
			1750  .        .             alone      v2
			4000  .        .             .          v3`},
		"a frozen source wakes and calls itself fresh": {"a+b", `
			ms    commits  a          b          front
			0     few      up,joins   down,joins .
			100   .        frozen     .          v1
			200   edit     .          up         .
			2500  edit     .          .          v2
			2600  .        lies       down       v3
			3000  .        .          .          v3
			5000  .        .          .          v3
			5001  edit     up         .          .
			6500  .        .          .          v4`},
		"a source is behind": {"a+b", `
			ms    commits  a          b          front
			0     few      up,joins   down,joins .
			100   .        alone      .          v1
			101   edit     .          up         .
			2000  .        .          .          v2
			2001  .        .          down       .
			4000  edit     .          .          v2
			4001  .        up         .          .
			5500  .        .          .          v3`},
		"core nodes are replaced one after the other until no seed exists": {"a+b+c", `
			ms    commits  a           b           c           d        e        f        front
			0     few      up,joins    up,joins    up,joins    .        .        .        .
			1000  edit     down,leaves .           .           up,joins .        .        .
			3000  edit     .           down,leaves .           .        up,joins .        v2
			5000  edit     .           .           down,leaves .        .        up,joins v3
			7000  edit     .           .           .           .        .        .        v4
			8000  .        .           .           .           .        .        .        v5`},
		"a node that was cut off names members that are gone": {"a+b", `
			ms    commits  a          b           c        front
			0     few      up,joins   up,joins    .        .
			900   .        alone      .           .        v1
			1000  edit     leaves     .           up,joins .
			3000  .        .          down,leaves cut      v2
			5000  edit     .          .           up       .
			8000  .        .          .           .        v3`},
		"all were replaced while it was cut off: a hangup names the new ones": {"a+b", `
			ms    commits  a           b           c        d        front
			0     few      up,joins    up,joins    .        .        .
			1000  .        cut         cut         .        .        v1
			1001  edit     leaves      leaves      up,joins up,joins .
			9000  .        .           .           .        .        v1
			9001  .        .           .           .        .        seeds=c
			13500 .        .           .           .        .        v2`},
		"members that it learned are gone, its seeds are back": {"a", `
			ms    commits  a           b           c        front
			0     few      up,joins    up,joins    .        .
			1000  .        cut,leaves  .           .        v1
			2500  edit     .           .           .        .
			3000  .        .           .           .        v2
			3001  edit     up,joins    down        .        .
			6000  .        .           .           .        v3`},
	} {
		t.Run(name, func(t *testing.T) { playTimeline(t, one.seeds, one.timeline, nil) })
	}
}

// A cut heals at any moment of a poll, of its end and of the pauses between polls.
func TestPartitionHealsAtAnyTime(t *testing.T) {
	for heals := 1000; heals < 2600; heals += 17 {
		playTimeline(t, "a+b+c", fmt.Sprintf(`
			ms    commits  a          b           c          front
			0     few      up,joins   up,joins    up,joins   .
			500   .        alone      cut         alone      v1
			%d    edit     up         up          .          .
			%d    .        .          .           .          v2`, heals, heals+2300), nil)
	}
}

// Both core nodes are asked at the start; after the sleep there is one answer, and one value or one difference.
func TestCatchUpAfterThreeHundredChanges(t *testing.T) {
	asleep := `
		ms    commits  a          b           front
		0     %s       up,joins   up,joins    .
		1000  .        cut        cut         v1
		1001  x300     .          .           .
		5000  .        %[2]s      %[2]s       v1
		8000  .        .          .           v301`
	for name, one := range map[string]struct {
		size, wakes            string
		whole, patches, pieces int
		bytes                  int
	}{
		"short values":                  {"few", "up", 3, 0, 0, 3 << 10},
		"the old value is kept":         {"some", "up", 2, 1, 0, 24 << 10},
		"the old value is gone":         {"some", "lost,up", 3, 0, 0, 36 << 10},
		"large, the old value is kept":  {"large", "up", 0, 1, 3, 152 << 10},
		"large and the old one is gone": {"large", "lost,up", 0, 0, 6, 303 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			playTimeline(t, "a+b", fmt.Sprintf(asleep, one.size, one.wakes), func(w *scriptedCluster) {
				if w.traffic.full != one.whole || w.traffic.patches != one.patches || w.traffic.chunks != one.pieces || w.traffic.bytes > one.bytes {
					t.Errorf("%+v, wanted %+v", w.traffic, one)
				}
			})
		})
	}
}

// One that is awake takes each change as a difference: 300 of 11 KB are 3.4 MB otherwise.
func TestThreeHundredChangesAsDeltas(t *testing.T) {
	playTimeline(t, "a+b", `
		ms    commits  a          b           front
		0     some     up,joins   up,joins    .
		1000  x300     .          .           .
		5000  .        .          .           v301`, func(w *scriptedCluster) {
		if w.traffic.full > 2 || w.traffic.patches < 250 || w.traffic.bytes > 90<<10 {
			t.Errorf("%+v", w.traffic)
		}
	})
}

func TestLargeValueResumesAtAnotherSource(t *testing.T) {
	playTimeline(t, "a+b", `
		ms    commits  a             b             front
		0     large    up,slow,joins down,joins    .
		700   .        cut           up            v0
		1000  .        .             .             v0
		3500  .        .             .             v1`, func(w *scriptedCluster) {
		if w.traffic.chunks != 4 {
			t.Errorf("%d pieces were asked for of a value of three, of which one was lost", w.traffic.chunks)
		}
	})
}

// 5 MB take 1.35 s over a link of 30 Mbit/s, and a poll is given up after 0.95 s: the value comes, polls go on beside it,
// and the source dies on the way.
func TestFiveMegabytesOverSlowLink(t *testing.T) {
	playTimeline(t, "a+b", `
		ms    commits  a              b               front
		0     huge     up,thin,joins  down,thin,joins .
		1300  .        .              .               v0
		1600  edit     .              .               v1
		2200  .        .              .               v2
		2201  huge!    .              .               .
		3000  .        cut            up              v2
		6500  .        .              .               v3`, func(w *scriptedCluster) {
		if size := len(w.log.entries[0].Value); size < 5_000_000 {
			t.Errorf("a value of %d bytes", size)
		}
		pieces := (len(w.log.entries[0].Value)+maxChunkSize-1)/maxChunkSize + (len(w.log.entries[2].Value)+maxChunkSize-1)/maxChunkSize
		if w.traffic.chunks > pieces+2*maxChunksInFlight || w.traffic.polls < 6 {
			t.Errorf("%+v of %d pieces", w.traffic, pieces)
		}
	})
}

// Where all sources are busy the follower asks for a piece now and then, and its polls go on.
func TestLargeValueWhileSourcesAreBusy(t *testing.T) {
	playTimeline(t, "a+b", `
		ms    commits  a             b              front
		0     large    up,busy,joins up,busy,joins  .
		10000 .        .             .              v0
		10001 .        .             serves         .
		11500 .        .             .              v1`, func(w *scriptedCluster) {
		if w.traffic.chunks < 20 || w.traffic.chunks > 80 {
			t.Errorf("%d calls for pieces in ten seconds", w.traffic.chunks)
		}
	})
}

// Versions that come faster than a value can be fetched do not start it anew for ever.
func TestLargeValueCompletesWhileVersionsAdvance(t *testing.T) {
	playTimeline(t, "a+b", `
		ms    commits     a             b          front
		0     large       up,slow,joins down,joins .
		500   edit        .             .          .
		800   edit        .             .          .
		1100  edit,place  .             .          .
		1400  edit        .             .          .
		4000  .           .             .          v5`, func(w *scriptedCluster) {
		if w.traffic.chunks != 3 || w.traffic.patches == 0 {
			t.Errorf("%+v, wanted 3 pieces and a delta", w.traffic)
		}
	})
}

// Where no source has it any more, the newest one is fetched.
func TestLargeValueLostAtAllSources(t *testing.T) {
	playTimeline(t, "a+b", `
		ms    commits  a             b          front
		0     large    up,slow,joins down,joins .
		700   large!   lost          .          .
		800   .        quick         .          .
		6000  .        .             .          v2`, nil)
}

func TestSourceWithoutBaseValueSendsFullValue(t *testing.T) {
	playTimeline(t, "a+b", `
		ms    commits  a          b           front
		0     some     up,joins   down,joins  .
		1000  .        lost       .           v1
		1001  edit     lost       .           .
		1500  .        .          .           v2`, func(w *scriptedCluster) {
		if w.traffic.patches != 0 || w.traffic.full != 2 {
			t.Errorf("%+v, wanted two whole values", w.traffic)
		}
	})
}

func TestCorruptDeltaIsRequestedInFull(t *testing.T) {
	for _, size := range []string{"some", "large"} {
		playTimeline(t, "a", fmt.Sprintf(`
			ms    commits  a                  front
			0     %s       up,joins,garbles   .
			1000  edit     .                  v1
			1500  .        .                  v2
			1501  .        honest             .
			1502  edit     .                  .
			2000  .        .                  v3`, size), func(w *scriptedCluster) {
			if w.traffic.patches != 2 {
				t.Errorf("%+v, wanted a wrong delta and a right one", w.traffic)
			}
		})
	}
}

// While no source is fresh the follower goes on with what it has, asks at a bounded rate, and does not call it heard.
func TestNoConfirmedSourceForAMinute(t *testing.T) {
	for _, trouble := range []string{"alone", "cut", "down", "lies"} {
		playTimeline(t, "a+b+c", fmt.Sprintf(`
			ms    commits  a          b           c          front
			0     few      up,joins   up,joins    up,joins   .
			1000  few      .          .           .          .
			1900  .        %[1]s      %[1]s       %[1]s      v2
			61900 .        .          .           .          v2`, trouble), func(w *scriptedCluster) {
			if heard := time.Since(w.follower.Tables().ConfirmedAt); trouble != "lies" && heard < 60*time.Second {
				t.Errorf("%s: heard %v ago", trouble, heard)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if calls := w.calls; trouble != "lies" && calls > 60*4 {
				t.Errorf("%s: %d calls in a minute", trouble, calls)
			}
		})
	}
}

// Heard is when the poll was sent, not when its answer came.
func TestConfirmedAtIsWhenThePollWasSent(t *testing.T) {
	playTimeline(t, "a", `
		ms    commits  a             front
		0     few      up,joins,slow .
		400   .        .             v1`, func(w *scriptedCluster) {
		if heard := time.Since(w.follower.Tables().ConfirmedAt); heard < 390*time.Millisecond || heard > 400*time.Millisecond {
			t.Errorf("the answer, of a poll that was sent at 0 ms, was heard %v ago at 400 ms", heard)
		}
	})
}
