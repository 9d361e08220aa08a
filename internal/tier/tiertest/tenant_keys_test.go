package tiertest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var (
	keyRuns  = flag.Int("keyruns", 1, "runs of TestRevokedKeys")
	keySteps = flag.Int("keysteps", 4, "faults in each of them")
	keySeed  = flag.Uint64("keyseed", 1, "of the first run")
)

const (
	revocationBound   = 1500 * time.Millisecond
	keyRequestTimeout = 5 * time.Second // longer than a front is frozen
	keyRequestGap     = 20 * time.Millisecond
	frozenRequestGap  = 100 * time.Millisecond // of those that a frozen front finds when it continues
	minFreeze         = revocationBound + 500*time.Millisecond
	learnTime         = 300 * time.Millisecond // in which fronts mostly learn of a configuration
	keyLanes          = 2                      // connections to each front
	keyCount          = 6                      // keys that are revoked, added and moved
)

// The tenants and their lasting key.
const (
	lastingTenant = "lasting"
	lastingKey    = "lasting-1" // of that tenant, in every version
)

var changingTenants = []string{lastingTenant, "alpha", "beta"} // may get the keys that change

// revokedKeys is a run in which the operator revokes, adds and moves keys all the time, while fronts are frozen, cut off from the
// core, killed and restarted, and clients with open connections use keys that are held, revoked or of no tenant, or none.
type revokedKeys struct {
	*testTier
	random  *rand.Rand // of keys and times
	faults  *rand.Rand // of faults, apart, since the number of configurations depends on times
	linked  *linkedFront
	version int64
	asked   atomic.Int64  // number of the last request of ask
	holders [keyCount]int // by key: position in changingTenants, -1 for none
	revoked int           // key that is held by none until the fault ends, -1 for no such key
}

// TestRevokedKeys revokes, adds and moves keys while fronts fail. A seed gives the same faults again; requests and
// configurations fall between them as time goes.
func TestRevokedKeys(t *testing.T) {
	for i := range *keyRuns {
		seed := *keySeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := &revokedKeys{random: rand.New(rand.NewPCG(seed, 0)), faults: rand.New(rand.NewPCG(seed, 1)), revoked: -1}
			r.drawHolders(true)
			o := Options{Cores: 3, Stores: 3, Fronts: 3, RevocationBound: revocationBound}
			r.testTier = startTestTierWithConfig(t, o, eventInterval, r.config())
			r.linked = startLinkedFront(r.testTier)
			stop := r.startClients()
			defer stop()
			for step := range *keySteps {
				r.injectFault(step)
			}
			stop()
			r.check()
		})
	}
}

// config returns the next configuration, with the keys as they are held.
func (r *revokedKeys) config() Config {
	r.version++
	c := NewConfig(r.version, DraftService, false)
	for i, name := range changingTenants {
		tenant := Tenant{Name: name, Rank: i, Keys: []string{}}
		if name == lastingTenant {
			tenant.Keys = append(tenant.Keys, lastingKey)
		}
		for key, holder := range r.holders {
			if holder == i {
				tenant.Keys = append(tenant.Keys, changingKey(key))
			}
		}
		c.Tenants = append(c.Tenants, tenant)
	}
	return c
}

func changingKey(i int) string { return fmt.Sprintf("changing-%d", i) }

// drawHolders draws the holders of all keys, or of some half of them. A key that is revoked for the time of a fault gets none.
func (r *revokedKeys) drawHolders(all bool) {
	for i := range r.holders {
		if all || r.random.IntN(2) == 0 {
			r.holders[i] = r.random.IntN(len(changingTenants)+1) - 1
		}
	}
	if r.revoked >= 0 {
		r.holders[r.revoked] = -1
	}
}

// configure changes the holders of some keys and sends the configuration.
func (r *revokedKeys) configure() {
	r.t.Helper()
	r.drawHolders(false)
	r.send()
}

// send sends a configuration with the keys as they are held.
func (r *revokedKeys) send() {
	r.t.Helper()
	must(r.t, r.Configure(stepContext(r.t), r.config()))
}

// configureFor sends configurations for a time, with a gap between them.
func (r *revokedKeys) configureFor(d time.Duration) {
	r.t.Helper()
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		r.configure()
		time.Sleep(time.Duration(100+r.random.IntN(500)) * time.Millisecond)
	}
}

// injectFault has one fault of a front, during which and after which keys change; one key is revoked all the while. The first steps
// have one of each kind.
func (r *revokedKeys) injectFault(step int) {
	r.t.Helper()
	front := r.Class(Front)[r.faults.IntN(len(r.Class(Front)))]
	faults := []struct {
		name string
		play func(front *Machine)
	}{{"cut off", r.cutOff}, {"frozen", r.freeze}, {"killed", r.kill}, {"terminated", r.terminate}}
	kind := step
	if step >= len(faults) {
		kind = r.faults.IntN(len(faults))
	}
	fault := faults[kind]
	if fault.name == "cut off" {
		front = r.linked.Machine
	}
	r.t.Logf("%s is %s", front.Name, fault.name)
	key := r.faults.IntN(keyCount)
	r.holders[key] = r.random.IntN(len(changingTenants))
	r.send()
	time.Sleep(learnTime)
	r.revoked = key
	fault.play(front)
	r.revoked = -1
	r.configureFor(learnTime)
}

// cutOff cuts the linked front off while keys change. Beyond the bound it has to answer 503 to every key, and to serve again when
// it is back.
func (r *revokedKeys) cutOff(front *Machine) {
	r.t.Helper()
	r.linked.cut()
	cutAt := time.Now()
	r.configureFor(revocationBound - 500*time.Millisecond)
	time.Sleep(time.Until(cutAt.Add(revocationBound)))
	for _, key := range []string{lastingKey, changingKey(0), "unknown", ""} {
		if a := r.ask(front, key); a.Status != http.StatusServiceUnavailable {
			r.t.Errorf("%v after it was cut off, %s answers %d to the key %q", time.Since(cutAt), front.Name, a.Status, key)
		}
	}
	r.configureFor(time.Duration(r.random.IntN(1000)) * time.Millisecond)
	r.linked.join()
	r.awaitServing(front)
}

// freeze stops a front's process while keys change. What is sent to it meanwhile is in its sockets when it continues.
func (r *revokedKeys) freeze(front *Machine) {
	r.t.Helper()
	must(r.t, front.Signal(syscall.SIGSTOP))
	ctx, thaw := context.WithCancel(r.t.Context())
	var asked sync.WaitGroup
	asked.Go(func() { r.askFrozen(ctx, front, changingKey(r.revoked)) })
	r.configureFor(minFreeze + time.Duration(r.random.IntN(1000))*time.Millisecond)
	thaw()
	must(r.t, front.Signal(syscall.SIGCONT))
	asked.Wait()
	r.awaitServing(front)
}

// askFrozen sends requests with a key to a front, each on a connection of its own, until the context ends, and waits for their
// answers.
func (r *revokedKeys) askFrozen(ctx context.Context, front *Machine, key string) {
	var asked sync.WaitGroup
	defer asked.Wait()
	for ctx.Err() == nil {
		asked.Go(func() { r.ask(front, key) })
		time.Sleep(frozenRequestGap)
	}
}

func (r *revokedKeys) kill(front *Machine) {
	r.t.Helper()
	front.Kill()
	r.restart(front)
}

func (r *revokedKeys) terminate(front *Machine) {
	r.t.Helper()
	if code, err := front.Terminate(); code != 0 || err != nil {
		r.t.Errorf("%s, terminated, exits with %d, %v", front.Name, code, err)
	}
	r.restart(front)
}

// restart changes keys while a front is down, and starts it.
func (r *revokedKeys) restart(front *Machine) {
	r.t.Helper()
	r.configureFor(500 * time.Millisecond)
	must(r.t, front.Start())
	r.awaitServing(front)
}

// ask sends one request to a front, on a connection of its own.
func (r *revokedKeys) ask(front *Machine, key string) Attempt {
	id := fmt.Sprintf("ask%d", r.asked.Add(1))
	return r.client.Try(r.t.Context(), front, keyRequestTimeout, Attempt{ID: id, Program: id, Session: id, Key: key,
		Method: http.MethodPost, Path: ReadPath, Kind: Idempotent, Input: []byte("asks\n")})
}

// awaitServing waits until a front serves the key that lasts.
func (r *revokedKeys) awaitServing(front *Machine) {
	r.t.Helper()
	must(r.t, Await(stepContext(r.t), front.Name+" serves again", func(context.Context) bool {
		return r.ask(front, lastingKey).Status == http.StatusOK
	}))
}

// startClients starts clients that send to each front, whatever it answers, and programs with the key that lasts.
func (r *revokedKeys) startClients() (stop func()) {
	ctx, cancel := context.WithCancel(r.t.Context())
	var wg sync.WaitGroup
	for i, front := range append(slices.Clone(r.Class(Front)), r.linked.Machine) {
		for n := range keyLanes {
			lane := &keyLane{revokedKeys: r, front: front, name: fmt.Sprintf("lane%d.%d", i, n), client: NewPersistentClient(r.Tier, TurnPath),
				random: rand.New(rand.NewPCG(uint64(i), uint64(n)))}
			wg.Go(func() { lane.run(ctx) })
		}
	}
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			program := backgroundProgram(0, n)
			program.Key = lastingKey
			r.client.Run(r.t.Context(), program)
		}
	})
	return sync.OnceFunc(func() { cancel(); wg.Wait() })
}

// keyLane is a client with an open connection to one front.
type keyLane struct {
	*revokedKeys
	front  *Machine
	name   string
	client *Client
	random *rand.Rand
	last   string // turn that was answered completely, "" for none yet
}

// run sends requests one after the other until the context ends; the last one is answered.
func (l *keyLane) run(ctx context.Context) {
	defer l.client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		a := l.client.Try(l.t.Context(), l.front, keyRequestTimeout, l.draw(n))
		if a.Kind == Streaming && a.Complete && a.Status == http.StatusOK {
			l.last = a.ID
		}
		time.Sleep(keyRequestGap)
	}
}

// draw draws a request: a key that changes, mostly, and a turn or a call of a tool.
func (l *keyLane) draw(n int) Attempt {
	a := Attempt{ID: fmt.Sprintf("%s-%d", l.name, n), Program: l.name, Session: l.name, Method: http.MethodPost, Budget: 1 << 20}
	switch k := l.random.IntN(10); k {
	case 0:
	case 1:
		a.Key = "unknown"
	case 2:
		a.Key = lastingKey
	default:
		a.Key = changingKey(l.random.IntN(keyCount))
	}
	if l.random.IntN(4) == 0 {
		a.ClaimedName = changingTenants[l.random.IntN(len(changingTenants))]
	}
	a.Path, a.Kind = ReadPath, Idempotent
	switch l.random.IntN(4) {
	case 0:
		a.Path, a.Kind = WritePath, NonIdempotent
	case 1:
		a.Path, a.Kind, a.MaxTokens = TurnPath, Streaming, 4
		if l.random.IntN(3) > 0 {
			a.Previous = l.last
		}
	}
	a.Input = []byte(a.ID + " asks\n")
	return a
}

// check expects no violation of any rule, but for programs that a killed front has failed, and that the run was a test: requests
// ran for all tenants and were rejected for their keys, and some front was cut off.
func (r *revokedKeys) check() {
	r.t.Helper()
	h := r.history()
	r.reportViolations(slices.DeleteFunc(Check(h), func(v Violation) bool {
		program, _, _ := strings.Cut(v.Text, " ")
		return v.Rule == "SERVED" && failedByFront(h, program)
	}))
	seen := map[string]int{}
	for i := range h.Runs {
		seen["runs for "+tenantOf(&h.Runs[i])]++
	}
	for i := range h.Attempts {
		a := &h.Attempts[i]
		seen[fmt.Sprintf("status %d", a.Status)]++
		if a.Front == r.linked.Name && a.Status == http.StatusServiceUnavailable {
			seen["503 of the front that was cut off"]++
		}
		if a.Status == http.StatusNotFound && a.Previous != "" {
			seen["turns of another tenant"]++
		}
	}
	r.t.Logf("%d configurations; %v", len(h.Orders), seen)
	for _, what := range []string{"runs for lasting", "runs for alpha", "runs for beta", "status 401", "503 of the front that was cut off",
		"turns of another tenant"} {
		if seen[what] == 0 {
			r.t.Errorf("the run has no %s", what)
		}
	}
}
