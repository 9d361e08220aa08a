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
	startTimeout      = 20 * time.Second // a relay serves by then
	readinessInterval = 5 * time.Millisecond
	termTimeout       = 3700 * time.Millisecond // after it, SIGKILL (PROTOCOL, "Figures")
)

// process is one relay of the fleet. Its methods are called by one goroutine at a time.
type process struct {
	index        int
	program      string
	standalone   bool                  // without a platform
	operatorFile func(size int) string // an operator's, with so many relays in the fleet
	fault        string                // a fault to switch in
	dir          string
	listen       string // where clients come
	gossipAddr   netip.AddrPort
	agent        *standin.Platform
	recorder     *recorder
	client       *http.Client

	cmd         *exec.Cmd
	exited      chan struct{} // closed when the process has ended
	stopped     bool
	expectedUp  bool // it is not to end by itself
	readySince  time.Duration
	ready       bool
	diskEmptied bool          // since it was ready last, its folder was emptied before
	cpuTime     time.Duration // of the processor, by the processes that have ended
	mu          sync.Mutex    // of wanted, ready, since, stopped
}

// reserveAddresses reserves a relay's addresses: a loopback address of its own, with ports that nothing else has.
func reserveAddresses(net8 [2]byte, index int) (listen string, notes netip.AddrPort, err error) {
	ip := netip.AddrFrom4([4]byte{127, net8[0], net8[1], byte(index + 1)})
	t, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return "", notes, err
	}
	defer t.Close()
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return "", notes, err
	}
	defer u.Close()
	return t.Addr().String(), u.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// configure writes the file that the platform gives a relay.
func (p *process) configure(plan scenario.Plan, peers []string, servers []standin.Server) error {
	if _, err := os.Stat(p.stateDir()); err == nil { // what its relays remember would be taken for this trial's
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

// writeOperatorFile writes an operator's file with so many relays in the fleet.
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

// start starts the process and waits until it serves.
func (p *process) start(ctx context.Context) error {
	if p.cmd != nil {
		return nil
	}
	logs, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(p.program)
	if p.standalone {
		cmd = exec.Command(p.program, "run", "--config", p.configPath())
	}
	cmd.Env = []string{"BALANCER_CONFIG=" + p.configPath(), "BALANCER_STATE=" + p.stateDir(), "TMPDIR=" + p.dir, "LARCHROUTER_LOG=" + os.Getenv("LARCHROUTER_LOG")}
	if p.fault != "" {
		cmd.Env = append(cmd.Env, "LARCHROUTER_PLANT="+p.fault)
	}
	cmd.Stderr = logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the trial, however that ends
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.expectedUp, p.ready = cmd, gone, true, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.expectedUp {
			p.recorder.addError(fmt.Sprintf("relay %d ended by itself: %v; its last words:\n%s", p.index, err, p.logTail()))
		}
		p.mu.Unlock()
		close(gone)
	}()
	for begin := time.Now(); ; {
		if p.serving(ctx) {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-gone:
			return fmt.Errorf("relay %d ended before it served:\n%s", p.index, p.logTail())
		case <-time.After(readinessInterval):
		}
		if time.Since(begin) > startTimeout {
			return fmt.Errorf("relay %d does not serve within %v:\n%s", p.index, startTimeout, p.logTail())
		}
	}
	p.mu.Lock()
	p.ready, p.readySince = true, p.recorder.now()
	p.mu.Unlock()
	return nil
}

// pid is that of its process, 0 if it has none.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expectedUp {
		return 0
	}
	return p.cmd.Process.Pid
}

// serving tells whether it says that it serves.
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

// logTail are the last lines of its log.
func (p *process) logTail() string {
	data, _ := os.ReadFile(p.logPath())
	lines := strings.Split(strings.TrimSpace(string(bytes.ToValidUTF8(data, nil))), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}

// recordReadySpan writes down that it ran until now.
func (p *process) recordReadySpan() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ready && !p.stopped {
		now := p.recorder.now()
		p.recorder.update(func(b *EventLog) { b.Runs = append(b.Runs, ReadySpan{p.index, p.readySince, now, p.diskEmptied}) })
	}
}

// setPaused has it setPaused still, or go on.
func (p *process) setPaused(still bool) {
	if p.cmd == nil || p.stopped == still {
		return
	}
	if still {
		p.recordReadySpan()
		p.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
	p.mu.Lock()
	p.stopped, p.readySince = still, p.recorder.now()
	p.mu.Unlock()
}

// terminate ends it, and returns when it has.
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

// emptyDisk removes what a relay keeps.
func (p *process) emptyDisk() error {
	p.mu.Lock()
	p.diskEmptied = true
	p.mu.Unlock()
	if err := os.RemoveAll(p.stateDir()); err != nil {
		return err
	}
	return os.MkdirAll(p.stateDir(), 0o700)
}

// drainBody reads an answer to its end, so that its connection can be used again.
func drainBody(r io.ReadCloser) {
	io.Copy(io.Discard, io.LimitReader(r, 1<<16))
	r.Close()
}
