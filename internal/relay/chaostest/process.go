package chaostest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/standin"
)

const (
	startTimeout      = 20 * time.Second // from a start until a relay serves
	readinessInterval = 5 * time.Millisecond
	termTimeout       = 3700 * time.Millisecond // from SIGTERM to SIGKILL (PROTOCOL, "Figures")
)

// process is one relay of the fleet. Its methods are called by one goroutine at a time.
type process struct {
	index        int
	program      string
	standalone   bool                  // an appliance, configured by an operator's file
	operatorFile func(size int) string // text of that file for a number of relays in the fleet
	fault        string                // a fault to switch on
	dir          string
	listen       string // address for clients
	gossipAddr   netip.AddrPort
	agent        *standin.Platform
	recorder     *recorder
	client       *http.Client

	cmd         *exec.Cmd
	exited      chan struct{} // closed when the process has exited
	stopped     bool
	expectedUp  bool // an exit now would be an error
	readySince  time.Duration
	ready       bool
	diskEmptied bool          // the state directory was emptied before the last start
	cpuTime     time.Duration // of the processes that have exited
	mu          sync.Mutex    // of cmd (for pid), expectedUp, ready, readySince, stopped and diskEmptied
}

// reserveAddresses returns free ports of a loopback address that only this relay uses.
func reserveAddresses(net8 [2]byte, index int) (listen string, gossip netip.AddrPort, err error) {
	ip := netip.AddrFrom4([4]byte{127, net8[0], net8[1], byte(index + 1)})
	t, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return "", gossip, err
	}
	defer t.Close()
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return "", gossip, err
	}
	defer u.Close()
	return t.Addr().String(), u.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// configure creates the relay's state directory and writes its configuration file.
func (p *process) configure(plan scenario.Plan, peers []string, servers []standin.Server) error {
	if _, err := os.Stat(p.stateDir()); err == nil { // state of an earlier run would change this one
		return fmt.Errorf("%s is there from a trial before: choose another folder", p.stateDir())
	}
	if err := os.MkdirAll(p.stateDir(), 0o700); err != nil {
		return err
	}
	if p.standalone {
		p.operatorFile = func(size int) string { return operatorsFile(p, plan, peers[:size], servers) }
		return p.writeOperatorFile(max(plan.InitialRelays(), p.index+1))
	}
	data, err := json.MarshalIndent(platformConfig(p, plan, peers, servers), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.configPath(), data, 0o600)
}

// writeOperatorFile writes an appliance's file with size relays in the fleet.
func (p *process) writeOperatorFile(size int) error {
	return os.WriteFile(p.configPath(), []byte(p.operatorFile(size)), 0o600)
}

func (p *process) configPath() string {
	return filepath.Join(p.dir, fmt.Sprintf("relay-%02d.json", p.index))
}

func (p *process) stateDir() string { return filepath.Join(p.dir, fmt.Sprintf("relay-%02d", p.index)) }

func (p *process) logPath() string {
	return filepath.Join(p.dir, fmt.Sprintf("relay-%02d.log", p.index))
}

// start starts the process, unless it runs, and waits until it serves.
func (p *process) start(ctx context.Context) error {
	if p.cmd != nil {
		return nil
	}
	logs, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := p.command()
	cmd.Stderr = logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no relay outlives this process
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.expectedUp, p.ready = cmd, exited, true, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.expectedUp {
			p.recorder.addError(fmt.Sprintf("relay %d ended by itself: %v; its last words:\n%s", p.index, err, p.logTail()))
		}
		p.mu.Unlock()
		close(exited)
	}()
	if err := p.waitServing(ctx, exited); err != nil {
		return err
	}
	p.mu.Lock()
	p.ready, p.readySince = true, p.recorder.now()
	p.mu.Unlock()
	return nil
}

// command returns the relay's command line and environment.
func (p *process) command() *exec.Cmd {
	cmd := exec.Command(p.program)
	if p.standalone {
		cmd = exec.Command(p.program, "run", "--config", p.configPath())
	}
	cmd.Env = []string{"BALANCER_CONFIG=" + p.configPath(), "BALANCER_STATE=" + p.stateDir(), "TMPDIR=" + p.dir,
		"LARCHROUTER_LOG=" + os.Getenv("LARCHROUTER_LOG")}
	if p.fault != "" {
		cmd.Env = append(cmd.Env, "LARCHROUTER_PLANT="+p.fault)
	}
	return cmd
}

// waitServing returns when the relay serves; with an error if it exits before, or does not serve in time.
func (p *process) waitServing(ctx context.Context, exited <-chan struct{}) error {
	for begin := time.Now(); ; {
		if p.serving(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-exited:
			return fmt.Errorf("relay %d ended before it served:\n%s", p.index, p.logTail())
		case <-time.After(readinessInterval):
		}
		if time.Since(begin) > startTimeout {
			return fmt.Errorf("relay %d does not serve within %v:\n%s", p.index, startTimeout, p.logTail())
		}
	}
}

// pid returns the process id, 0 if the relay does not run.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expectedUp {
		return 0
	}
	return p.cmd.Process.Pid
}

// serving reports whether the relay answers that it is ready.
func (p *process) serving(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen+"/up", nil)
	req.Close = true
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	drainBody(resp.Body)
	return resp.StatusCode == http.StatusOK
}

// logTail returns the last lines of the relay's log.
func (p *process) logTail() string {
	data, _ := os.ReadFile(p.logPath())
	lines := strings.Split(strings.TrimSpace(string(bytes.ToValidUTF8(data, nil))), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}

// recordReadySpan records that the relay was ready until now.
func (p *process) recordReadySpan() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ready && !p.stopped {
		now := p.recorder.now()
		p.recorder.update(func(b *EventLog) { b.Runs = append(b.Runs, ReadySpan{p.index, p.readySince, now, p.diskEmptied}) })
	}
}

// setPaused pauses the process with SIGSTOP, or resumes it with SIGCONT.
func (p *process) setPaused(paused bool) {
	if p.cmd == nil || p.stopped == paused {
		return
	}
	if paused {
		p.recordReadySpan()
		p.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
	p.mu.Lock()
	p.stopped, p.readySince = paused, p.recorder.now()
	p.mu.Unlock()
}

// terminate ends the process and returns when it has exited.
func (p *process) terminate(term bool) {
	if p.cmd == nil {
		return
	}
	p.recordReadySpan()
	p.mu.Lock()
	p.expectedUp, p.ready, p.diskEmptied = false, false, false
	stopped := p.stopped
	p.stopped = false
	p.mu.Unlock()
	if term && !stopped {
		p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-time.After(termTimeout):
		}
	}
	p.cmd.Process.Kill()
	<-p.exited
	p.cpuTime += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	p.cmd = nil
}

// emptyDisk removes the relay's state.
func (p *process) emptyDisk() error {
	p.mu.Lock()
	p.diskEmptied = true
	p.mu.Unlock()
	if err := os.RemoveAll(p.stateDir()); err != nil {
		return err
	}
	return os.MkdirAll(p.stateDir(), 0o700)
}

// drainBody reads a response to its end, so that its connection can be reused.
func drainBody(r io.ReadCloser) {
	io.Copy(io.Discard, io.LimitReader(r, 1<<16))
	r.Close()
}
