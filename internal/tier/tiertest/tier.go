package tiertest

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/standin/modelhost"
)

// The classes of machines.
const (
	Core  = "core"  // control state
	Store = "store" // turns and budgets
	Front = "front" // data plane
)

// statusTimeout bounds one request for the status or the readiness of a process.
const statusTimeout = time.Second

// Options of a tier.
type Options struct {
	Cores, Stores, Fronts int      // machines of each class; at least seedCount cores
	SpareStores           int      // further stores, which are not started: their machines come later, with empty disks
	Programs              Programs // that the machines run
	OtherPrograms         Programs // of another version, if set: every second machine of each class runs these
	Dir                   string   // of settings and disks

	// HealthCheckInterval is the time between the load balancer's health checks of a front; 0 for a second.
	HealthCheckInterval time.Duration

	// RevocationBound is revoke_max_ms of the settings; 0 for a tier that has no such bound.
	RevocationBound time.Duration

	// Duties are the singleton tasks that the platform expects of the tier.
	Duties []string

	// Limits are what the platform grants each process; zero values for the defaults.
	Limits ProcessLimits

	// Environment has further variables of each process, as NAME=VALUE.
	Environment []string

	firstStart func(m *Machine) error // starts a process for the first time; nil for Machine.Start
}

// ProcessLimits are what the platform grants a process.
type ProcessLimits struct {
	MemoryMB int // memory_mb of the settings, in MiB
	MaxFDs   int // max_fds of the settings: file descriptors
}

// withDefaults replaces zero values by defaults.
func (l ProcessLimits) withDefaults() ProcessLimits {
	return ProcessLimits{MemoryMB: cmp.Or(l.MemoryMB, defaultMemoryMB), MaxFDs: cmp.Or(l.MaxFDs, defaultMaxFDs)}
}

// program returns the executable of a machine, by its index within its class.
func (o *Options) program(class string, index int) string {
	if o.OtherPrograms != (Programs{}) && index%2 == 1 {
		return o.OtherPrograms.forClass(class)
	}
	return o.Programs.forClass(class)
}

// Tier is a whole tier and the stand-ins around it. Its methods are safe for concurrent use.
type Tier struct {
	Platform     *cloudapi.Platform
	Operator     *cloudapi.Operator
	LoadBalancer *LoadBalancer
	EventLog     *EventLog
	RunLog       *modelhost.RunLog // of all hosts
	Machines     []*Machine        // cores, stores, fronts

	dir        string // of settings and disks
	limits     ProcessLimits
	duties     []string
	variables  []string // Options.Environment
	block      *addressBlock
	httpClient *http.Client

	mu        sync.Mutex
	hostCount int // hosts added so far
}

// Start starts all processes of a tier that has no configuration and no hosts yet. The caller closes the tier.
func Start(o Options) (t *Tier, err error) {
	httpClient := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	t = &Tier{dir: o.Dir, limits: o.Limits.withDefaults(), duties: o.Duties, variables: o.Environment, EventLog: &EventLog{revocationBound: o.RevocationBound}, RunLog: new(modelhost.RunLog), httpClient: httpClient}
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
	t.addMachines(&o, Core, "core", o.Cores, "core")
	t.addMachines(&o, Store, "store", o.Stores+o.SpareStores, "store")
	spares := t.Class(Store)[o.Stores:]
	t.addMachines(&o, Front, "balancer", o.Fronts)
	var control []string
	for _, m := range t.Class(Core) {
		control = append(control, m.ControlAddr())
	}
	t.Operator = cloudapi.NewOperator(control...)
	firstStart := o.firstStart
	if firstStart == nil {
		firstStart = (*Machine).Start
	}
	for _, m := range t.Machines {
		if !slices.Contains(spares, m) {
			if err := firstStart(m); err != nil {
				return nil, err
			}
		}
		m.mu.Lock()
		m.bootstrap = false // in the settings of later incarnations
		m.mu.Unlock()
	}
	t.LoadBalancer = newLoadBalancer(t, o.HealthCheckInterval)
	return t, nil
}

// addMachines adds the machines of a class, which run with a role and arguments.
func (t *Tier) addMachines(o *Options, class, role string, count int, args ...string) {
	for i := range count {
		m := &Machine{Name: fmt.Sprintf("%s-%d", class, i+1), Class: class, IP: t.block.ip(len(t.Machines) + 1), Log: &Log{},
			tier: t, role: role, path: o.program(class, i), args: args, bootstrap: true}
		t.Machines = append(t.Machines, m)
	}
}

// Close kills all processes and stops all stand-ins.
func (t *Tier) Close() {
	for _, m := range t.Machines {
		m.killAll()
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

// Class returns the machines of a class.
func (t *Tier) Class(class string) (machines []*Machine) {
	for _, m := range t.Machines {
		if m.Class == class {
			machines = append(machines, m)
		}
	}
	return machines
}

// Machine returns the machine with a name, which must exist.
func (t *Tier) Machine(name string) *Machine {
	return t.Machines[slices.IndexFunc(t.Machines, func(m *Machine) bool { return m.Name == name })]
}

// AddHost starts a host with an id of its own and lists it at the platform. Its runs go to the tier's RunLog.
func (t *Tier) AddHost(o modelhost.Options) (*modelhost.Host, error) {
	t.mu.Lock()
	t.hostCount++
	o.ID = fmt.Sprintf("i-%s-%d", o.Service, t.hostCount)
	t.mu.Unlock()
	o.Zone, o.RunLog = zone, t.RunLog
	host, err := modelhost.New(o)
	if err == nil {
		t.Platform.Add(host)
	}
	return host, err
}

// Configure has the operator send a configuration that replaces the newest acknowledged one, until it is acknowledged or
// rejected.
func (t *Tier) Configure(ctx context.Context, c Config) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return t.SendOrder(ctx, Order{Config: c, BaseVersion: t.EventLog.NewestAcknowledged(), Body: body})
}

// SendOrder has the operator send an order until it is acknowledged or rejected, and records the outcome. The error of a
// rejection is a cloudapi.ErrRejected.
func (t *Tier) SendOrder(ctx context.Context, o Order) error {
	number := t.EventLog.orderSent(o)
	err := t.Operator.Put(ctx, o.Body, o.BaseVersion)
	t.EventLog.orderAnswered(number, err == nil, errors.Is(err, cloudapi.ErrRejected))
	return err
}

func (t *Tier) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return t.httpClient.Do(req)
}
