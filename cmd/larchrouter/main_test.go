package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/x/vt"
	"github.com/creack/pty"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/rig"
	"larchrouter/internal/standin"
	"larchrouter/internal/testbin"
)

func TestMain(m *testing.M) { testbin.Main(m) }

func built(t testing.TB) string {
	t.Helper()
	path, err := testbin.Path()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// env is the test's environment without what the platform would set.
func env(more ...string) (all []string) {
	for _, e := range os.Environ() {
		if !strings.HasPrefix(e, "BALANCER_") && !strings.HasPrefix(e, "NO_COLOR=") {
			all = append(all, e)
		}
	}
	return append(all, more...)
}

// call runs the program to its end.
func call(t testing.TB, args ...string) (out, errs string, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, built(t), args...)
	cmd.Env, cmd.Dir = env(), t.TempDir()
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// site is a relay's process among stand-ins of this one.
type site struct {
	t        testing.TB
	dir      string
	file     string
	partners []rig.Partner
	hosts    map[string]*standin.Host
	ledger   *standin.Ledger
	cmd      *exec.Cmd
	addr     string
	control  *adminapi.Client
}

func newSite(t testing.TB, partners []rig.Partner, more string) *site {
	t.Helper()
	dir, err := os.MkdirTemp("", "larch")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	s := &site{t: t, dir: dir, file: filepath.Join(dir, "site.hcl"), partners: partners, hosts: map[string]*standin.Host{},
		ledger: standin.NewLedger(15 * time.Second)}
	for _, p := range partners {
		for i, z := range p.Zones {
			id := fmt.Sprintf("%s-%d", p.Name, i+1)
			h, err := standin.NewHost(id, z, s.ledger, p.Behaviour, true)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(h.Close)
			s.hosts[id] = h
		}
	}
	s.write(partners, more)
	s.control = adminapi.Dial(filepath.Join(dir, "state", "control.sock"))
	t.Cleanup(s.control.Close)
	s.start()
	return s
}

func (s *site) write(partners []rig.Partner, more string) {
	s.t.Helper()
	text := rig.File("state", partners, func(id string) string { return s.hosts[id].Addr() }) + more
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// start starts the relay, and waits until it serves.
func (s *site) start() {
	s.t.Helper()
	cmd := exec.Command(built(s.t), "run", "--config", s.file)
	cmd.Env = env()
	logs, err := cmd.StderrPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.cmd = cmd
	s.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	addr := make(chan string, 1)
	go func() {
		for in := bufio.NewScanner(logs); in.Scan(); {
			if _, a, ok := strings.Cut(in.Text(), "msg=serving addr="); ok {
				addr <- strings.Fields(a)[0]
			}
		}
		close(addr)
	}()
	select {
	case a, ok := <-addr:
		if !ok {
			s.t.Fatal("the relay ended before it served")
		}
		s.addr = a
	case <-time.After(30 * time.Second):
		s.t.Fatal("the relay does not serve")
	}
}

func (s *site) kill() {
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

func until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 30 s: %s", what)
		}
	}
}

func (s *site) load() *rig.Load {
	l := rig.NewLoad(s.addr, s.partners, 1)
	s.t.Cleanup(l.Close)
	return l
}

func (s *site) hand(l *rig.Load, id, class, partner string) {
	s.t.Helper()
	l.Addr = s.addr
	if got, err := l.Submit(context.Background(), rig.Message{ID: id, Class: class, Partner: partner}); got != 202 {
		s.t.Fatalf("%s: status %d, %v", id, got, err)
	}
}

func (s *site) is(l *rig.Load, id, state string) {
	s.t.Helper()
	l.Addr = s.addr
	until(s.t, id+" is "+state, func() bool {
		m, err := l.Query(context.Background(), id)
		return err == nil && m.State == state
	})
}

// The exit codes and what stands beside them, for what goes wrong without a relay.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hcl")
	if err := os.WriteFile(bad, []byte("listen = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	example, err := filepath.Abs("../../deploy/appliance.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		code int
		says string
	}{
		{"", 0, "Usage:"},
		{"--help", 0, "larchrouter demo"},
		{"version", 0, "larchrouter"},
		{"version --json", 0, `"version"`},
		{"completion bash", 0, "bash completion"},
		{"nonsense", 2, "unknown command"},
		{"status --nonsense", 2, "unknown flag"},
		{"drain", 2, "accepts 1 arg"},
		{"check " + example, 0, "is good: 2 partners with 3 endpoints"},
		{"check " + bad, 3, "bad.hcl:1:10: listen must be a text"},
		{"check --json " + bad, 3, `"line": 1`},
		{"run --config " + bad, 3, "bad.hcl:1:10"},
		{"run", 3, "larchrouter.hcl: no such file"},
		{"status", 2, "which relay?"},
		{"status --config " + bad, 3, "bad.hcl:1:10"},
		{"status --socket /nowhere/sock", 4, "no relay runs there"},
		{"demo", 2, "the console needs a terminal; add --no-console"},
		{"console --socket /nowhere/sock", 2, "the console needs a terminal"},
		{"demo --rate 0 --no-console", 1, "must be from 1 to 5000"},
	} {
		out, errs, code := call(t, strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out+errs, c.says) {
			t.Errorf("%q: code %d, want %d; %s%s", c.args, code, c.code, out, errs)
		}
	}
}

// What a newcomer does first.
func TestDemo(t *testing.T) {
	out, errs, code := call(t, "demo", "--no-console", "--for", "2s", "--rate", "100")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	last := regexp.MustCompile(`^delivered (\d+) of (\d+), refused \d+, failed \d+; duplicates 0$`).FindStringSubmatch(lines[len(lines)-1])
	if code != 0 || last == nil {
		t.Fatalf("code %d\n%s%s", code, out, errs)
	}
	if n, _ := strconv.Atoi(last[2]); n < 100 {
		t.Errorf("%d messages in 2 s at 100 a second", n)
	}
	if !strings.Contains(out, "  1s  in ") {
		t.Errorf("no line of progress:\n%s", out)
	}
}

// Every command against a relay that runs, as text and as JSON.
func TestCommands(t *testing.T) {
	s := newSite(t, rig.Bureau(), "")
	l := s.load()
	s.hosts["courier-1"].Set(standin.Behaviour{Refuse: true, RetryAfter: time.Hour})
	s.hand(l, "m1", "payment", "pay")
	s.is(l, "m1", adminapi.Delivered)
	s.hand(l, "m2", "status-update", "courier")
	for _, c := range []struct {
		args string
		code int
		says string
		json string // a name that the JSON has
	}{
		{"status", 0, "serving, up", `"phase"`},
		{"partners", 0, "courier-1", `"endpoints"`},
		{"messages", 0, "m2", `"messages"`},
		{"messages --ended", 0, "m1", `"delivered"`},
		{"messages m1", 0, "delivered after", `"attempts"`},
		{"messages --partner pay", 0, "ID", `"messages"`},
		{"messages none", 5, "never taken on", ""},
		{"messages --state lost", 5, "must be one of", ""},
		{"drain pay-1 --dry-run", 0, "0 messages wait for its partner", `"grace_ms"`},
		{"drain pay-1", 0, "endpoint:pay-1: drained", ""},
		{"drain pay-1", 0, "already drained", ""},
		{"drain pay-2", 5, "the last open endpoint", ""},
		{"drain pay-2 --allow-last --wait", 0, "endpoint:pay-2: drained", ""},
		{"status", 0, "drained: endpoint:pay-2", ""},
		{"undrain pay-1", 0, "undrained", ""},
		{"undrain endpoint:pay-2", 0, "undrained", ""},
		{"undrain pay-2", 0, "not drained", ""},
		{"drain partner:nobody", 5, "not in the operator's file", ""},
		{"drain relay --within 1s --wait", 0, "nothing new is taken on", ""},
		{"status", 0, "left by the drain: 1 messages, 0 calls out; courier 1; the oldest: m2", ""},
		{"undrain relay", 0, "taken on again", ""},
		{"stop --dry-run", 0, "1 messages are held", `"until_ms"`},
		{"stop --within 1s --wait", 0, "1 messages are held", ""},
		{"status", 4, "no relay runs there", ""},
	} {
		args := append(strings.Fields(c.args), "--config", s.file)
		out, errs, code := call(t, args...)
		if code != c.code || !strings.Contains(out+errs, c.says) {
			t.Errorf("%q: code %d, want %d: %s%s", c.args, code, c.code, out, errs)
		}
		if c.json == "" {
			continue
		}
		out, errs, code = call(t, append(args, "--json")...)
		if code != 0 || !json.Valid([]byte(out)) || !strings.Contains(out, c.json) {
			t.Errorf("%q --json: code %d: %s%s", c.args, code, out, errs)
		}
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("the relay's exit after a stop: %v", err)
	}
}

// kill -9 in the middle of a drain: after the restart the endpoint is still drained, and gets nothing.
func TestKillAmidADrain(t *testing.T) {
	partners := rig.Bureau()
	s := newSite(t, partners, "")
	l := s.load()
	for _, h := range []string{"pay-1", "pay-2"} {
		s.hosts[h].Set(standin.Behaviour{Latency: 300 * time.Millisecond})
	}
	for i := range 6 {
		s.hand(l, fmt.Sprint("a", i), "payment", "pay")
	}
	until(t, "calls are out", func() bool { n, _ := s.ledger.Total(); return n > 0 })
	if _, err := s.control.Drain(t.Context(), adminapi.DrainRequest{Target: "endpoint:pay-1", By: "test"}); err != nil {
		t.Fatal(err)
	}
	s.kill()
	before := len(s.hosts["pay-1"].Calls())
	s.start()
	st, err := s.control.Status(t.Context())
	if err != nil || len(st.Drains) != 1 || st.Drains[0].Target != "endpoint:pay-1" || st.Drains[0].By != "test" {
		t.Fatalf("after the restart: %+v, %v", st.Drains, err)
	}
	for i := range 10 {
		s.hand(l, fmt.Sprint("b", i), "payment", "pay")
	}
	for i := range 10 {
		s.is(l, fmt.Sprint("b", i), adminapi.Delivered)
	}
	if after := len(s.hosts["pay-1"].Calls()); after != before {
		t.Errorf("the drained endpoint got %d calls after the restart", after-before)
	}
	for i := range 6 {
		id := fmt.Sprint("a", i)
		until(t, id+" has ended", func() bool {
			l.Addr = s.addr
			m, err := l.Query(t.Context(), id)
			return err == nil && (m.State == adminapi.Delivered || m.State == adminapi.Fails)
		})
		if n := s.ledger.Effects(id); n > 1 {
			t.Errorf("payment %s took effect %d times", id, n)
		}
	}
	if _, err := s.control.Undrain(t.Context(), adminapi.DrainRequest{Target: "endpoint:pay-1"}); err != nil {
		t.Fatal(err)
	}
	s.kill()
	s.start()
	if st, err := s.control.Status(t.Context()); err != nil || len(st.Drains) != 0 {
		t.Errorf("undrained, and after a restart: %+v, %v", st.Drains, err)
	}
}

// SIGHUP takes in the partners of a good file; a bad one changes nothing.
func TestReloadByHand(t *testing.T) {
	partners := rig.Bureau()
	s := newSite(t, partners, "")
	names := func() (all []string) {
		got, err := s.control.Partners(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range got {
			all = append(all, p.Name)
		}
		return all
	}
	s.write(partners[:2], "")
	if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	until(t, "two partners are left", func() bool { return fmt.Sprint(names()) == "[pay courier]" })
	s.write(partners[:1], "typo = 1\n")
	if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	until(t, "the log says why the file was not taken in", func() bool {
		log, err := s.control.Log(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range log {
			if strings.Contains(l.Text, "what runs stays") && strings.Contains(l.Text, "typo") {
				return true
			}
		}
		return false
	})
	if got := fmt.Sprint(names()); got != "[pay courier]" {
		t.Errorf("after a bad file the partners are %v", got)
	}
}

// The second relay on a state folder ends with one line.
func TestSecondRelayRefuses(t *testing.T) {
	s := newSite(t, rig.Bureau(), "")
	_, errs, code := call(t, "run", "--config", s.file)
	if code != 1 || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, "in use by another relay, process "+strconv.Itoa(s.cmd.Process.Pid)) {
		t.Errorf("code %d, %q", code, errs)
	}
	if _, err := s.control.Status(t.Context()); err != nil {
		t.Errorf("the first one: %v", err)
	}
}

// SIGTERM stops a relay in order, with what it holds left to its next start.
func TestSIGTERM(t *testing.T) {
	s := newSite(t, rig.Bureau(), "")
	l := s.load()
	s.hosts["courier-1"].Set(standin.Behaviour{Hang: true})
	s.hand(l, "m1", "status-update", "courier")
	until(t, "it is out", func() bool { return s.ledger.Effects("m1") == 1 })
	s.hosts["courier-1"].Set(standin.Behaviour{Refuse: true, RetryAfter: 2 * time.Second})
	begin := time.Now()
	s.cmd.Process.Signal(syscall.SIGTERM)
	if err := s.cmd.Wait(); err != nil || time.Since(begin) > 5*time.Second {
		t.Errorf("%v after %v", err, time.Since(begin))
	}
	s.hosts["courier-1"].Set(standin.Behaviour{})
	s.start()
	s.is(l, "m1", adminapi.Delivered)
}

// terminal is a program on a terminal of its own.
type terminal struct {
	t      *testing.T
	cmd    *exec.Cmd
	pty    *os.File
	mu     sync.Mutex
	screen *vt.Emulator
	raw    bytes.Buffer
	leave  atomic.Bool // read no more: a file that is being read is not closed
	done   chan struct{}
}

func newTerminal(t *testing.T, cols, rows uint16, environ []string, args ...string) *terminal {
	t.Helper()
	cmd := exec.Command(built(t), args...)
	cmd.Env = append(env("TERM=xterm-256color"), environ...)
	f, err := pty.StartWithSize(cmd, &pty.Winsize{Rows: rows, Cols: cols})
	if err != nil {
		t.Fatal(err)
	}
	x := &terminal{t: t, cmd: cmd, pty: f, screen: vt.NewEmulator(int(cols), int(rows)), done: make(chan struct{})}
	go func() { // what the emulator answers to questions goes back to the program
		buf := make([]byte, 256)
		for {
			n, err := x.screen.Read(buf)
			if err != nil {
				return
			}
			f.Write(buf[:n])
		}
	}()
	go func() {
		defer close(x.done)
		buf := make([]byte, 4096)
		for {
			n, err := f.Read(buf)
			x.mu.Lock()
			x.raw.Write(buf[:n])
			x.screen.Write(buf[:n])
			x.mu.Unlock()
			if err != nil || x.leave.Load() {
				return
			}
		}
	}()
	// The emulator is not closed: it would race with the reader above, which ends with the tests.
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait(); <-x.done; f.Close() })
	return x
}

func (x *terminal) text() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.screen.String()
}

func (x *terminal) until(wanted ...string) time.Duration {
	x.t.Helper()
	begin := time.Now()
	until(x.t, fmt.Sprintf("the terminal shows %q", wanted), func() bool {
		text := x.text()
		for _, w := range wanted {
			if !strings.Contains(text, w) {
				return false
			}
		}
		return true
	})
	return time.Since(begin)
}

func (x *terminal) press(keys string) {
	x.t.Helper()
	if _, err := io.WriteString(x.pty, keys); err != nil {
		x.t.Fatal(err)
	}
}

// The real console on a real terminal: 80 by 24, resized, without colour, with a drain, a lost relay and a quit.
func TestConsoleOnATerminal(t *testing.T) {
	s := newSite(t, rig.Bureau(), "")
	x := newTerminal(t, 80, 24, []string{"NO_COLOR=1"}, "console", "--config", s.file)
	x.until("serving on "+s.addr, "1 overview", "S stop")
	x.press("2")
	took := x.until("> pay", "courier-1", "healthy")
	x.press("\x1b[B")
	x.until(">   pay-1")
	x.press("d")
	x.until("drain endpoint:pay-1?", "y: do it")
	begin := time.Now()
	x.press("y")
	x.until("endpoint:pay-1: drained at", "no call is out there")
	t.Logf("partners drawn after %v, drain shown after %v", took, time.Since(begin))
	if st, err := s.control.Status(t.Context()); err != nil || len(st.Drains) != 1 {
		t.Errorf("drains %v, %v", st.Drains, err)
	}
	x.mu.Lock()
	x.screen.Resize(120, 30)
	x.mu.Unlock()
	if err := pty.Setsize(x.pty, &pty.Winsize{Rows: 30, Cols: 120}); err != nil {
		t.Fatal(err)
	}
	x.until("d drain  u undrain  enter its messages  D drain relay  S stop  q quit") // longer than 80
	s.kill()
	x.until("OLD: shown as of", "no relay runs there")
	s.start()
	x.until("serving on " + s.addr)
	x.press("q")
	if err := x.cmd.Wait(); err != nil {
		t.Errorf("quit: %v", err)
	}
	<-x.done
	if colour := regexp.MustCompile(`\x1b\[[0-9;]*3[0-7][;m]`).Find(x.raw.Bytes()); colour != nil {
		t.Errorf("NO_COLOR is set, and %q was written", colour)
	}
}

// A terminal that closes under the console ends the console, and nothing else.
func TestTerminalCloses(t *testing.T) {
	s := newSite(t, rig.Bureau(), "")
	x := newTerminal(t, 80, 24, nil, "console", "--config", s.file)
	x.until("serving on " + s.addr)
	x.leave.Store(true) // it draws twice a second
	<-x.done
	x.pty.Close()
	ended := make(chan struct{})
	go func() { x.cmd.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the console outlives its terminal")
	}
	if _, err := s.control.Status(t.Context()); err != nil {
		t.Errorf("the relay: %v", err)
	}
}

// Under the platform there is no control socket; beside the journal and its spare room there are what holds the folder for one process
// and where a second one finds it, which take a block at most.
func TestPlatformIsAsBefore(t *testing.T) {
	p := newPlatform(t)
	defer p.stop()
	entries, err := os.ReadDir(p.state)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	if err != nil || strings.Join(names, " ") != "handover journal-00000001 journal.spare lock" {
		t.Errorf("the state folder holds %v, %v, want handover, journal, its spare room and lock", names, err)
	}
	resp, err := http.Get("http://" + p.addr + "/api/x")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("GET of a message: status %d, want 404 as ever", resp.StatusCode)
	}
}
