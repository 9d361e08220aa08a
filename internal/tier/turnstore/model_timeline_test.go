package turnstore_test

import (
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// timelineRun is a run of a scenario that is written as a table: a row is a time in ms, then a cell for each store and front with
// the events there, separated by commas. Stores are s.., fronts f...
//
//	up kill power wipe     start or kill the process; power: of a store, and cut its power; wipe: the same, with an empty disk
//	freeze thaw
//	unreached reached      no call of a front reaches the store, until reached
//	isolated rejoined      the store or front is partitioned from all others
//	split joined           the store is partitioned from all other stores
//	noreplies replies      no message of a store reaches the front
//	stale current          no new placement reaches the node
//	slow fast              syncs take 200 ms
//	stall resume           syncs, and reads during one, are blocked
//	full space             the disk rejects writes
//	retire retired         the store is to be retired; its retirement must be complete
//	dispose                wipe, if its retirement is complete
//	reset                  the controller loses its state (in any column)
//	a  a>b  p:a>b          turn a of program p begins; turn b continues from a
//	b~ b!                  the turn runs until b!
//	a=ok                   what must become of it: ok 402 404 503 aborted
//
// The invariants of the random scenarios are checked as well.
type timelineRun struct {
	t      *testing.T
	sim    *simulation
	ends   map[string]chan struct{} // by turn; closed at its end
	names  map[string]string        // of programs in the simulation
	work   sync.WaitGroup           // turns
	budget map[string]int           // by program
	retain time.Duration
	mu     sync.Mutex
	turns  map[string]*turnRecord // by name in the table
}

var cell = regexp.MustCompile(`^(?:(\w+):)?(?:(\w+)>)?(\w+)([~!]?)(?:=(\w+))?$`)

var violationPattern = regexp.MustCompile(`^[A-Z]+: `) // of an invariant, not of what a cell expects

// timelineConfig configures a timeline. Turns reserve 10 tokens and use 5.
type timelineConfig struct {
	stores int            // that run at the start
	budget map[string]int // by program; missing: not limited
	retain time.Duration  // 0: a minute
	fault  fault
}

// playTimeline runs a timeline and returns the violations and the log.
func playTimeline(t *testing.T, config timelineConfig, timeline string) (violations []string, log string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(1, config.fault)
		sim.uniformDelays = true
		run := &timelineRun{t: t, sim: sim, ends: map[string]chan struct{}{}, turns: map[string]*turnRecord{},
			names: map[string]string{}, budget: config.budget, retain: config.retain}
		if run.retain == 0 {
			run.retain = 60 * time.Second
		}
		var rows [][]string
		for _, line := range strings.Split(strings.TrimSpace(timeline), "\n") {
			rows = append(rows, strings.Fields(line))
		}
		names := rows[0][1:]
		for _, n := range names {
			if n[0] == 's' && len(sim.stores) < config.stores {
				sim.addStore(n, "z"+n[len(n)-1:])
			} else if n[0] == 's' {
				m := &machine{addr: n + ":1"}
				m.sim, m.name, m.zone = sim, n, "z"+n[len(n)-1:]
				m.file.Store(sim.disk(m, n))
				sim.stores = append(sim.stores, m)
			} else {
				sim.addFront(n, "z0")
			}
		}
		sim.wg.Go(func() { sim.controller.run(sim) })
		sim.wg.Go(sim.watchExpiry)
		sim.sleep(2 * time.Second)
		for _, row := range rows[1:] {
			ms, err := strconv.ParseFloat(row[0], 64)
			if err != nil || len(row) != len(names)+1 {
				t.Errorf("row %q", row)
				break
			}
			if !sim.sleep(2*time.Second + time.Duration(ms*1e6) - sim.now()) {
				break
			}
			for i, cell := range row[1:] {
				for _, event := range strings.Split(cell, ",") {
					run.do(names[i], event)
				}
			}
			synctest.Wait()
		}
		for _, c := range run.ends {
			select {
			case <-c:
			default:
				close(c)
			}
		}
		for _, n := range sim.nodes() {
			n.thaw()
		}
		run.work.Wait()
		sim.close()
		if violations, log = sim.violations, sim.timeline(60); len(violations) > 0 && config.fault == "" {
			t.Errorf("%s\n%s", strings.Join(violations, "\n"), log)
		}
	})
	return violations, log
}

// node returns a node by name, and it as a store or a front.
func (run *timelineRun) node(name string) (*node, *machine, *front) {
	for _, m := range run.sim.stores {
		if m.name == name {
			return &m.node, m, nil
		}
	}
	for _, f := range run.sim.fronts {
		if f.name == name {
			return &f.node, nil, f
		}
	}
	run.t.Fatalf("no node is named %q", name)
	return nil, nil, nil
}

// do executes one event of a cell.
func (run *timelineRun) do(name, event string) {
	sim := run.sim
	n, m, f := run.node(name)
	others := append(sim.nodes(), &node{name: "core"})
	switch event {
	case ".":
	case "up":
		if m != nil {
			m.start()
		} else {
			f.start()
		}
	case "kill":
		if m != nil {
			m.kill(false)
		} else {
			f.kill()
		}
	case "power":
		m.kill(true)
	case "wipe":
		m.kill(true)
		m.wipe()
	case "freeze":
		n.freeze()
	case "thaw":
		n.thaw()
	case "unreached", "reached":
		for _, f := range sim.fronts {
			if event == "unreached" {
				sim.partition(f.name, name)
			} else {
				sim.heal(f.name, name)
			}
		}
	case "isolated", "rejoined":
		for _, o := range others {
			if o.name != name && event == "isolated" {
				sim.partition(o.name, name)
				sim.partition(name, o.name)
			} else if o.name != name {
				sim.heal(o.name, name)
				sim.heal(name, o.name)
			}
		}
	case "split", "joined":
		for _, o := range sim.stores {
			if o.name != name && event == "split" {
				sim.partition(o.name, name)
				sim.partition(name, o.name)
			} else if o.name != name {
				sim.heal(o.name, name)
				sim.heal(name, o.name)
			}
		}
	case "noreplies", "replies":
		for _, o := range sim.stores {
			if event == "noreplies" {
				sim.partition(o.name, name)
			} else {
				sim.heal(o.name, name)
			}
		}
	case "dispose":
		if sim.controller.retirementComplete(m.disk().id) {
			m.kill(true)
			m.wipe()
		}
	case "reset":
		sim.controller.reset(sim)
	case "stale":
		sim.partition("core", name)
	case "current":
		sim.heal("core", name)
	case "slow", "fast":
		m.setSyncTime(map[string]time.Duration{"slow": 200 * time.Millisecond}[event])
	case "stall":
		m.disk().stall()
	case "resume":
		m.disk().resume()
	case "full", "space":
		m.disk().setFull(event == "full")
	case "retire":
		if !sim.controller.retire(m.disk().id) {
			sim.violation("%s cannot be retired", name)
		}
	case "retired":
		if !sim.controller.retirementComplete(m.disk().id) {
			sim.violation("the retirement of %s is not complete", name)
		}
	default:
		run.turn(f, event)
	}
}

// outcomes checks what became of a turn, by its name in a cell.
var outcomes = map[string]func(*turnRecord) bool{
	"ok":      func(t *turnRecord) bool { return t.outcome == completed },
	"402":     func(t *turnRecord) bool { return t.budgetExceeded },
	"404":     func(t *turnRecord) bool { return t.notFound },
	"503":     func(t *turnRecord) bool { return t.outcome == rejected && !t.budgetExceeded && !t.notFound },
	"aborted": func(t *turnRecord) bool { return t.outcome == aborted },
}

// turn begins or ends a turn.
func (run *timelineRun) turn(f *front, event string) {
	fields := cell.FindStringSubmatch(event)
	if fields == nil || f == nil {
		run.t.Errorf("cell %q", event)
		return
	}
	program, previous, id, gated, want := fields[1], fields[2], fields[3], fields[4], fields[5]
	if program == "" {
		program = "p"
	}
	if gated == "!" {
		close(run.ends[id])
		return
	}
	if run.names[program] == "" {
		budget := run.budget[program]
		if budget == 0 {
			budget = 1 << 30
		}
		run.names[program] = run.sim.newProgram(budget)
	}
	script := turnScript{front: f, program: run.names[program], need: 10, used: 5, ending: completed, retain: run.retain,
		duration: time.Millisecond}
	if previous != "" {
		run.mu.Lock()
		script.previous = run.turns[previous]
		run.mu.Unlock()
		if script.previous == nil {
			script.previous = &turnRecord{id: previous}
		}
	}
	var gate chan struct{}
	if gated == "~" {
		gate = make(chan struct{})
		run.ends[id] = gate
	}
	script.gate = gate
	script.started = func(t *turnRecord) {
		run.mu.Lock()
		defer run.mu.Unlock()
		run.turns[id] = t
	}
	run.work.Go(func() {
		t := run.sim.runTurn(script)
		run.sim.note(f.name, "%s is %s: %s", id, t.id, t)
		if want != "" && !outcomes[want](t) && !run.sim.over() {
			run.sim.violation("%s at %s is not %s: %s", id, f.name, want, t)
		}
	})
}
