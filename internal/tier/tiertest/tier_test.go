package tiertest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/controlnode"
	"larchrouter/internal/tier/turnstore"
)

// programs are built once for the tests of the package.
var programs = sync.OnceValues(func() (Programs, error) { return BuildPrograms(context.Background(), buildDir) })

var buildDir string

// building removes what was built, after the tests.
type building struct{ *testing.M }

func (b building) Run() int {
	var err error
	if buildDir, err = os.MkdirTemp("", "tiertest"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(buildDir)
	return b.M.Run()
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(building{m}) }

const (
	stepBound = 20 * time.Second // of what a test waits for
	step      = 4 * time.Millisecond
)

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// disks makes the folder of a tier's disks, in memory where the system has that: no machine loses power here, and what
// other programs write and sync on this one must not decide how long a store takes.
func disks(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "tiertest")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// play is a tier under test, with programs that run all the while.
type play struct {
	*Tier
	t      *testing.T
	client *Client
	hosts  []*modelhost.Host
	n      int
	last   time.Time
}

func within(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(t.Context(), stepBound)
	t.Cleanup(stop)
	return ctx
}

// begin starts a tier with a first configuration and hosts, and waits until it serves.
func newPlay(t *testing.T, cores, stores, fronts int) *play {
	t.Helper()
	bin, err := programs()
	must(t, err)
	tier, err := Start(Options{Cores: cores, Stores: stores, Fronts: fronts, Programs: bin, Dir: disks(t), HealthCheckInterval: 250 * time.Millisecond})
	must(t, err)
	p := &play{Tier: tier, t: t, client: NewClient(tier, TurnPath), last: time.Now()}
	t.Cleanup(func() {
		tier.Close()
		if t.Failed() {
			for _, m := range tier.Machines {
				t.Logf("%s said:\n%s", m.Name, m.Log)
			}
		}
	})
	p.hosts, err = tier.AddHosts(step)
	must(t, err)
	must(t, tier.Configure(within(t), NewConfig(3, DraftService, false)))
	p.stable(stores)
	must(t, tier.AwaitReady(within(t), tier.Class(Front)...))
	return p
}

// stable waits until so many stores are placed, and no change is under way.
func (p *play) stable(stores int) {
	p.t.Helper()
	must(p.t, p.AwaitStatus(within(p.t), fmt.Sprintf("%d stores are placed", stores), func(s *controlnode.Status) bool { return len(s.Stores) == stores && !s.Joint }))
}

// program is one of several turns, with tools of both kinds and sub-agents.
func (p *play) program() Program {
	p.n++
	sub := Conversation{Steps: []Step{{MaxTokens: 8, Tools: []Tool{{ReadPath, Idempotent}}}, {MaxTokens: 6}}}
	return Program{Name: fmt.Sprintf("p%d", p.n), Budget: 400, Conversation: Conversation{Steps: []Step{
		{MaxTokens: 12, Tools: []Tool{{ReadPath, Idempotent}, {WritePath, NonIdempotent}}},
		{MaxTokens: 10, SubAgents: []Conversation{sub, sub}},
		{MaxTokens: 20, Tools: []Tool{{WritePath, NonIdempotent}}},
		{MaxTokens: 9},
	}}}
}

// serves has programs begin now, wants all of them to end well, and tells how long that took.
func (p *play) serves(when string) {
	p.t.Helper()
	p.servesOnce(when)
	p.t.Logf("%v served %s", time.Since(p.last).Round(10*time.Millisecond), when)
	p.last = time.Now()
}

func (p *play) servesOnce(when string) {
	p.t.Helper()
	const n = 4
	all := make([]Result, n)
	var wg sync.WaitGroup
	for i := range all {
		program := p.program()
		wg.Go(func() { all[i] = p.client.Run(p.t.Context(), program) })
	}
	wg.Wait()
	for _, e := range all {
		if e.Outcome != Completed {
			p.t.Errorf("%s, %s ended with %v: %s", when, e.Program, e.Outcome, e.Reason)
		}
	}
}

// traffic has programs run one after the other beside whatever happens, until stop. Some have no end of their own: they
// start sub-agents again and again until their budget is spent.
func (p *play) traffic() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				one := Program{Name: fmt.Sprintf("bg%d.%d", i, n), Budget: 200, Conversation: Conversation{Steps: []Step{
					{MaxTokens: 16, Tools: []Tool{{WritePath, NonIdempotent}}}, {MaxTokens: 16, Tools: []Tool{{ReadPath, Idempotent}}}, {MaxTokens: 16}}}}
				if i == 2 {
					one.Budget, one.Endless, one.Conversation = 60, true, Conversation{Steps: []Step{{MaxTokens: 8, SubAgents: []Conversation{{Steps: []Step{{MaxTokens: 6}}}}}}}
				}
				p.client.Run(p.t.Context(), one)
			}
		})
	}
	return sync.OnceFunc(func() { close(done); wg.Wait() })
}

// goOn continues the last turns of programs, half of them as the program itself and half as others.
func (p *play) goOn(suffix string) {
	p.t.Helper()
	last, count := map[string]*Attempt{}, map[string]int{}
	tries := p.EventLog.Attempts()
	for i := range tries {
		t := &tries[i]
		count[t.Program]++
		if t.Kind == Streaming && t.Complete && t.Status == 200 && strings.HasSuffix(t.Session, "-s1") {
			last[t.Program] = t
		}
	}
	names := make([]string, 0, len(last))
	for name := range last {
		names = append(names, name)
	}
	slices.Sort(names)
	var wg sync.WaitGroup
	for i, name := range names {
		one := Program{Name: name, Budget: last[name].Budget, NumberOffset: 1000 + count[name], Conversation: Conversation{Previous: last[name].ID, Steps: []Step{{MaxTokens: 2}}}}
		if i%2 == 1 {
			one.Name, one.Budget = name+suffix, 4
		}
		wg.Go(func() {
			if e := p.client.Run(p.t.Context(), one); e.Outcome == Failed {
				p.t.Errorf("%s cannot go on: %s", one.Name, e.Reason)
			}
		})
	}
	wg.Wait()
	if len(names) == 0 {
		p.t.Error("no program had a turn to continue")
	}
}

// evidence waits until nothing is under way, and reads the configuration back.
func (p *play) evidence() *History {
	p.t.Helper()
	must(p.t, p.RunLog.Wait(within(p.t), func(runs []modelhost.Run) bool {
		return !slices.ContainsFunc(runs, func(r modelhost.Run) bool { return r.Outcome == modelhost.Running })
	}))
	e := p.EventLog.History(p.RunLog)
	var err error
	e.ReadBack, err = p.Operator.Config(within(p.t))
	must(p.t, err)
	p.t.Logf("%d programs, %d tries, %d runs", len(e.Results), len(e.Attempts), len(e.Runs))
	return e
}

// judge wants no rule to be broken.
func (p *play) judge() {
	p.t.Helper()
	for _, b := range Check(p.evidence()) {
		p.t.Error(b)
	}
}

func (p *play) head() *Machine {
	p.t.Helper()
	var head string
	must(p.t, p.AwaitStatus(within(p.t), "the chain has a head", func(s *controlnode.Status) bool { head = s.Head; return head != "" }))
	return p.Machine(head)
}

// chain waits until so many core nodes are in the chain.
func (p *play) chain(n int) {
	p.t.Helper()
	must(p.t, p.AwaitStatus(within(p.t), fmt.Sprintf("the chain has %d members", n), func(s *controlnode.Status) bool { return len(s.Chain) == n }))
}

func TestProgramsAreServedThroughTrouble(t *testing.T) {
	p := newPlay(t, 4, 4, 2)
	stop := p.traffic()
	defer stop()
	p.serves("in calm")

	store := p.Machine("store-2")
	store.Kill()
	p.serves("with a store killed")
	from := store.Log.Len()
	must(t, store.Start())
	_, err := store.Log.Await(within(t), from, "tables complete")
	must(t, err)

	head := p.head()
	head.Kill()
	p.serves("with the head of the core killed")
	must(t, p.Configure(within(t), NewConfig(5, ReviewService, false)))
	p.serves("with turns moved to another service")
	must(t, head.Start())
	p.chain(4)

	for _, m := range p.Machines {
		must(t, m.Signal(syscall.SIGHUP))
	}
	head = p.head()
	for _, m := range []*Machine{head, p.Machine("store-1")} {
		if code, err := m.Terminate(); code != 0 || err != nil {
			t.Errorf("%s, told to end, exits with %d, %v", m.Name, code, err)
		}
		p.serves("with " + m.Name + " told to end")
		from := m.Log.Len()
		must(t, m.Start())
		if m.Class == Store {
			_, err := m.Log.Await(within(t), from, "tables complete")
			must(t, err)
		} else {
			p.chain(4)
		}
	}

	front := p.Machine("front-1")
	ended := make(chan error, 1)
	go func() {
		code, err := front.Terminate()
		if err == nil && code != 0 {
			err = fmt.Errorf("a front that was told to end exits with %d", code)
		}
		ended <- err
	}()
	p.serves("with a front told to end")
	must(t, <-ended)
	p.serves("with a front gone")
	must(t, front.Start())
	must(t, p.AwaitReady(within(t), front))

	must(t, p.Configure(within(t), NewConfig(9, ReviewService, true)))
	p.serves("with a route added")
	p.answers(AddedPath, http.StatusOK)
	if err := p.SendOrder(within(t), newOrder(t, NewConfig(20, DraftService, false), 5, false)); !errors.Is(err, cloudapi.ErrRejected) {
		t.Errorf("a configuration on top of a version that is past: %v", err)
	}

	// By now, what was down has had its time to catch up: one more may be lost.
	store = p.Machine("store-3")
	id, gen := p.placed(store.Name)
	store.Kill()
	must(t, store.Wipe())
	p.serves("with a disk lost")
	must(t, store.Start())
	must(t, p.AwaitStatus(within(t), "the store is there under a new id", func(s *controlnode.Status) bool {
		i := slices.IndexFunc(s.Stores, func(o turnstore.Store) bool { return o.Name == store.Name })
		return i >= 0 && s.Stores[i].ID != id && !s.Joint
	}))
	if _, now := p.placed(store.Name); now != gen+1 {
		t.Errorf("the placement has changed %d times for one disk", now-gen)
	}
	p.serves("with an empty store filled")

	must(t, p.Operator.Retire(within(t), "store-4", 10*time.Second))
	p.serves("while a store is emptied")
	must(t, Await(within(t), "store-4 is emptied", func(ctx context.Context) bool {
		phase, err := p.Operator.Phase(ctx, "store-4")
		return err == nil && phase == "complete"
	}))
	p.Machine("store-4").Kill()
	must(t, p.Machine("store-4").Wipe())
	p.serves("with a store taken away")

	must(t, p.Configure(within(t), NewConfig(12, DraftService, false)))
	p.answers(AddedPath, http.StatusNotFound)
	p.serves("with a route gone")

	stop()
	p.hostsBreak()
	for _, m := range p.Class(Front) { // their memory has histories: what comes now is from the stores
		m.Kill()
		must(t, m.Start())
	}
	must(t, p.AwaitReady(within(t), p.Class(Front)...))
	p.goOn("-again")
	p.judge()
}

// hostsBreak has hosts break off answers. Turns and calls that may be repeated are served all the same; a program whose
// call may not be repeated fails by it.
func (p *play) hostsBreak() {
	p.t.Helper()
	fault := func(service string, f modelhost.Fault) {
		for _, h := range p.hosts {
			if h.Options().Service == service {
				h.SetFault(f)
			}
		}
	}
	fault(DraftService, modelhost.Fault{Kind: modelhost.Abort, After: 2, Times: 1})
	fault(ToolService, modelhost.Fault{Kind: modelhost.DropConnection, Times: 1})
	if e := p.client.Run(p.t.Context(), Program{Name: "breaks", Budget: 100, Conversation: Conversation{Steps: []Step{{MaxTokens: 12, Tools: []Tool{{ReadPath, Idempotent}}}, {MaxTokens: 12}}}}); e.Outcome != Completed {
		p.t.Errorf("with hosts that break off, %s ended with %v: %s", e.Program, e.Outcome, e.Reason)
	}
	fault(ToolService, modelhost.Fault{Kind: modelhost.DropConnection})
	if e := p.client.Run(p.t.Context(), Program{Name: "breaks-for-good", Budget: 100, Conversation: Conversation{Steps: []Step{{MaxTokens: 12, Tools: []Tool{{WritePath, NonIdempotent}}}}}}); e.Outcome != Failed {
		p.t.Errorf("with tools that break off, %s ended with %v: %s", e.Program, e.Outcome, e.Reason)
	}
	fault(ToolService, modelhost.Fault{})
	fault(DraftService, modelhost.Fault{})
}

// answers waits until each front answers requests of a path with a status.
func (p *play) answers(path string, status int) {
	p.t.Helper()
	for _, m := range p.Class(Front) {
		n := 0
		must(p.t, Await(within(p.t), fmt.Sprintf("%s answers %s with %d", m.Name, path, status), func(ctx context.Context) bool {
			n++
			one := p.client.Get(ctx, m, fmt.Sprintf("ask-%s-%d-%d", m.Name, status, n), path, Idempotent)
			return one.Status == status
		}))
	}
}

func newOrder(t *testing.T, c Config, base int64, invalid bool) Order {
	t.Helper()
	body, err := json.Marshal(c)
	must(t, err)
	return Order{Config: c, BaseVersion: base, Body: body, Invalid: invalid}
}

// placed gives the id of a store and the gen of the placement.
func (p *play) placed(name string) (id string, gen int64) {
	p.t.Helper()
	must(p.t, p.AwaitStatus(within(p.t), name+" is placed", func(s *controlnode.Status) bool {
		i := slices.IndexFunc(s.Stores, func(o turnstore.Store) bool { return o.Name == name })
		if i >= 0 {
			id, gen = s.Stores[i].ID, s.Gen
		}
		return i >= 0
	}))
	return id, gen
}
