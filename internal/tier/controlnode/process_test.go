package controlnode

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// routesVariable makes a child process of the tests run a control node. Its value names the relay to each other node,
// as ADDR=RELAY separated by commas.
const routesVariable = "CONTROLNODE_TEST_ROUTES"

// followerVariable makes a child process of the tests run a follower, which prints each version that it uses.
const followerVariable = "CONTROLNODE_TEST_FOLLOWER"

// activeVersionPrefix starts the line in which a follower prints the version that it uses.
const activeVersionPrefix = "active version "

// exitFailure is the exit code of a child process that failed.
const exitFailure = 3

// childMain runs a core node as larch-control does, with its connections to other nodes through relays.
func childMain(routes string) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	settings, err := process.Load()
	if err != nil {
		return fail(err)
	}
	log := process.NewLogger(os.Stderr)
	core, err := Open(settings, log)
	if err != nil {
		return fail(err)
	}
	core.clients.Dial = dialThroughRelays(routes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := core.Run(ctx); err != nil {
		return fail(err)
	}
	return 0
}

// followerMain runs a follower as a front does.
func followerMain() int {
	settings, err := process.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	settings.NodeName, settings.MachineClass = "front-1", "front"
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	calls := &rpc.Clients{}
	defer calls.Close()
	follower := feed.NewFollower(settings, calls, process.NewLogger(io.Discard))
	var run sync.WaitGroup
	run.Go(func() { follower.Run(ctx) })
	defer run.Wait()
	for {
		changed := follower.Changed()
		if now := follower.Tables().Config; now != nil {
			fmt.Printf("%s%d\n", activeVersionPrefix, now.Version)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0
		}
	}
}

// dialThroughRelays returns a function that dials the relay of an address instead of the address, if there is one.
func dialThroughRelays(routes string) rpc.DialFunc {
	relays := map[string]string{}
	for route := range strings.SplitSeq(routes, ",") {
		if addr, relay, ok := strings.Cut(route, "="); ok {
			relays[addr] = relay
		}
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if relay, ok := relays[addr]; ok {
			addr = relay
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp4", addr)
	}
}

// childProcess is a process of the tests that runs one incarnation of a control node, or a follower.
type childProcess struct {
	cmd    *exec.Cmd
	output syncBuffer
	done   chan struct{} // closed once the process has exited
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// startChild starts a core node with settings and routes. It is killed at the end of the test at the latest.
func startChild(t *testing.T, settings, routes string) *childProcess {
	t.Helper()
	return startChildAs(t, settings, routesVariable+"="+routes)
}

// startFollowerChild starts a follower with settings. It is killed at the end of the test at the latest.
func startFollowerChild(t *testing.T, settings string) *childProcess {
	t.Helper()
	return startChildAs(t, settings, followerVariable+"=1")
}

// startChildAs starts a child process of the kind that an environment variable, NAME=VALUE, selects.
func startChildAs(t *testing.T, settings, kind string) *childProcess {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	c := &childProcess{cmd: exec.Command(os.Args[0]), done: make(chan struct{})}
	c.cmd.Env = []string{process.SettingsVariable + "=" + path, kind, "GOMAXPROCS=2"}
	c.cmd.Stdout, c.cmd.Stderr = &c.output, &c.output
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // no child outlives the tests, even if stopped
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = c.cmd.Wait()
		close(c.done)
	}()
	t.Cleanup(c.kill)
	return c
}

func (c *childProcess) signal(s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

// kill kills the process with SIGKILL, even if it is stopped, and waits until it has exited.
func (c *childProcess) kill() {
	c.signal(syscall.SIGKILL)
	<-c.done
}

// freeze stops the process with SIGSTOP, and returns once it is stopped.
func (c *childProcess) freeze(t *testing.T) {
	t.Helper()
	c.signal(syscall.SIGSTOP)
	for {
		err := unix.Waitid(unix.P_PID, c.cmd.Process.Pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			t.Fatal("wait for the process to stop: ", err)
		}
		return
	}
}

func (c *childProcess) resume() { c.signal(syscall.SIGCONT) }
