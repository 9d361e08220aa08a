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

// timelineRun is a course that is timelineRun as a timeline: a line is a time in ms, then a cell for each store and front, with what
// happens there from then on; several, with commas between. Stores are s.., fronts f...
//
//	up kill power wipe     its process and disk (a store has lost its power when it is wiped; kill: fronts too)
//	freeze thaw
//	deaf hears             no call of fronts reaches the store, or it does again
//	away back              nothing at all reaches the store or front, or leaves it
//	apart joins            no other store reaches it, nor it them
//	mute tell              no store's answer reaches the front, or they all do
//	stale told             no new placement reaches it
//	slow well              syncs of 200 ms
//	stall goes             syncs, and reads behind them, wait; they go on
//	full room              the disk takes no more bytes; it takes them again
//	empty gone             it is to be emptied; it must be emptied by now
//	dispose                it is wiped if it is emptied by now
//	anew                   the core is founded anew, and knows no placement (in any column)
//	a  a>b  p:a>b          turn a of program p begins; turn b continues from a
//	b~ b!                  it runs until then; it ends
//	a=whole                what must become of it: whole 402 404 503 broken
//
// All the rules of the courses are checked, too.
type timelineRun struct {
	t      *testing.T
	w      *simulation
	ends   map[string]chan struct{}
	turns  map[string]*turnRecord
	names  map[string]string // of programs
	work   sync.WaitGroup
	budget map[string]int
	retain time.Duration
	mu     sync.Mutex
}

var cell = regexp.MustCompile(`^(?:(\w+):)?(?:(\w+)>)?(\w+)([~!]?)(?:=(\w+))?$`)

var violationPattern = regexp.MustCompile(`^[A-Z]+: `) // one that is broken, and not what a cell expects

// timelineConfig of a drawn course: turns take 10 tokens at most and use 5.
type timelineConfig struct {
	stores int // placed at the start
	budget map[string]int
	retain time.Duration
	fault  fault
}

// playTimeline plays a timeline and gives what is broken.
func playTimeline(t *testing.T, fig timelineConfig, timeline string) (broken []string, lines string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, fig.fault)
		w.uniformDelays = true
		d := &timelineRun{t: t, w: w, ends: map[string]chan struct{}{}, turns: map[string]*turnRecord{}, names: map[string]string{}, budget: fig.budget, retain: fig.retain}
		if d.retain == 0 {
			d.retain = 60 * time.Second
		}
		var rows [][]string
		for _, l := range strings.Split(strings.TrimSpace(timeline), "\n") {
			rows = append(rows, strings.Fields(l))
		}
		names := rows[0][1:]
		for _, n := range names {
			if n[0] == 's' && len(w.stores) < fig.stores {
				w.addStore(n, "z"+n[len(n)-1:])
			} else if n[0] == 's' {
				m := &machine{addr: n + ":1"}
				m.w, m.name, m.zone = w, n, "z"+n[len(n)-1:]
				m.file.Store(w.disk(m, n))
				w.stores = append(w.stores, m)
			} else {
				w.addFront(n, "z0")
			}
		}
		w.wg.Go(func() { w.controller.run(w) })
		w.wg.Go(w.watchExpiry)
		w.sleep(2 * time.Second)
		for _, l := range rows[1:] {
			ms, err := strconv.ParseFloat(l[0], 64)
			if err != nil || len(l) != len(names)+1 {
				t.Errorf("line %q", l)
				break
			}
			if !w.sleep(2*time.Second + time.Duration(ms*1e6) - w.now()) {
				break
			}
			for i, c := range l[1:] {
				for _, one := range strings.Split(c, ",") {
					d.do(names[i], one)
				}
			}
			synctest.Wait()
		}
		for _, c := range d.ends {
			select {
			case <-c:
			default:
				close(c)
			}
		}
		for _, n := range w.nodes() {
			n.thaw()
		}
		d.work.Wait()
		w.close()
		if broken, lines = w.violations, w.timeline(60); len(broken) > 0 && fig.fault == "" {
			t.Errorf("%s\n%s", strings.Join(broken, "\n"), lines)
		}
	})
	return broken, lines
}

func (d *timelineRun) node(name string) (*node, *machine, *front) {
	for _, m := range d.w.stores {
		if m.name == name {
			return &m.node, m, nil
		}
	}
	for _, f := range d.w.fronts {
		if f.name == name {
			return &f.node, nil, f
		}
	}
	d.t.Fatalf("nothing is named %q", name)
	return nil, nil, nil
}

func (d *timelineRun) do(name, what string) {
	w := d.w
	n, m, f := d.node(name)
	others := append(w.nodes(), &node{name: "core"})
	switch what {
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
	case "deaf", "hears":
		for _, f := range w.fronts {
			if what == "deaf" {
				w.partition(f.name, name)
			} else {
				w.heal(f.name, name)
			}
		}
	case "away", "back":
		for _, o := range others {
			if o.name != name && what == "away" {
				w.partition(o.name, name)
				w.partition(name, o.name)
			} else if o.name != name {
				w.heal(o.name, name)
				w.heal(name, o.name)
			}
		}
	case "apart", "joins":
		for _, o := range w.stores {
			if o.name != name && what == "apart" {
				w.partition(o.name, name)
				w.partition(name, o.name)
			} else if o.name != name {
				w.heal(o.name, name)
				w.heal(name, o.name)
			}
		}
	case "mute", "tell":
		for _, o := range w.stores {
			if what == "mute" {
				w.partition(o.name, name)
			} else {
				w.heal(o.name, name)
			}
		}
	case "dispose":
		if w.controller.retirementComplete(m.disk().id) {
			m.kill(true)
			m.wipe()
		}
	case "anew":
		w.controller.reset(w)
	case "stale":
		w.partition("core", name)
	case "told":
		w.heal("core", name)
	case "slow", "well":
		m.setSyncTime(map[string]time.Duration{"slow": 200 * time.Millisecond}[what])
	case "stall":
		m.disk().stall()
	case "goes":
		m.disk().resume()
	case "full", "room":
		m.disk().setFull(what == "full")
	case "empty":
		if !w.controller.retire(m.disk().id) {
			w.violation("%s may not be emptied", name)
		}
	case "gone":
		if !w.controller.retirementComplete(m.disk().id) {
			w.violation("%s is not empty by now", name)
		}
	default:
		d.turn(f, what)
	}
}

var outcomes = map[string]func(*turnRecord) bool{
	"whole":  func(t *turnRecord) bool { return t.outcome == completed },
	"402":    func(t *turnRecord) bool { return t.budgetExceeded },
	"404":    func(t *turnRecord) bool { return t.notFound },
	"503":    func(t *turnRecord) bool { return t.outcome == rejected && !t.budgetExceeded && !t.notFound },
	"broken": func(t *turnRecord) bool { return t.outcome == aborted },
}

func (d *timelineRun) turn(f *front, what string) {
	c := cell.FindStringSubmatch(what)
	if c == nil || f == nil {
		d.t.Errorf("cell %q", what)
		return
	}
	program, previous, id, held, must := c[1], c[2], c[3], c[4], c[5]
	if program == "" {
		program = "p"
	}
	if held == "!" {
		close(d.ends[id])
		return
	}
	if d.names[program] == "" {
		all := d.budget[program]
		if all == 0 {
			all = 1 << 30
		}
		d.names[program] = d.w.newProgram(all)
	}
	a := turnScript{front: f, program: d.names[program], need: 10, used: 5, ending: completed, retain: d.retain, runs: time.Millisecond}
	if previous != "" {
		d.mu.Lock()
		a.previous = d.turns[previous]
		d.mu.Unlock()
		if a.previous == nil {
			a.previous = &turnRecord{id: previous}
		}
	}
	var gate chan struct{}
	if held == "~" {
		gate = make(chan struct{})
		d.ends[id] = gate
	}
	a.gate = gate
	a.started = func(t *turnRecord) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.turns[id] = t
	}
	d.work.Go(func() {
		t := d.w.runTurn(a)
		d.w.note(f.name, "%s is %s: %s", id, t.id, t)
		if must != "" && !outcomes[must](t) && !d.w.over() {
			d.w.violation("%s at %s is not %s: %s", id, f.name, must, t)
		}
	})
}
