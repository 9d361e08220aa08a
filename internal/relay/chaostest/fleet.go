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
	startWithin = 20 * time.Second // a relay serves by then
	askEvery    = 5 * time.Millisecond
	termWithin  = 3700 * time.Millisecond // after it, SIGKILL (PROTOCOL, "Figures")
)

// process is one relay of the fleet. Its methods are called by one goroutine at a time.
type process struct {
	index   int
	program string
	alone   bool                  // without a platform
	file    func(size int) string // an operator's, with so many relays in the fleet
	plant   string                // a fault to switch in
	dir     string
	listen  string // where clients come
	notes   netip.AddrPort
	agent   *standin.Platform
	books   *ledger
	client  *http.Client

	cmd     *exec.Cmd
	gone    chan struct{} // closed when the process has ended
	stopped bool
	wanted  bool // it is not to end by itself
	since   time.Duration
	ready   bool
	emptied bool          // since it was ready last, its folder was emptied before
	used    time.Duration // of the processor, by the processes that have ended
	mu      sync.Mutex    // of wanted, ready, since, stopped
}

// place reserves a relay's addresses: a loopback address of its own, with ports that nothing else has.
func place(net8 [2]byte, index int) (listen string, notes netip.AddrPort, err error) {
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
	if _, err := os.Stat(p.state()); err == nil { // what its relays remember would be taken for this trial's
		return fmt.Errorf("%s is there from a trial before: choose another folder", p.state())
	}
	if err := os.MkdirAll(p.state(), 0o700); err != nil {
		return err
	}
	if p.alone {
		p.file = func(size int) string { return operatorsFile(p, plan, peers[:size], servers) }
		return p.relist(max(plan.InitialRelays(), p.index+1))
	}
	data, err := json.MarshalIndent(platformConfig(p, plan, peers, servers), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.config(), data, 0o600)
}

// relist writes an operator's file with so many relays in the fleet.
func (p *process) relist(size int) error {
	return os.WriteFile(p.config(), []byte(p.file(size)), 0o600)
}

func (p *process) config() string {
	return filepath.Join(p.dir, fmt.Sprintf("relay-%02d.json", p.index))
}
func (p *process) state() string { return filepath.Join(p.dir, fmt.Sprintf("relay-%02d", p.index)) }
func (p *process) logs() string  { return filepath.Join(p.dir, fmt.Sprintf("relay-%02d.log", p.index)) }

// start starts the process and waits until it serves.
func (p *process) start(ctx context.Context) error {
	if p.cmd != nil {
		return nil
	}
	logs, err := os.OpenFile(p.logs(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(p.program)
	if p.alone {
		cmd = exec.Command(p.program, "run", "--config", p.config())
	}
	cmd.Env = []string{"BALANCER_CONFIG=" + p.config(), "BALANCER_STATE=" + p.state(), "TMPDIR=" + p.dir, "LARCHROUTER_LOG=" + os.Getenv("LARCHROUTER_LOG")}
	if p.plant != "" {
		cmd.Env = append(cmd.Env, "LARCHROUTER_PLANT="+p.plant)
	}
	cmd.Stderr = logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the trial, however that ends
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.gone, p.wanted, p.ready = cmd, gone, true, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.wanted {
			p.books.trouble(fmt.Sprintf("relay %d ended by itself: %v; its last words:\n%s", p.index, err, p.lastWords()))
		}
		p.mu.Unlock()
		close(gone)
	}()
	for begin := time.Now(); ; {
		if p.up(ctx) {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-gone:
			return fmt.Errorf("relay %d ended before it served:\n%s", p.index, p.lastWords())
		case <-time.After(askEvery):
		}
		if time.Since(begin) > startWithin {
			return fmt.Errorf("relay %d does not serve within %v:\n%s", p.index, startWithin, p.lastWords())
		}
	}
	p.mu.Lock()
	p.ready, p.since = true, p.books.now()
	p.mu.Unlock()
	return nil
}

// pid is that of its process, 0 if it has none.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.wanted {
		return 0
	}
	return p.cmd.Process.Pid
}

// up tells whether it says that it serves.
func (p *process) up(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen+"/up", nil)
	req.Close = true
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	discard(resp.Body)
	return resp.StatusCode == http.StatusOK
}

// lastWords are the last lines of its log.
func (p *process) lastWords() string {
	data, _ := os.ReadFile(p.logs())
	lines := strings.Split(strings.TrimSpace(string(bytes.ToValidUTF8(data, nil))), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}

// lived writes down that it ran until now.
func (p *process) lived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ready && !p.stopped {
		now := p.books.now()
		p.books.write(func(b *Book) { b.Lives = append(b.Lives, Life{p.index, p.since, now, p.emptied}) })
	}
}

// stand has it stand still, or go on.
func (p *process) stand(still bool) {
	if p.cmd == nil || p.stopped == still {
		return
	}
	if still {
		p.lived()
		p.cmd.Process.Signal(syscall.SIGSTOP)
	} else {
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
	p.mu.Lock()
	p.stopped, p.since = still, p.books.now()
	p.mu.Unlock()
}

// end ends it, and returns when it has.
func (p *process) end(term bool) {
	if p.cmd == nil {
		return
	}
	p.lived()
	p.mu.Lock()
	p.wanted, p.ready, p.emptied = false, false, false
	stopped := p.stopped
	p.stopped = false
	p.mu.Unlock()
	if term && !stopped {
		p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.gone:
		case <-time.After(termWithin):
		}
	}
	p.cmd.Process.Kill()
	<-p.gone
	p.used += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	p.cmd = nil
}

// fleet is all relays.
type fleet struct {
	all   []*process
	tasks []chan func() // by relay: what is done to it, in order
	wg    sync.WaitGroup
	books *ledger
}

func newFleet(all []*process, books *ledger) *fleet {
	f := &fleet{all: all, books: books}
	for range all {
		c := make(chan func(), 1024)
		f.tasks = append(f.tasks, c)
		f.wg.Go(func() {
			for do := range c {
				do()
			}
		})
	}
	return f
}

// do has something done to a relay after all that was asked before.
func (f *fleet) do(relay int, what func(p *process) error) {
	f.tasks[relay] <- func() {
		if err := what(f.all[relay]); err != nil {
			f.books.trouble(err.Error())
		}
	}
}

// start starts the first relays, and returns when they serve.
func (f *fleet) start(ctx context.Context, n int) error {
	errs := make(chan error, n)
	for i := range n {
		f.do(i, func(p *process) error { errs <- p.start(ctx); return nil })
	}
	var first error
	for range n {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// close ends all that runs and returns when it has.
func (f *fleet) close() (used time.Duration) {
	for i := range f.all {
		f.do(i, func(p *process) error { p.stand(false); p.end(false); return nil })
		close(f.tasks[i])
	}
	f.wg.Wait()
	for _, p := range f.all {
		used += p.used
		p.client.CloseIdleConnections()
	}
	return used
}

// empty removes what a relay keeps.
func (p *process) empty() error {
	p.mu.Lock()
	p.emptied = true
	p.mu.Unlock()
	if err := os.RemoveAll(p.state()); err != nil {
		return err
	}
	return os.MkdirAll(p.state(), 0o700)
}

// discard reads an answer to its end, so that its connection can be used again.
func discard(r io.ReadCloser) {
	io.Copy(io.Discard, io.LimitReader(r, 1<<16))
	r.Close()
}
