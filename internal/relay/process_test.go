package relay

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/relay/journal"
	"larchrouter/internal/testbin"
)

func TestMain(m *testing.M) { testbin.Main(m) }

// process starts the program and returns its address once it serves.
func process(t *testing.T, p *platform, state string) (*exec.Cmd, string) {
	t.Helper()
	cmd, addr := processAt(t, p, state, "127.0.0.1:0")
	return cmd, wait(t, addr, "address")
}

// processAt starts the program at an address; the channel reports the address once it serves.
func processAt(t *testing.T, p *platform, state, listen string) (*exec.Cmd, chan string) {
	t.Helper()
	return processWith(t, bytes.Replace(testConfig(t, p), []byte("127.0.0.1:0"), []byte(listen), 1), state)
}

// processWith starts the program with a configuration; the channel reports the address once it serves.
func processWith(t *testing.T, text []byte, state string) (*exec.Cmd, chan string) {
	t.Helper()
	path, err := testbin.Path()
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_STATE="+state)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	addr := make(chan string, 1)
	go func() {
		for s := bufio.NewScanner(logs); s.Scan(); {
			if _, a, ok := strings.Cut(s.Text(), "addr="); ok {
				addr <- a
			}
		}
	}()
	return cmd, addr
}

func up(t *testing.T, addr string) {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/up")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want(t, "status of /up", resp.StatusCode, 200)
}

// A relay killed with a call in flight loses nothing and causes no second effect: a safe message is retried, a keyed one is
// retried in the same zone, an unsafe one ends with a notice.
func TestKillAndRestart(t *testing.T) {
	for _, class := range []string{"job-order", "status-update", "payment"} {
		t.Run(class, func(t *testing.T) {
			calls := make(chan *seen, 10)
			p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"), at("s-2", fakeHost(t, "b", calls), "almacen"))
			state := t.TempDir()
			cmd, addr := process(t, p, state)
			up(t, addr)
			status, _ := hand(t, addr, "m1", class)
			want(t, "status", status, 202)
			first := wait(t, calls, "call")
			cmd.Process.Kill()
			cmd.Wait()
			_, addr = process(t, p, state)
			up(t, addr)
			if class == "payment" {
				want(t, "notice", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
				hand(t, addr, "m2", class)
				c := wait(t, calls, "call")
				want(t, "id of the next call", c.id, "m2")
				c.answer <- 200
				return
			}
			c := wait(t, calls, "call after the restart")
			want(t, "id", c.id, "m1")
			want(t, "body", c.body, first.body)
			want(t, "key", c.key, first.key)
			if class == "job-order" {
				want(t, "host, which alone remembers the key", c.host, first.host)
			}
			c.answer <- 200
		})
	}
}

// A stop neither drops a call in flight nor rejects clients that still come.
func TestSIGTERM(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	cmd, addr := process(t, p, t.TempDir())
	hand(t, addr, "m1", "payment")
	first := wait(t, calls, "call")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
	status, _ := hand(t, addr, "m2", "payment")
	want(t, "status after SIGTERM", status, 202)
	first.answer <- 200
	wait(t, calls, "second call").answer <- 200
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v, want 0", err)
	}
	if len(p.notices) > 0 {
		t.Fatalf("notice %v, want none", <-p.notices)
	}
}

// A message whose deadline passed while the relay was down gets its notice at once.
func TestExpiredMessageGetsNoticeAtOnce(t *testing.T) {
	for _, c := range []struct {
		class, status string
		tried         bool
	}{{"status-update", deferred, true}, {"payment", deferred, false}, {"payment", undeliverable, true}} {
		calls := make(chan *seen, 10)
		p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
		startRelay(t, p, func(conf *Config) {
			j, err := journal.Open(conf.State, journal.Options{Budget: 3e6})
			if err != nil {
				t.Fatal(err)
			}
			past := time.Now().Add(-time.Second).UnixMilli()
			recs := []journal.Record{{Op: journal.OpTaken, Entry: &journal.Entry{ID: "m1", Class: c.class, Dest: 7, Due: past}}}
			if c.tried {
				recs = append(recs, journal.Record{Op: journal.OpTry, ID: "m1", At: past})
			}
			if err := j.Append(recs...); err != nil {
				t.Fatal(err)
			}
		})
		want(t, "status", wait(t, p.notices, "notice").Status, c.status)
		want(t, "calls", len(calls), 0)
	}
}

// A stop does not wait until SIGKILL for a host that never answers: the call is left to the journal, and the next process
// ends the message.
func TestSIGTERMWithCallThatHangs(t *testing.T) {
	calls := make(chan *seen, 10)
	p := newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller"))
	state := t.TempDir()
	cmd, addr := process(t, p, state)
	hand(t, addr, "m1", "payment")
	wait(t, calls, "call")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("exit: %v, want 0", err)
	}
	if len(p.notices) > 0 {
		t.Fatalf("notice %v before the message's time was up", <-p.notices)
	}
	process(t, p, state)
	want(t, "notice", wait(t, p.notices, "notice"), notice{"m1", undeliverable, 0})
	want(t, "further calls", len(calls), 0)
}
