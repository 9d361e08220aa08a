package tiertest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/process"
	"larchrouter/internal/tier/controlnode"
)

// settingsFile is the name of a machine's settings file in its folder.
const settingsFile = "node.yaml"

// stopMargin is the time beyond the grace period after which a process that was to stop is killed.
const stopMargin = 2 * time.Second

// Machine is a machine of the tier with one process. The process may be down, and the disk empty. Its methods are safe for
// concurrent use.
type Machine struct {
	Name, Class, IP string
	Log             *Log // of all incarnations of the process

	tier *Tier
	role string
	path string // of the executable
	args []string

	output io.Writer // of the next incarnations; nil for Log

	mu           sync.Mutex
	bootstrap    bool          // the next incarnation may found the tier
	process      *childProcess // the last incarnation; nil before the first
	incarnations []*childProcess
	logFrom      int // lines in Log when the last incarnation was started
}

// ControlAddr returns the address of a core machine's API for operators.
func (m *Machine) ControlAddr() string { return m.tier.block.addr(m.IP, controlPort) }

// FrontAddr returns the address of a front for clients.
func (m *Machine) FrontAddr() string { return m.tier.block.addr(m.IP, frontPort) }

// ReadyAddr returns the address of a front for the platform's readiness checks.
func (m *Machine) ReadyAddr() string { return m.readyAddr() }

// PeerAddr returns the address at which its process takes the calls of other processes. It must be a core node or a store.
func (m *Machine) PeerAddr() string {
	port := process.CorePort
	if m.Class == Store {
		port = process.StorePort
	}
	return m.tier.block.addr(m.IP, firstPeerPort+int(port))
}

// ProcessID returns the id of its last process, 0 before the first start.
func (m *Machine) ProcessID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	return m.process.cmd.Process.Pid
}

func (m *Machine) readyAddr() string { return m.tier.block.addr(m.IP, readyPort) }
func (m *Machine) dir() string       { return filepath.Join(m.tier.dir, m.Name) }
func (m *Machine) dataDir() string   { return filepath.Join(m.dir(), "data") }

// Status returns the status that a core node reports.
func (m *Machine) Status(ctx context.Context) (*controlnode.Status, error) {
	resp, err := m.tier.get(ctx, "http://"+m.ControlAddr()+"/api/status")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	status := new(controlnode.Status)
	return status, json.NewDecoder(resp.Body).Decode(status)
}

// Ready reports whether a front answers that it is ready.
func (m *Machine) Ready(ctx context.Context) bool {
	resp, err := m.tier.get(ctx, "http://"+m.readyAddr()+"/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Running reports whether its process runs; a stopped (SIGSTOP) process does.
func (m *Machine) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.running()
}

// Incarnation returns the number of starts of its process.
func (m *Machine) Incarnation() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.incarnations)
}

// firstLogLine returns the number of the line in Log from which on the last incarnation has written.
func (m *Machine) firstLogLine() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.logFrom
}

// UnexpectedExits describes the exits of its processes that the harness did not cause.
func (m *Machine) UnexpectedExits() (ends []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, p := range m.incarnations {
		if p.exitedUnexpectedly() {
			ends = append(ends, fmt.Sprintf("%s, start %d: %v", m.Name, i+1, p.cmd.ProcessState))
		}
	}
	return ends
}

// Start starts its process, which must not run, with current settings.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process.running() {
		return errors.Newf("%s runs already", m.Name)
	}
	if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
		return err
	}
	file := filepath.Join(m.dir(), settingsFile)
	if err := os.WriteFile(file, []byte(m.tier.settings(m)), 0o600); err != nil {
		return err
	}
	return m.startProcess(file)
}

// startProcess starts an incarnation with a settings file. mu must be held.
func (m *Machine) startProcess(settings string) error {
	logFrom := m.Log.Len()
	var output io.Writer = m.Log
	if m.output != nil {
		output = m.output
	}
	process, err := startProcess(m.path, m.args, settings, m.tier.variables, output)
	if err != nil {
		return err
	}
	m.process = process
	m.logFrom = logFrom
	m.incarnations = append(m.incarnations, process)
	return nil
}

// StartSuccessor starts a further process, with the settings of the one that runs, and returns a function that terminates the one
// that ran and returns its exit code. From now on the machine's process is the successor.
func (m *Machine) StartSuccessor() (terminatePredecessor func() (exitCode int, err error), err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	predecessor := m.process
	if !predecessor.running() {
		return nil, errors.Newf("%s does not run", m.Name)
	}
	if err := m.startProcess(filepath.Join(m.dir(), settingsFile)); err != nil {
		return nil, err
	}
	return func() (int, error) { return m.end(predecessor, syscall.SIGTERM) }, nil
}

// Kill kills its process and waits for its end.
func (m *Machine) Kill() { _, _ = m.stop(syscall.SIGKILL) }

// killAll kills its process and any predecessor that still runs, and waits for their ends.
func (m *Machine) killAll() {
	m.mu.Lock()
	processes := slices.Clone(m.incarnations)
	m.mu.Unlock()
	for _, p := range processes {
		if p.running() {
			_, _ = m.end(p, syscall.SIGKILL)
		}
	}
}

// Terminate asks its process to shut down gracefully, waits for its end, and returns its exit code.
func (m *Machine) Terminate() (exitCode int, err error) {
	if m.Class == Front {
		m.tier.EventLog.addTermination(Termination{m.Name, m.Incarnation(), time.Now()})
	}
	return m.stop(syscall.SIGTERM)
}

// Signal sends a signal to its process, which must run.
func (m *Machine) Signal(signal syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.process.running() {
		return errors.Newf("%s does not run", m.Name)
	}
	return m.process.cmd.Process.Signal(signal)
}

func (m *Machine) stop(signal syscall.Signal) (exitCode int, err error) {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if process == nil {
		return 0, nil
	}
	return m.end(process, signal)
}

// end sends a signal to a process of the machine and waits for its end.
func (m *Machine) end(process *childProcess, signal syscall.Signal) (exitCode int, err error) {
	if process.running() {
		process.endRequested.Store(true)
	}
	if err := process.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return 0, err
	}
	timeout := time.NewTimer(gracePeriod + stopMargin)
	defer timeout.Stop()
	select {
	case <-process.done:
		return process.exitCode(), nil
	case <-timeout.C:
		_ = process.cmd.Process.Kill()
		<-process.done
		return process.exitCode(), errors.Newf("%s did not end within %v", m.Name, gracePeriod)
	}
}

// Wipe empties its disk. Its process must not run.
func (m *Machine) Wipe() error {
	if m.Running() {
		return errors.Newf("%s runs: end it first", m.Name)
	}
	return os.RemoveAll(m.dataDir())
}
