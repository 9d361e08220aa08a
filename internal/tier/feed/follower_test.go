package feed

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestFollowerConvergesDespiteSourceFailures(t *testing.T) {
	for name, test := range map[string]struct{ seeds, timeline string }{
		"first sources partitioned at the start": {"a+b+c", `
			ms  commits a         b         c        front
			0   few     cut,joins cut,joins up,joins .
			100 .       .         .         .        v1
			200 edit    .         .         .        .
			300 .       .         .         .        v2`},
		"seeds on the partitioned side only, others learned": {"a+b", `
			ms   commits a              b              c        d        e        front
			0    few     minority,joins minority,joins up,joins up,joins up,joins .
			900  .       .              .              .        .        .        v0
			1300 .       .              .              .        .        .        v1
			2000 edit    .              .              .        .        .        .
			2100 .       .              .              .        .        .        v2`},
		"all down at the start, then one starts": {"a+b+c", `
			ms    commits a          b          c          front
			0     few     down,joins down,joins down,joins .
			20000 .       .          .          .          v0
			20001 .       .          up         .          .
			21000 .       .          .          .          v1`},
		"late response does not overwrite a newer one": {"a+b", `
			ms   commits a             b                 front
			0    few     up,slow,joins cut,joins         .
			100  edit    .             .                 v0
			101  .       minority      up                .
			350  .       .             .                 v2
			1000 .       .             .                 v2
			1001 .       cut           falseconfirm,slow .
			1100 edit    up            .                 v2
			1750 .       .             minority          v2
			4000 .       .             .                 v3`},
		"frozen source resumes and claims to be confirmed": {"a+b", `
			ms   commits a            b          front
			0    few     up,joins     down,joins .
			100  .       frozen       .          v1
			200  edit    .            up         .
			2500 edit    .            .          v2
			2600 .       falseconfirm down       v3
			3000 .       .            .          v3
			5000 .       .            .          v3
			5001 edit    up           .          .
			6500 .       .            .          v4`},
		"source behind": {"a+b", `
			ms   commits a        b          front
			0    few     up,joins down,joins .
			100  .       minority .          v1
			101  edit    .        up         .
			2000 .       .        .          v2
			2001 .       .        down       .
			4000 edit    .        .          v2
			4001 .       up       .          .
			5500 .       .        .          v3`},
		"core nodes replaced until no seed exists": {"a+b+c", `
			ms   commits a           b           c           d        e        f        front
			0    few     up,joins    up,joins    up,joins    .        .        .        .
			1000 edit    down,leaves .           .           up,joins .        .        .
			3000 edit    .           down,leaves .           .        up,joins .        v2
			5000 edit    .           .           down,leaves .        .        up,joins v3
			7000 edit    .           .           .           .        .        .        v4
			8000 .       .           .           .           .        .        .        v5`},
		"partitioned node names removed members": {"a+b", `
			ms   commits a        b           c        front
			0    few     up,joins up,joins    .        .
			900  .       minority .           .        v1
			1000 edit    leaves   .           up,joins .
			3000 .       .        down,leaves cut      v2
			5000 edit    .        .           up       .
			8000 .       .        .           .        v3`},
		"all replaced during a partition, new seeds by SIGHUP": {"a+b", `
			ms    commits a        b        c        d        front
			0     few     up,joins up,joins .        .        .
			1000  .       cut      cut      .        .        v1
			1001  edit    leaves   leaves   up,joins up,joins .
			9000  .       .        .        .        .        v1
			9001  .       .        .        .        .        seeds=c
			13500 .       .        .        .        .        v2`},
		"learned members removed, seeds return": {"a", `
			ms   commits a          b        c front
			0    few     up,joins   up,joins . .
			1000 .       cut,leaves .        . v1
			2500 edit    .          .        . .
			3000 .       .          .        . v2
			3001 edit    up,joins   down     . .
			6000 .       .          .        . v3`},
	} {
		t.Run(name, func(t *testing.T) { runTimeline(t, test.seeds, test.timeline, nil) })
	}
}

// The partition heals at many different times: during polls, at their time-outs and in the pauses between them. The
// follower must always apply the change within 2.3 s.
func TestFollowerCatchesUpWheneverPartitionHeals(t *testing.T) {
	for healsAt := 1000; healsAt < 2600; healsAt += 17 {
		runTimeline(t, "a+b+c", fmt.Sprintf(`
			ms  commits a        b        c        front
			0   few     up,joins up,joins up,joins .
			500 .       minority cut      minority v1
			%d  edit    up       up       .        .
			%d  .       .        .        .        v2`, healsAt, healsAt+2300), nil)
	}
}

// Both core nodes are polled at the start. After the partition, the 300 missed versions arrive as a single value or
// delta.
func TestCatchUpTransfersOnlyNewestValue(t *testing.T) {
	timeline := `
		ms   commits a        b        front
		0    %s      up,joins up,joins .
		1000 .       cut      cut      v1
		1001 x300    .        .        .
		5000 .       %[2]s    %[2]s    v1
		8000 .       .        .        v301`
	for name, test := range map[string]struct {
		size, recovery string
		traffic        trafficCounts // bytes: at most
	}{
		"short values":                {"few", "up", trafficCounts{full: 3, bytes: 3 << 10}},
		"old value cached":            {"some", "up", trafficCounts{full: 2, patches: 1, bytes: 24 << 10}},
		"old value not cached":        {"some", "evicted,up", trafficCounts{full: 3, bytes: 36 << 10}},
		"large, old value cached":     {"large", "up", trafficCounts{patches: 1, chunks: 3, bytes: 152 << 10}},
		"large, old value not cached": {"large", "evicted,up", trafficCounts{chunks: 6, bytes: 303 << 10}},
	} {
		t.Run(name, func(t *testing.T) {
			runTimeline(t, "a+b", fmt.Sprintf(timeline, test.size, test.recovery), func(w *scriptedCluster) {
				got, want := w.traffic, test.traffic
				if got.full != want.full || got.patches != want.patches || got.chunks != want.chunks || got.bytes > want.bytes {
					t.Errorf("%+v, want %+v", got, want)
				}
			})
		})
	}
}

// A connected follower receives changes as deltas: 300 full values of 11 KB would be 3.4 MB.
func TestConnectedFollowerReceivesDeltas(t *testing.T) {
	runTimeline(t, "a+b", `
		ms   commits a        b        front
		0    some    up,joins up,joins .
		1000 x300    .        .        .
		5000 .       .        .        v301`, func(w *scriptedCluster) {
		if w.traffic.full > 2 || w.traffic.patches < 250 || w.traffic.bytes > 90<<10 {
			t.Errorf("%+v", w.traffic)
		}
	})
}

func TestLargeValueResumesAtAnotherSource(t *testing.T) {
	runTimeline(t, "a+b", `
		ms   commits a             b          front
		0    large   up,slow,joins down,joins .
		700  .       cut           up         v0
		1000 .       .             .          v0
		3500 .       .             .          v1`, func(w *scriptedCluster) {
		if w.traffic.chunks != 4 {
			t.Errorf("%d chunks were requested of a value of three, of which one was lost", w.traffic.chunks)
		}
	})
}

// 5 MB take 1.35 s over a link of 30 Mbit/s, longer than a poll's time-out of 0.95 s. The value must be downloaded while
// polls continue, and the download must survive the failure of the source.
func TestSlowDownloadSurvivesSourceFailure(t *testing.T) {
	runTimeline(t, "a+b", `
		ms   commits a                     b                       front
		0    huge    up,lowbandwidth,joins down,lowbandwidth,joins .
		1300 .       .                     .                       v0
		1600 edit    .                     .                       v1
		2200 .       .                     .                       v2
		2201 huge!   .                     .                       .
		3000 .       cut                   up                      v2
		6500 .       .                     .                       v3`, func(w *scriptedCluster) {
		if size := len(w.log.entries[0].Value); size < 5_000_000 {
			t.Errorf("a value of %d bytes", size)
		}
		chunks := 0
		for _, i := range []int{0, 2} {
			chunks += (len(w.log.entries[i].Value) + maxChunkSize - 1) / maxChunkSize
		}
		if w.traffic.chunks > chunks+2*maxChunksInFlight || w.traffic.polls < 6 {
			t.Errorf("%+v of %d chunks", w.traffic, chunks)
		}
	})
}

// While all sources are at their limit of transfers, the follower requests chunks at a bounded rate, and polls continue.
func TestChunkRequestsAreBoundedWhileSourcesAreBusy(t *testing.T) {
	runTimeline(t, "a+b", `
		ms    commits a             b             front
		0     large   up,busy,joins up,busy,joins .
		10000 .       .             .             v0
		10001 .       .             idle          .
		11500 .       .             .             v1`, func(w *scriptedCluster) {
		if w.traffic.chunks < 20 || w.traffic.chunks > 80 {
			t.Errorf("%d chunk requests in ten seconds", w.traffic.chunks)
		}
	})
}

// A download must not restart with each new version: versions that change faster than it takes would never be applied.
func TestLargeValueCompletesWhileVersionsAdvance(t *testing.T) {
	runTimeline(t, "a+b", `
		ms   commits        a             b          front
		0    large          up,slow,joins down,joins .
		500  edit           .             .          .
		800  edit           .             .          .
		1100 edit,placement .             .          .
		1400 edit           .             .          .
		4000 .              .             .          v5`, func(w *scriptedCluster) {
		if w.traffic.chunks != 3 || w.traffic.patches == 0 {
			t.Errorf("%+v, want 3 chunks and a delta", w.traffic)
		}
	})
}

// If no source has the value any more, the follower abandons its download and downloads the newest value.
func TestNewestValueReplacesDownloadLostAtAllSources(t *testing.T) {
	runTimeline(t, "a+b", `
		ms   commits a             b          front
		0    large   up,slow,joins down,joins .
		700  large!  evicted       .          .
		800  .       fast          .          .
		6000 .       .             .          v2`, nil)
}

func TestSourceWithoutBaseValueSendsFullValue(t *testing.T) {
	runTimeline(t, "a+b", `
		ms   commits a        b          front
		0    some    up,joins down,joins .
		1000 .       evicted  .          v1
		1001 edit    evicted  .          .
		1500 .       .        .          v2`, func(w *scriptedCluster) {
		if w.traffic.patches != 0 || w.traffic.full != 2 {
			t.Errorf("%+v, want two full values", w.traffic)
		}
	})
}

func TestCorruptDeltaIsRequestedInFull(t *testing.T) {
	for _, size := range []string{"some", "large"} {
		runTimeline(t, "a", fmt.Sprintf(`
			ms   commits a                 front
			0    %s      up,joins,corrupts .
			1000 edit    .                 v1
			1500 .       .                 v2
			1501 .       intact            .
			1502 edit    .                 .
			2000 .       .                 v3`, size), func(w *scriptedCluster) {
			if w.traffic.patches != 2 {
				t.Errorf("%+v, want a corrupt delta and a correct one", w.traffic)
			}
		})
	}
}

// While no response is confirmed, the follower keeps its tables, polls at a bounded rate, and ConfirmedAt does not
// advance.
func TestFollowerWithoutConfirmedSourceKeepsTables(t *testing.T) {
	for _, fault := range []string{"minority", "cut", "down", "falseconfirm"} {
		runTimeline(t, "a+b+c", fmt.Sprintf(`
			ms    commits a        b        c        front
			0     few     up,joins up,joins up,joins .
			1000  few     .        .        .        .
			1900  .       %[1]s    %[1]s    %[1]s    v2
			61900 .       .        .        .        v2`, fault), func(w *scriptedCluster) {
			if age := time.Since(w.follower.Tables().ConfirmedAt); fault != "falseconfirm" && age < 60*time.Second {
				t.Errorf("%s: confirmed %v ago", fault, age)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if calls := w.calls; fault != "falseconfirm" && calls > 60*4 {
				t.Errorf("%s: %d calls in a minute", fault, calls)
			}
		})
	}
}

func TestConfirmedAtIsWhenThePollWasSent(t *testing.T) {
	runTimeline(t, "a", `
		ms  commits a             front
		0   few     up,joins,slow .
		400 .       .             v1`, func(w *scriptedCluster) {
		if age := time.Since(w.follower.Tables().ConfirmedAt); age < 390*time.Millisecond || age > 400*time.Millisecond {
			t.Errorf("the response to a poll that was sent at 0 ms was confirmed %v ago at 400 ms", age)
		}
	})
}

// A follower without a base value that the source has cached receives the value compressed, in the response itself.
func TestValuesAreCompressed(t *testing.T) {
	timeline := `
		ms   commits a                   b                   front
		0    %s      up,compresses,joins up,compresses,joins .
		1000 .       cut                 cut                 v1
		1001 x300    .                   .                   .
		5000 .       %[2]s               %[2]s               v1
		8000 .       .                   .                   v301`
	for name, test := range map[string]struct {
		size, recovery string
		maxBytes       int
	}{
		"short values":                {"few", "up", 3 << 10}, // in full
		"old value cached":            {"some", "up", 8 << 10},
		"old value not cached":        {"some", "evicted,up", 12 << 10},
		"large, old value cached":     {"large", "up", 76 << 10},
		"large, old value not cached": {"large", "evicted,up", 112 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			runTimeline(t, "a+b", fmt.Sprintf(timeline, test.size, test.recovery), func(w *scriptedCluster) {
				if w.traffic.chunks != 0 || w.traffic.bytes > test.maxBytes || name != "short values" && w.traffic.full != 0 {
					t.Errorf("%+v, want at most %d bytes", w.traffic, test.maxBytes)
				}
			})
		})
	}
}

// A compressed value that fails its digest check is requested in full.
func TestCorruptCompressedValueIsRequestedInFull(t *testing.T) {
	for _, size := range []string{"some", "large"} {
		runTimeline(t, "a", fmt.Sprintf(`
			ms   commits a                            front
			0    %s      up,joins,compresses,corrupts .
			1500 .       .                            v1
			1501 edit    intact                       .
			2000 .       .                            v2`, size), func(w *scriptedCluster) {
			if w.traffic.patches != 2 || w.traffic.full+w.traffic.refs != 1 {
				t.Errorf("%+v, want a corrupt compressed value, one in full, and a delta", w.traffic)
			}
		})
	}
}

// A value that is too large even when compressed is downloaded in chunks.
func TestHugeValueIsDownloadedInChunks(t *testing.T) {
	runTimeline(t, "a", `
		ms   commits a                   front
		0    huge    up,joins,compresses .
		4000 .       .                   v1`, func(w *scriptedCluster) {
		if w.traffic.chunks == 0 || w.traffic.patches != 0 {
			t.Errorf("%+v", w.traffic)
		}
	})
}
