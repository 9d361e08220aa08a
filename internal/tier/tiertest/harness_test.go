package tiertest

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/controlnode"
	"larchrouter/internal/tier/turnstore"
)

// otherPrograms makes the tests that inject faults into a whole tier run a tier of two versions.
var otherPrograms = flag.String("tiertest.other", "",
	"folder with larch-proxy and larch-control of another build, which every second machine of each class runs")

// buildPrograms builds the executables once for all tests of the package.
var buildPrograms = sync.OnceValues(func() (Programs, error) { return BuildPrograms(context.Background(), buildDir) })

var buildDir string

// withBuildDir runs the tests with a folder for the executables, and removes it after them.
type withBuildDir struct{ *testing.M }

func (m withBuildDir) Run() int {
	var err error
	if buildDir, err = os.MkdirTemp("", "tiertest"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(buildDir)
	return m.M.Run()
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(withBuildDir{m}) }

const (
	stepTimeout         = 20 * time.Second // for each condition that a test awaits
	eventInterval       = 4 * time.Millisecond
	healthCheckInterval = 250 * time.Millisecond
)

// must ends the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// stepContext returns a context for one step of a test.
func stepContext(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(t.Context(), stepTimeout)
	t.Cleanup(stop)
	return ctx
}

// disksDir makes the folder of a tier's disks, in memory where the system has that: no test cuts the power, and what other
// programs write and sync must not decide how long a store takes.
func disksDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "tiertest")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// testTier is a tier under test with a client and hosts.
type testTier struct {
	*Tier
	t        *testing.T
	client   *Client
	hosts    []*modelhost.Host
	programs int       // number of the last program
	lastLog  time.Time // of serve
}

// newTestTier starts a tier with a first configuration, version 3, and hosts, and waits until it serves.
func newTestTier(t *testing.T, cores, stores, fronts int) *testTier {
	t.Helper()
	return startTestTier(t, Options{Cores: cores, Stores: stores, Fronts: fronts})
}

// newFaultTestTier starts a tier as newTestTier does; with -tiertest.other, it is a tier of two versions.
func newFaultTestTier(t *testing.T, cores, stores, fronts int) *testTier {
	t.Helper()
	o := Options{Cores: cores, Stores: stores, Fronts: fronts}
	if *otherPrograms != "" {
		o.OtherPrograms = ProgramsIn(*otherPrograms)
	}
	return startTestTier(t, o)
}

func startTestTier(t *testing.T, o Options) *testTier {
	t.Helper()
	return startTestTierWithEvents(t, o, eventInterval)
}

// startTestTierWithEvents starts a tier whose hosts' streams have this time between events.
func startTestTierWithEvents(t *testing.T, o Options, eventInterval time.Duration) *testTier {
	t.Helper()
	return startTestTierWithConfig(t, o, eventInterval, NewConfig(3, DraftService, false))
}

// startTestTierWithConfig starts a tier as startTestTierWithEvents does, with this first configuration.
func startTestTierWithConfig(t *testing.T, o Options, eventInterval time.Duration, first Config) *testTier {
	t.Helper()
	var err error
	o.Programs, err = buildPrograms()
	must(t, err)
	o.Dir, o.HealthCheckInterval = disksDir(t), healthCheckInterval
	tier, err := Start(o)
	must(t, err)
	tt := &testTier{Tier: tier, t: t, client: NewClient(tier, TurnPath), lastLog: time.Now()}
	t.Cleanup(func() {
		tier.Close()
		if t.Failed() {
			for _, m := range tier.Machines {
				t.Logf("output of %s, which runs %s:\n%s", m.Name, m.path, m.Log)
			}
		}
	})
	tt.hosts, err = tier.AddHosts(eventInterval)
	must(t, err)
	must(t, tier.Configure(stepContext(t), first))
	tt.awaitPlacement(o.Stores)
	must(t, tier.AwaitReady(stepContext(t), tier.Class(Front)...))
	return tt
}

// awaitPlacement waits until a number of stores is placed and no change of the placement is in progress.
func (tt *testTier) awaitPlacement(stores int) {
	tt.t.Helper()
	condition := fmt.Sprintf("%d stores are placed", stores)
	must(tt.t, tt.AwaitStatus(stepContext(tt.t), condition, func(s *controlnode.Status) bool {
		return len(s.Stores) == stores && !s.PlacementJoint
	}))
}

// head waits until the chain has a head and returns it.
func (tt *testTier) head() *Machine {
	tt.t.Helper()
	var head string
	must(tt.t, tt.AwaitStatus(stepContext(tt.t), "the chain has a head", func(s *controlnode.Status) bool {
		head = s.Head
		return head != ""
	}))
	return tt.Machine(head)
}

// awaitPlaced waits until a store is placed, and returns its id and the generation of the placement.
func (tt *testTier) awaitPlaced(name string) (id string, generation int64) {
	tt.t.Helper()
	must(tt.t, tt.AwaitStatus(stepContext(tt.t), name+" is placed", func(s *controlnode.Status) bool {
		i := slices.IndexFunc(s.Stores, func(store turnstore.Store) bool { return store.Name == name })
		if i >= 0 {
			id, generation = s.Stores[i].ID, s.PlacementGeneration
		}
		return i >= 0
	}))
	return id, generation
}

// awaitAnswers waits until each front answers requests for a path with a status.
func (tt *testTier) awaitAnswers(path string, status int) {
	tt.t.Helper()
	for _, m := range tt.Class(Front) {
		n := 0
		condition := fmt.Sprintf("%s answers %s with %d", m.Name, path, status)
		must(tt.t, Await(stepContext(tt.t), condition, func(ctx context.Context) bool {
			n++
			a := tt.client.Get(ctx, m, fmt.Sprintf("ask-%s-%d-%d", m.Name, status, n), path, Idempotent)
			return a.Status == status
		}))
	}
}

// newProgram returns a program of several turns, with tools of both kinds and sub-agents.
func (tt *testTier) newProgram() Program {
	tt.programs++
	read, write := Tool{ReadPath, Idempotent}, Tool{WritePath, NonIdempotent}
	subAgent := Conversation{Steps: []Step{{MaxTokens: 8, Tools: []Tool{read}}, {MaxTokens: 6}}}
	return Program{Name: fmt.Sprintf("p%d", tt.programs), Budget: 400, Conversation: Conversation{Steps: []Step{
		{MaxTokens: 12, Tools: []Tool{read, write}},
		{MaxTokens: 10, SubAgents: []Conversation{subAgent, subAgent}},
		{MaxTokens: 20, Tools: []Tool{write}},
		{MaxTokens: 9},
	}}}
}

// serve starts programs, expects all of them to complete, and logs the time since the last call.
func (tt *testTier) serve(when string) {
	tt.t.Helper()
	tt.servePrograms(when)
	tt.t.Logf("%v served %s", time.Since(tt.lastLog).Round(10*time.Millisecond), when)
	tt.lastLog = time.Now()
}

func (tt *testTier) servePrograms(when string) {
	tt.t.Helper()
	const count = 4
	results := make([]Result, count)
	var wg sync.WaitGroup
	for i := range results {
		program := tt.newProgram()
		wg.Go(func() { results[i] = tt.client.Run(tt.t.Context(), program) })
	}
	wg.Wait()
	for _, result := range results {
		if result.Outcome != Completed {
			tt.t.Errorf("%s, %s ended with %v: %s", when, result.Program, result.Outcome, result.Reason)
		}
	}
}

// startBackground runs programs one after the other, three at a time, until stop. Some are endless: they start sub-agents
// again and again until their budget is exhausted.
func (tt *testTier) startBackground() (stop func()) { return tt.startBackgroundLanes(3) }

// startBackgroundLanes runs background programs in a number of lanes.
func (tt *testTier) startBackgroundLanes(lanes int) (stop func()) {
	return tt.startLanes(lanes, backgroundProgram)
}

// startLanes runs programs one after the other, in a number of lanes, until stop. program returns the n-th program of a lane.
func (tt *testTier) startLanes(lanes int, program func(lane, n int) Program) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for lane := range lanes {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				tt.client.Run(tt.t.Context(), program(lane, n))
			}
		})
	}
	return sync.OnceFunc(func() { close(done); wg.Wait() })
}

func backgroundProgram(lane, n int) Program {
	name := fmt.Sprintf("bg%d.%d", lane, n)
	if lane == 2 {
		subAgent := Conversation{Steps: []Step{{MaxTokens: 6}}}
		return Program{Name: name, Budget: 60, Endless: true,
			Conversation: Conversation{Steps: []Step{{MaxTokens: 8, SubAgents: []Conversation{subAgent}}}}}
	}
	return Program{Name: name, Budget: 200, Conversation: Conversation{Steps: []Step{
		{MaxTokens: 16, Tools: []Tool{{WritePath, NonIdempotent}}},
		{MaxTokens: 16, Tools: []Tool{{ReadPath, Idempotent}}},
		{MaxTokens: 16},
	}}}
}

// continuePrograms continues the last turn of each program's own conversation: every second one under another program's
// name, with the suffix.
func (tt *testTier) continuePrograms(suffix string) {
	tt.t.Helper()
	last, count := map[string]*Attempt{}, map[string]int{}
	attempts := tt.EventLog.Attempts()
	for i := range attempts {
		a := &attempts[i]
		count[a.Program]++
		if a.Kind == Streaming && a.Complete && a.Status == http.StatusOK && strings.HasSuffix(a.Session, "-s1") {
			last[a.Program] = a
		}
	}
	names := make([]string, 0, len(last))
	for name := range last {
		names = append(names, name)
	}
	slices.Sort(names)
	var wg sync.WaitGroup
	for i, name := range names {
		program := Program{Name: name, Budget: last[name].Budget, NumberOffset: 1000 + count[name],
			Conversation: Conversation{Previous: last[name].ID, Steps: []Step{{MaxTokens: 2}}}}
		if i%2 == 1 {
			program.Name, program.Budget = name+suffix, 4
		}
		wg.Go(func() {
			if result := tt.client.Run(tt.t.Context(), program); result.Outcome == Failed {
				tt.t.Errorf("%s cannot be continued: %s", program.Name, result.Reason)
			}
		})
	}
	wg.Wait()
	if len(names) == 0 {
		tt.t.Error("no program had a turn to continue")
	}
}

// history waits until no run is in progress, reads the configuration back, and returns the history.
func (tt *testTier) history() *History {
	tt.t.Helper()
	must(tt.t, tt.RunLog.Wait(stepContext(tt.t), func(runs []modelhost.Run) bool {
		return !slices.ContainsFunc(runs, func(run modelhost.Run) bool { return run.Outcome == modelhost.Running })
	}))
	h := tt.EventLog.History(tt.RunLog)
	var err error
	h.ReadBack, err = tt.Operator.Config(stepContext(tt.t))
	must(tt.t, err)
	served := 0
	for i := range h.Attempts {
		if h.Attempts[i].Complete && h.Attempts[i].Status == http.StatusOK {
			served++
		}
	}
	tt.t.Logf("%d programs, %d attempts, of them %d served, %d runs", len(h.Results), len(h.Attempts), served, len(h.Runs))
	return h
}

// checkRules expects no violation of any rule.
func (tt *testTier) checkRules() {
	tt.t.Helper()
	tt.reportViolations(Check(tt.history()))
}

func (tt *testTier) reportViolations(violations []Violation) {
	tt.t.Helper()
	for _, violation := range violations {
		tt.t.Error(violation)
	}
	tt.t.Logf("%d violations", len(violations))
}

// newOrder returns an order for a configuration that replaces a version.
func newOrder(t *testing.T, c Config, baseVersion int64, invalid bool) Order {
	t.Helper()
	body, err := json.Marshal(c)
	must(t, err)
	return Order{Config: c, BaseVersion: baseVersion, Body: body, Invalid: invalid}
}
