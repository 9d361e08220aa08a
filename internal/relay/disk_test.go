package relay

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/vfs/faultfs"
)

// startOn starts a relay whose journal is on a disk with faults, which only the loop touches.
func startOn(t *testing.T, p *platform, d *faultfs.Dir, power bool) *Relay {
	t.Helper()
	return startRelay(t, p, func(c *Config) { c.Files, c.Power = d, power })
}

// in runs a function on the loop.
func in(t *testing.T, r *Relay, f func()) {
	t.Helper()
	if _, err := onLoop(t.Context(), r, func() bool { f(); return true }); err != nil {
		t.Fatal(err)
	}
}

// While the disk is full, new messages are rejected with Retry-After, and admitted ones are attempted, end and get their
// notices from the spare room. When there is room again the relay admits messages by itself. It repeats that, and nothing is
// lost at the next start.
func TestDiskFillsAndFrees(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	d := faultfs.New(1)
	r := startOn(t, p, d, false)
	for round := range 5 {
		in(t, r, func() { d.Space = -1 })
		pending := fmt.Sprint("held-", round)
		status, _ := hand(t, r.Addr(), pending, "status-update")
		want(t, "status with room", status, 202)
		in(t, r, func() { d.Space = d.Used() })
		c := wait(t, calls, "call")
		want(t, "id", c.id, pending)
		for i := range 3 {
			status, after := hand(t, r.Addr(), fmt.Sprint("new-", round, "-", i), "payment")
			want(t, "status on a full disk", status, 503)
			want(t, "Retry-After is set", after != "", true)
		}
		c.answer <- 429 // it is retried: more records
		c = wait(t, calls, "second call")
		want(t, "id", c.id, pending)
		c.answer <- 200
		for left := 1; left > 0; {
			in(t, r, func() { left = len(r.pending) })
		}
	}
	in(t, r, func() { d.Space = -1 })
	status, _ := hand(t, r.Addr(), "last", "payment")
	want(t, "status once there is room", status, 202)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "last")
	c.answer <- 200
}

// With a disk that cannot sync any more the relay admits nothing, sends nothing, and reports why.
func TestFailedSyncAdmitsNothing(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	d := faultfs.New(1)
	r := startOn(t, p, d, true)
	status, _ := hand(t, r.Addr(), "m1", "payment")
	want(t, "status", status, 202)
	wait(t, calls, "call").answer <- 200
	for left := 1; left > 0; {
		in(t, r, func() { left = len(r.pending) })
	}
	in(t, r, func() {
		d.FailSync = map[int]error{}
		for i := range 1000 {
			d.FailSync[i] = syscall.EIO
		}
	})
	for i := range 3 {
		status, _ = hand(t, r.Addr(), fmt.Sprint("new-", i), "payment")
		want(t, "status after the sync had failed", status, 503)
		in(t, r, func() { d.FailSync = nil }) // that the next sync would succeed changes nothing
	}
	want(t, "calls", len(calls), 0)
	var fault string
	in(t, r, func() { fault = r.journalView().Trouble })
	want(t, "it reports the reason", fault != "", true)
}

// A message that its client repeats after a restart is not admitted again.
func TestEndedIDsSurviveRestart(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	state := t.TempDir()
	cmd, addr := process(t, p, state)
	hand(t, addr, "m1", "payment")
	wait(t, calls, "call").answer <- 200
	hand(t, addr, "m2", "payment")
	wait(t, calls, "call").answer <- 500 // it may have run
	want(t, "notice", wait(t, p.notices, "notice").ID, "m2")
	cmd.Process.Kill()
	cmd.Wait()
	_, addr = process(t, p, state)
	for _, id := range []string{"m1", "m2"} {
		status, _ := hand(t, addr, id, "payment")
		want(t, "status of "+id+" again", status, 202)
	}
	status, _ := hand(t, addr, "m1", "status-update")
	want(t, "status of another message under m1", status, 409)
	hand(t, addr, "m3", "payment")
	c := wait(t, calls, "call")
	want(t, "the only call", c.id, "m3")
	c.answer <- 200
}

// An unreadable record may have been an attempt: a payment from before it is not sent again, a repeatable message is, and
// what was recorded after it is unaffected.
func TestDamagedJournalRepeatsNoPayment(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	state := t.TempDir()
	p.mu.Lock()
	p.now.Servers = []hostEntry{at("s-1", p.now.Servers[0].Addr, "taller")}
	p.now.Servers[0].State = "leaving" // nothing is sent yet
	p.mu.Unlock()
	cmd, addr := process(t, p, state)
	for _, id := range []string{"pay", "status", "torn", "after"} {
		class := "payment"
		if id == "status" {
			class = "status-update"
		}
		status, _ := hand(t, addr, id, class)
		want(t, "status", status, 202)
	}
	cmd.Process.Kill()
	cmd.Wait()
	names, err := filepath.Glob(filepath.Join(state, "journal-*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		data, _ := os.ReadFile(name)
		for i := range data {
			if i+4 < len(data) && string(data[i:i+4]) == "torn" {
				data[i] ^= 1
			}
		}
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p.mu.Lock()
	p.now.Servers[0].State = "active"
	p.mu.Unlock()
	process(t, p, state)
	got := map[string]bool{}
	for range 2 {
		c := wait(t, calls, "call")
		got[c.id] = true
		c.answer <- 200
	}
	want(t, "sent", fmt.Sprint(got), fmt.Sprint(map[string]bool{"after": true, "status": true}))
	want(t, "notice", wait(t, p.notices, "notice"), notice{"pay", undeliverable, 0})
	select {
	case c := <-calls:
		t.Errorf("%s was sent", c.id)
	case <-time.After(100 * time.Millisecond):
	}
}
