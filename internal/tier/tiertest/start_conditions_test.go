package tiertest

import (
	"cmp"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"larchrouter/internal/tier/controlnode"
)

const (
	conditionTime   = 1500 * time.Millisecond // for which a condition that passes holds up a start
	predecessorTime = 7 * time.Second         // for which a predecessor runs beside its successor: more than SQLite waits for a lock
	dataFileLimit   = 4096                    // bytes of a disk on which a data file cannot be created
	damagedHeader   = "this is no data file of a node"
	exitDiskFailed  = 74
)

// awaitServing waits until the last process of a machine does its work: a front is ready, a store listens, has its tables and is placed,
// all core nodes have a replica.
func (tt *testTier) awaitServing(m *Machine) error {
	ctx := stepContext(tt.t)
	switch m.Class {
	case Front:
		return tt.AwaitReady(ctx, m)
	case Core:
		return tt.AwaitReplicas(ctx)
	default:
		return tt.awaitStore(ctx, m)
	}
}

// awaitStore waits until a store does its work. That it is placed says little alone: a store stays so for a while after its end.
func (tt *testTier) awaitStore(ctx context.Context, m *Machine) error {
	if err := Await(ctx, m.Name+" listens", m.listensToPeers); err != nil {
		return err
	}
	if m.output == nil {
		if _, err := m.Log.Await(ctx, m.firstLogLine(), "tables complete"); err != nil {
			return err
		}
	}
	return tt.AwaitStatus(ctx, "all stores are placed", allStoresPlaced(len(tt.Class(Store))))
}

// listensToPeers reports whether a process takes calls of other processes.
func (m *Machine) listensToPeers(ctx context.Context) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", m.PeerAddr())
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// allStoresPlaced returns the condition that a number of stores is placed and no change of the placement is in progress.
func allStoresPlaced(stores int) func(*controlnode.Status) bool {
	return func(s *controlnode.Status) bool { return len(s.Stores) == stores && !s.PlacementJoint }
}

// checkNoUnexpectedExit expects that no process has exited that the harness did not end.
func (tt *testTier) checkNoUnexpectedExit() {
	tt.t.Helper()
	for _, m := range tt.Machines {
		for _, end := range m.UnexpectedExits() {
			tt.t.Errorf("a process ended by itself: %s", end)
		}
	}
}

// terminate ends a process by SIGTERM and expects code 0.
func (tt *testTier) terminate(m *Machine) {
	tt.t.Helper()
	if code, err := m.Terminate(); code != 0 || err != nil {
		tt.t.Errorf("%s, terminated, exits with %d, %v", m.Name, code, err)
	}
}

// setReuseAddress sets or clears SO_REUSEADDR of a socket.
func setReuseAddress(raw syscall.RawConn, value int) (err error) {
	controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, value) })
	return cmp.Or(controlErr, err)
}

// occupyPort opens a connection whose local address is the one that a process is to listen at, and returns a function that closes it. The
// socket is bound in spite of what the predecessor's connections have left behind, and then shares its address with nobody.
func occupyPort(t *testing.T, tier *Tier, addr string) (release func()) {
	t.Helper()
	local, err := net.ResolveTCPAddr("tcp4", addr)
	must(t, err)
	dialer := net.Dialer{LocalAddr: local, Control: func(_, _ string, raw syscall.RawConn) error { return setReuseAddress(raw, 1) }}
	conn, err := dialer.DialContext(t.Context(), "tcp4", tier.Platform.Addr())
	must(t, err)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must(t, err)
	must(t, setReuseAddress(raw, 0))
	return sync.OnceFunc(func() {
		_ = conn.(*net.TCPConn).SetLinger(0) // no TIME_WAIT
		conn.Close()
	})
}

// A process whose port another socket has, such as an outgoing connection of any program, ended at each start while that lasted.
func TestStartWaitsForPortOfAnotherSocket(t *testing.T) {
	shared := newTestTier(t, 3, 3, 1)
	core, store, front := shared.Class(Core)[1], shared.Class(Store)[1], shared.Class(Front)[0]
	for _, c := range []struct {
		name    string
		machine *Machine
		addr    string
	}{
		{"peers of a core node", core, core.PeerAddr()},
		{"operators", core, core.ControlAddr()},
		{"peers of a store", store, store.PeerAddr()},
		{"clients", front, front.FrontAddr()},
		{"readiness", front, front.ReadyAddr()},
	} {
		t.Run(c.name, func(t *testing.T) {
			tt := *shared
			tt.t = t
			tt.terminate(c.machine)
			release := occupyPort(t, tt.Tier, c.addr)
			defer release()
			must(t, c.machine.Start())
			time.Sleep(conditionTime)
			tt.checkNoUnexpectedExit()
			if c.machine.Class == Front && c.machine.Ready(t.Context()) {
				t.Error("the front is ready, but does not listen")
			}
			release()
			must(t, tt.awaitServing(c.machine))
		})
	}
}

// A process that got SIGTERM while it could not listen ended with an error.
func TestStopDuringWaitForPort(t *testing.T) {
	tt := newTestTier(t, 3, 3, 1)
	front := tt.Class(Front)[0]
	tt.terminate(front)
	defer occupyPort(t, tt.Tier, front.FrontAddr())()
	must(t, front.Start())
	time.Sleep(conditionTime)
	tt.terminate(front)
	tt.checkNoUnexpectedExit()
}

// A process that is started while its predecessor still runs ended at each start until that had stopped.
func TestStartWaitsForPredecessor(t *testing.T) {
	tt := newTestTier(t, 3, 3, 2)
	machines := []*Machine{tt.Class(Core)[1], tt.Class(Store)[1], tt.Class(Front)[1]}
	var predecessors []func() (int, error)
	for _, m := range machines {
		terminate, err := m.StartSuccessor()
		must(t, err)
		predecessors = append(predecessors, terminate)
	}
	time.Sleep(predecessorTime)
	for i, m := range machines {
		code, err := predecessors[i]()
		if code != 0 || err != nil {
			t.Errorf("the predecessor of %s exits with %d, %v", m.Name, code, err)
		}
		must(t, tt.awaitServing(m))
	}
	tt.checkNoUnexpectedExit()
	tt.serve("by the successors")
	tt.checkRules()
}

// startWithPartOfSettings starts a process while its settings file has only a part of its contents, and returns a function that writes
// them completely.
func startWithPartOfSettings(m *Machine, part float64) (complete func() error, err error) {
	if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
		return nil, err
	}
	path, contents := filepath.Join(m.dir(), settingsFile), []byte(m.tier.settings(m))
	if err := os.WriteFile(path, contents[:int(part*float64(len(contents)))], 0o600); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return func() error { return os.WriteFile(path, contents, 0o600) }, m.startProcess(path)
}

// A process whose settings file is being written while it starts ended with an error.
func TestStartWaitsForCompleteSettings(t *testing.T) {
	tt := newTestTier(t, 3, 3, 1)
	for _, m := range []*Machine{tt.Class(Core)[1], tt.Class(Store)[1], tt.Class(Front)[0]} {
		tt.terminate(m)
		complete, err := startWithPartOfSettings(m, 0.5)
		must(t, err)
		time.Sleep(conditionTime)
		tt.checkNoUnexpectedExit()
		must(t, complete())
		must(t, tt.awaitServing(m))
	}
}

// A store that is started on a full disk ended at each start while the disk was full; a core node waited.
func TestStartWaitsForDiskSpace(t *testing.T) {
	tt := newTestTier(t, 3, 3, 1)
	for _, m := range []*Machine{tt.Class(Core)[1], tt.Class(Store)[1]} {
		m.Kill()
		must(t, m.Wipe())
		program, args := m.path, m.args
		m.path, m.args = "/bin/sh", append([]string{"-c", `ulimit -S -f 1; exec "$0" "$@"`, program}, args...)
		must(t, m.Start())
		m.path, m.args = program, args
		time.Sleep(conditionTime)
		tt.checkNoUnexpectedExit()
		unlimited := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
		must(t, unix.Prlimit(m.ProcessID(), unix.RLIMIT_FSIZE, &unlimited, nil))
		must(t, tt.awaitServing(m))
	}
	tt.checkNoUnexpectedExit()
}

// fullPipe returns the writing end of a pipe that is full and that nobody reads.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	r, w, err := os.Pipe()
	must(t, err)
	t.Cleanup(func() { r.Close(); w.Close() })
	fd := int(w.Fd())
	must(t, unix.SetNonblock(fd, true))
	for _, err = unix.Write(fd, []byte{'x'}); err == nil; _, err = unix.Write(fd, make([]byte, dataFileLimit)) {
	}
	for err = nil; err == nil; _, err = unix.Write(fd, []byte{'x'}) {
	}
	must(t, unix.SetNonblock(fd, false))
	return w
}

// A process whose log nobody reads, such as a supervisor that hangs, stood still with its next line: it served nobody, and did not stop.
func TestProcessServesAndStopsWhileNobodyReadsItsLog(t *testing.T) {
	tt := newTestTier(t, 3, 3, 2)
	for _, m := range []*Machine{tt.Class(Core)[1], tt.Class(Store)[1], tt.Class(Front)[1]} {
		tt.terminate(m)
		m.output = fullPipe(t)
		must(t, m.Start())
		must(t, tt.awaitServing(m))
		tt.serve("while nobody reads the log of " + m.Name)
		tt.terminate(m)
		m.output = nil
		must(t, m.Start())
		must(t, tt.awaitServing(m))
	}
}

// awaitExit waits for the end of a process and returns its exit code.
func awaitExit(t *testing.T, p *childProcess) int {
	t.Helper()
	timeout := time.NewTimer(stepTimeout)
	defer timeout.Stop()
	select {
	case <-p.done:
	case <-timeout.C:
		_ = p.cmd.Process.Kill()
		<-p.done
		t.Fatal("the process does not end")
	}
	return p.exitCode()
}

// The exit codes and last lines of processes did not tell the causes of their ends apart.
func TestLastLineTellsWhyProcessEnds(t *testing.T) {
	tt := newTestTier(t, 3, 3, 1)
	for _, m := range []*Machine{tt.Class(Core)[1], tt.Class(Store)[1], tt.Class(Front)[0]} {
		tt.terminate(m)
		last := lastLine(m.Log)
		for _, part := range []string{`msg="process ends"`, "cause=stopped", "code=0", "peak_mb="} {
			if !strings.Contains(last, part) {
				t.Errorf("%s ends with %q, without %s", m.Name, last, part)
			}
		}
		if m.Class == Front {
			continue
		}
		must(t, filepath.WalkDir(m.dataDir(), func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			return os.WriteFile(path, []byte(strings.Repeat(damagedHeader, dataFileLimit)), 0o600)
		}))
		must(t, m.Start())
		if code := awaitExit(t, m.process); code != exitDiskFailed {
			t.Errorf("%s with a damaged data file exits with %d, want %d", m.Name, code, exitDiskFailed)
		}
		must(t, m.Wipe())
		must(t, m.Start())
		must(t, tt.awaitServing(m))
	}
}

// lastLine returns the last line of a log.
func lastLine(log *Log) string {
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	return lines[len(lines)-1]
}
