package tiertest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/tier/controlnode"
)

var (
	drawnCourses  = flag.Int("courses", 1, "drawn courses of trouble")
	drawnTroubles = flag.Int("troubles", 2, "in each of them")
	drawnSeed     = flag.Uint64("seed", 5, "of the first course")
)

// catchUp is how long a machine that was away counts as lost once it is back.
const catchUp = 4200 * time.Millisecond

// drawn is a course of trouble: one machine at a time is away, and the operator and others act meanwhile.
type drawn struct {
	*play
	r       *rand.Rand
	version int64
}

// trouble has one machine away in some way, something done meanwhile, and the machine back.
func (d *drawn) trouble() {
	d.t.Helper()
	class := []string{Store, Store, Core, Core, Front}[d.r.IntN(5)]
	all := d.Class(class)
	m := all[d.r.IntN(len(all))]
	if class == Core && d.r.IntN(2) == 0 {
		m = d.head()
	}
	how := []string{"killed", "frozen", "told to end", "emptied"}[d.r.IntN(4)]
	if class == Front && how == "emptied" {
		how = "killed"
	}
	back := func() {
		if how == "emptied" {
			must(d.t, m.Wipe())
		}
		must(d.t, m.Start())
	}
	d.t.Logf("%s is %s", m.Name, how)
	switch how {
	case "frozen":
		must(d.t, m.Signal(syscall.SIGSTOP))
		back = func() { must(d.t, m.Signal(syscall.SIGCONT)) }
	case "told to end":
		if code, err := m.Terminate(); code != 0 || err != nil {
			d.t.Errorf("%s, told to end, exits with %d, %v", m.Name, code, err)
		}
	default:
		m.Kill()
	}
	d.meanwhile()
	if how != "frozen" || class != Front { // programs at a front that stands still wait for it
		d.serves("with " + m.Name + " " + how)
	}
	if (how != "frozen" || class != Front) && d.r.IntN(2) == 0 { // beyond the time after which it is taken off
		d.serveFor(2*contactTimeout + 500*time.Millisecond)
	}
	back()
	d.recovered()
	d.serveFor(catchUp)
}

// recovered waits until all machines are in their places.
func (d *drawn) recovered() {
	d.t.Helper()
	must(d.t, d.AwaitStatus(within(d.t), "all machines are in their places", func(s *controlnode.Status) bool {
		return len(s.Chain) == len(d.Class(Core)) && len(s.Stores) == len(d.Class(Store)) && !s.Joint
	}))
	must(d.t, d.AwaitReady(within(d.t), d.Class(Front)...))
}

func (d *drawn) serveFor(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		d.servesOnce("in the time after")
	}
}

// meanwhile is what others do while a machine is away.
func (d *drawn) meanwhile() {
	d.t.Helper()
	services := []string{DraftService, ReviewService}
	config := func() Config {
		d.version += 1 + d.r.Int64N(5)
		return NewConfig(d.version, services[d.r.IntN(2)], d.r.IntN(2) == 0)
	}
	order := func(c Config, invalid bool) Order {
		d.t.Helper()
		return newOrder(d.t, c, d.EventLog.NewestAcknowledged(), invalid)
	}
	switch d.r.IntN(4) {
	case 0:
		d.t.Log("the operator sends a configuration")
		must(d.t, d.Configure(within(d.t), config()))
	case 1:
		d.t.Log("two operators send on top of the same version")
		orders := []Order{order(config(), false), order(config(), false)}
		errs := make([]error, len(orders))
		ctx := within(d.t)
		var wg sync.WaitGroup
		for i, o := range orders {
			wg.Go(func() { errs[i] = d.SendOrder(ctx, o) })
		}
		wg.Wait()
		won := 0
		for _, err := range errs {
			if err == nil {
				won++
			} else if !errors.Is(err, cloudapi.ErrRejected) {
				d.t.Error(err)
			}
		}
		if won != 1 {
			d.t.Errorf("%d of two operators won: %v", won, errs)
		}
	case 2:
		d.t.Log("the operator sends an invalid configuration")
		c := config()
		c.Routes[0].Service = "nobody"
		if err := d.SendOrder(within(d.t), order(c, true)); !errors.Is(err, cloudapi.ErrRejected) {
			d.t.Errorf("an invalid configuration: %v", err)
		}
	}
}

// cutOff tells whether a program failed because a front that was killed, or stood still, took an answer with it that
// nothing may ask for again.
func cutOff(e *History, program string) bool {
	for _, t := range e.Attempts {
		if t.Program == program && t.Kind == NonIdempotent && t.Status == 0 {
			return true
		}
	}
	return false
}

func TestDrawnTrouble(t *testing.T) {
	for i := range *drawnCourses {
		seed := *drawnSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			d := &drawn{play: newPlay(t, 4, 4, 3), r: rand.New(rand.NewPCG(seed, 0)), version: 3}
			stop := d.traffic()
			defer stop()
			d.serves("in calm")
			for range *drawnTroubles {
				d.trouble()
			}
			stop()
			if d.r.IntN(2) == 0 {
				t.Log("all processes are killed")
				for _, m := range d.Machines {
					m.Kill()
				}
				for _, m := range d.Machines {
					must(t, m.Start())
				}
				d.recovered()
			}
			d.goOn("-again")
			e := d.evidence()
			for _, b := range Check(e) {
				if program, _, _ := strings.Cut(b.Text, " "); b.Rule != "SERVED" || !cutOff(e, program) {
					t.Error(b)
				}
			}
		})
	}
}
