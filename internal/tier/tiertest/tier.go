package tiertest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/controlnode"
)

// The classes of machines.
const (
	Core  = "core"
	Store = "store"
	Front = "front"
)

const (
	zone, region   = "pier", "coast"
	seedCount      = 3
	machineLosses  = 1
	diskMB         = 64
	platformRate   = 40
	gracePeriod    = 8 * time.Second
	contactTimeout = 3 * time.Second
	pollInterval   = 15 * time.Millisecond // at what a process tells when asked
	statusTimeout  = time.Second
)

// ApplyTimeout is the time within which a taken configuration has to be in force.
const ApplyTimeout = 2 * time.Second

// Options of a tier.
type Options struct {
	Cores, Stores, Fronts int
	Programs              Programs
	Dir                   string        // of settings and disks
	HealthCheckInterval   time.Duration // how often the platform asks fronts whether they are ready; 0 for a second
}

// Tier is a whole tier and what stands round it. Its methods are safe for concurrent use.
type Tier struct {
	Platform     *cloudapi.Platform
	Operator     *cloudapi.Operator
	LoadBalancer *LoadBalancer
	EventLog     *EventLog
	RunLog       *modelhost.RunLog
	Machines     []*Machine

	dir        string // of settings and disks
	block      *addressBlock
	httpClient *http.Client
	mu         sync.Mutex
	hostCount  int
}

// Machine is one with one process. It may be without a process, or with an empty disk.
type Machine struct {
	Name, Class, IP string
	Log             *Log

	tier *Tier
	role string
	args []string
	path string

	mu          sync.Mutex
	bootstrap   bool
	process     *childProcess
	incarnation int
}

// Start runs all processes of a tier that has no configuration and no hosts yet.
func Start(o Options) (t *Tier, err error) {
	t = &Tier{dir: o.Dir, EventLog: &EventLog{}, RunLog: new(modelhost.RunLog), httpClient: &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	defer func() {
		if err != nil {
			t.Close()
		}
	}()
	if t.block, err = claimAddressBlock(); err != nil {
		return nil, err
	}
	if t.Platform, err = cloudapi.New(cloudapi.Options{Rate: platformRate}); err != nil {
		return nil, err
	}
	add := func(class, role, path string, count int, args ...string) {
		for i := range count {
			t.Machines = append(t.Machines, &Machine{Name: fmt.Sprintf("%s-%d", class, i+1), Class: class, IP: t.block.ip(len(t.Machines) + 1), Log: &Log{},
				tier: t, role: role, path: path, args: args, bootstrap: true})
		}
	}
	add(Core, "core", o.Programs.Control, o.Cores, "core")
	add(Store, "store", o.Programs.Control, o.Stores, "store")
	add(Front, "balancer", o.Programs.Proxy, o.Fronts)
	var control []string
	for _, m := range t.Class(Core) {
		control = append(control, m.ControlAddr())
	}
	t.Operator = cloudapi.NewOperator(control...)
	for _, m := range t.Machines {
		if err := m.Start(); err != nil {
			return nil, err
		}
		m.mu.Lock()
		m.bootstrap = false // at the next start
		m.mu.Unlock()
	}
	t.LoadBalancer = newLoadBalancer(t, o.HealthCheckInterval)
	return t, nil
}

// Close ends all processes and stand-ins.
func (t *Tier) Close() {
	for _, m := range t.Machines {
		m.Kill()
	}
	if t.LoadBalancer != nil {
		t.LoadBalancer.close()
	}
	if t.Platform != nil {
		t.Platform.Close()
	}
	if t.block != nil {
		t.block.release()
	}
}

// Class lists the machines of a class.
func (t *Tier) Class(class string) (of []*Machine) {
	for _, m := range t.Machines {
		if m.Class == class {
			of = append(of, m)
		}
	}
	return of
}

// Machine is the one of a name.
func (t *Tier) Machine(name string) *Machine {
	return t.Machines[slices.IndexFunc(t.Machines, func(m *Machine) bool { return m.Name == name })]
}

// AddHost starts a host and lists it. Its id and ledger are the tier's.
func (t *Tier) AddHost(o modelhost.Options) (*modelhost.Host, error) {
	t.mu.Lock()
	t.hostCount++
	o.ID = fmt.Sprintf("i-%s-%d", o.Service, t.hostCount)
	t.mu.Unlock()
	o.Zone, o.RunLog = zone, t.RunLog
	h, err := modelhost.New(o)
	if err == nil {
		t.Platform.Add(h)
	}
	return h, err
}

// Configure has the operator send a configuration that builds on the newest acknowledged one, until it is taken.
func (t *Tier) Configure(ctx context.Context, c Config) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return t.SendOrder(ctx, Order{Config: c, BaseVersion: t.EventLog.NewestAcknowledged(), Body: body})
}

// SendOrder has the operator send a configuration until it is taken or refused.
func (t *Tier) SendOrder(ctx context.Context, o Order) error {
	n := t.EventLog.orderSent(o)
	err := t.Operator.Put(ctx, o.Body, o.BaseVersion)
	t.EventLog.orderAnswered(n, err == nil, errors.Is(err, cloudapi.ErrRejected))
	return err
}

// Status asks a core node what it knows.
func (m *Machine) Status(ctx context.Context) (*controlnode.Status, error) {
	b, err := m.tier.get(ctx, "http://"+m.ControlAddr()+"/api/status")
	if err != nil {
		return nil, err
	}
	defer b.Body.Close()
	s := new(controlnode.Status)
	return s, json.NewDecoder(b.Body).Decode(s)
}

// Ready asks a front whether it is ready.
func (m *Machine) Ready(ctx context.Context) bool {
	b, err := m.tier.get(ctx, "http://"+m.readyAddr()+"/api/readiness")
	if err != nil {
		return false
	}
	b.Body.Close()
	return b.StatusCode == http.StatusOK
}

func (t *Tier) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return t.httpClient.Do(req)
}

// Await asks again and again, until what is asked for is so or the context ends.
func Await(ctx context.Context, what string, ok func(context.Context) bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !ok(ctx) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waited for: %s", what)
		}
	}
	return nil
}

// AwaitStatus waits until a core node that runs tells of what is asked for.
func (t *Tier) AwaitStatus(ctx context.Context, what string, ok func(s *controlnode.Status) bool) error {
	var last *controlnode.Status
	err := Await(ctx, what, func(ctx context.Context) bool {
		for _, m := range t.Class(Core) {
			if !m.Running() {
				continue
			}
			if s, err := m.Status(ctx); err == nil {
				if last = s; s.Fresh && ok(s) {
					return true
				}
			}
		}
		return false
	})
	return errors.Wrapf(err, "the last status is %+v", last)
}

// AwaitReady waits until fronts are ready.
func (t *Tier) AwaitReady(ctx context.Context, fronts ...*Machine) error {
	for _, m := range fronts {
		if err := Await(ctx, m.Name+" is ready", m.Ready); err != nil {
			return err
		}
	}
	return nil
}

// ControlAddr is the operators' address of a core machine.
func (m *Machine) ControlAddr() string { return m.tier.block.addr(m.IP, controlPort) }

// FrontAddr is the clients' address of a front.
func (m *Machine) FrontAddr() string { return m.tier.block.addr(m.IP, frontPort) }

func (m *Machine) readyAddr() string { return m.tier.block.addr(m.IP, readyPort) }
func (m *Machine) dir() string       { return filepath.Join(m.tier.dir, m.Name) }
func (m *Machine) dataDir() string   { return filepath.Join(m.dir(), "data") }

// Running tells whether its process runs.
func (m *Machine) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running()
}

func (m *Machine) running() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.process.done:
		return false
	default:
		return true
	}
}

// Incarnation counts the starts of its process.
func (m *Machine) Incarnation() int { m.mu.Lock(); defer m.mu.Unlock(); return m.incarnation }

// Start starts its process, with the settings of this moment.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running() {
		return errors.Newf("%s runs already", m.Name)
	}
	if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
		return err
	}
	file := filepath.Join(m.dir(), "node.yaml")
	if err := os.WriteFile(file, []byte(m.tier.settings(m)), 0o600); err != nil {
		return err
	}
	p, err := startProcess(m.path, m.args, file, m.Log)
	if err != nil {
		return err
	}
	m.process = p
	m.incarnation++
	return nil
}

// Kill ends its process at once.
func (m *Machine) Kill() { _, _ = m.stop(syscall.SIGKILL) }

// Terminate has its process end in order, and gives its exit code.
func (m *Machine) Terminate() (code int, err error) { return m.stop(syscall.SIGTERM) }

// Signal sends its process a signal.
func (m *Machine) Signal(s syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running() {
		return errors.Newf("%s does not run", m.Name)
	}
	return m.process.cmd.Process.Signal(s)
}

func (m *Machine) stop(s syscall.Signal) (code int, err error) {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	if p == nil {
		return 0, nil
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return 0, err
	}
	late := time.NewTimer(gracePeriod + 2*time.Second)
	defer late.Stop()
	select {
	case <-p.done:
		return p.exitCode(), nil
	case <-late.C:
		_ = p.cmd.Process.Kill()
		<-p.done
		return p.exitCode(), errors.Newf("%s did not end within %v", m.Name, gracePeriod)
	}
}

// Wipe empties its disk. Its process must have ended.
func (m *Machine) Wipe() error {
	if m.Running() {
		return errors.Newf("%s runs: end it first", m.Name)
	}
	return os.RemoveAll(m.dataDir())
}
