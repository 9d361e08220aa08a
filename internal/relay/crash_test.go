package relay

import (
	"bytes"
	"flag"
	"math/rand/v2"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/relay/journal"
)

var (
	kills    = flag.Int("kills", 100, "how often TestKillsUnderLoad kills the process")
	killSeed = flag.Uint64("kills.seed", 1, "seed of TestKillsUnderLoad")
)

// The real program is killed repeatedly at random points under load, while its small journal is always being compacted.
// After each kill every message is audited at the partners, at the platform and in the journal: no admitted one is missing,
// none with a notice is to be sent again, no payment ran twice, job orders ran in one building.
func TestKillsUnderLoad(t *testing.T) {
	t.Logf("seed %d", *killSeed)
	draw := rand.New(rand.NewPCG(*killSeed, 0))
	f := newEffects()
	f.of = 12 // mostly healthy: hosts that fail in turn are avoided for longer and longer
	s := &upgradeSite{t: t, state: t.TempDir(), addr: quietAddr(t),
		p: newPlatform(t, at("s-1", f.host(t, "a"), "taller"), at("s-2", f.host(t, "b"), "almacen"))}
	s.p.notices = make(chan notice, 1_000_000)
	begin := func() *exec.Cmd {
		config := bytes.Replace(testConfig(t, s.p), []byte(`"disk_mb":3`), []byte(`"disk_mb":0.8`), 1)
		cmd, serves := processWith(t, bytes.Replace(config, []byte("127.0.0.1:0"), []byte(s.addr), 1), s.state)
		wait(t, serves, "address")
		return cmd
	}
	cmd := begin()
	load := startLoad(s.addr, time.Millisecond, 3000)
	notified := map[string]bool{}
	dropped := uint64(0) // segments that compaction removed
	for n := range *kills {
		wait(t, f.progress, "call")
		time.Sleep(time.Duration(draw.IntN(60_000)) * time.Microsecond) // the point of the kill only
		s.end(cmd, syscall.SIGKILL)
		j, err := journal.Inspect(s.state)
		if err != nil {
			t.Fatalf("kill %d: %v", n, err)
		}
		rep := j.Report()
		if len(rep.Damage)+len(rep.Lost) > 0 {
			t.Fatalf("kill %d: %v, lost %v", n, rep.Damage, rep.Lost)
		}
		if len(rep.Segments) > 0 {
			dropped = max(dropped, rep.Segments[0].First)
		}
		load.drain(time.Now())
		f.mu.Lock()
		for len(s.p.notices) > 0 {
			id := (<-s.p.notices).ID
			f.over[id], notified[id] = true, true
		}
		for id, ok := range load.admitted {
			e := j.Entries[id]
			if ok && !f.over[id] && e == nil {
				t.Errorf("kill %d: %s was admitted and has neither an end nor an entry", n, id)
			}
			if notified[id] && e != nil && e.Status == "" {
				t.Errorf("kill %d: %s has a notice and is to be sent again", n, id)
			}
		}
		for len(f.progress) > 0 {
			<-f.progress
		}
		f.mu.Unlock()
		f.check(t)
		if t.Failed() {
			t.FailNow()
		}
		cmd = begin()
	}
	admitted := load.end(t)
	f.ends(t, s.p, admitted)
	f.check(t)
	if dropped < 2 {
		t.Error("compaction let go of nothing")
	}
	t.Logf("%d kills; %d messages submitted, %d admitted, each with its end; the log dropped its first %d records",
		*kills, len(admitted), countAdmitted(admitted), dropped)
}
