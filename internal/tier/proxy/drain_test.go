package proxy

import (
	"context"
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// While fewer than half of a zone's fronts are ready, the platform sends new connections to all of them, so that a draining
// front gets requests until it has gone. None of those that it reads may be cut at the end of its drain.
func TestRequestTakenLateInDrainIsAnswered(t *testing.T) {
	for name, path := range map[string]string{
		"not idempotent": "/order/x", "idempotent": "/tool/x", "stream": "/stream/x", "retained turn": "/turn/x",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDrainRun(t, 4, 0)
				d.terminate(standardPlan, func() {
					for time.Since(d.term) < ruleGrace {
						d.clients.Go(func() { d.send(drainAttempt{path: path, timeLeft: 6 * time.Second, work: 400 * time.Millisecond}) })
						time.Sleep(100 * time.Millisecond)
					}
				})
				if err := d.check(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// drawRequest draws a request: mostly short ones, some that outlast the grace period or their own time.
func drawRequest(random *rand.Rand) drainAttempt {
	paths := []string{"/order/x", "/tool/x", "/stream/x", "/turn/x"}
	a := drainAttempt{path: paths[random.IntN(len(paths))], timeLeft: time.Duration(200+random.IntN(7000)) * time.Millisecond,
		work: time.Duration(10+random.IntN(600)) * time.Millisecond}
	if random.IntN(4) == 0 {
		a.work = time.Duration(random.IntN(9000)) * time.Millisecond
	}
	return a
}

// drawDrain plays one drawn drain by a plan: kept connections with requests one after the other, before and after the SIGTERM,
// new connections all the time, slow stores, and fewer slots than requests. It returns what the front did wrong.
func drawDrain(t *testing.T, seed uint64, plan func(now time.Time) drainPlan) (err error) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		d := newDrainRun(t, 1+random.IntN(4), time.Second)
		slowStores := time.Duration(random.IntN([]int{300, 9000}[random.IntN(2)])) * time.Millisecond
		openTime, closeTime := slowStores*time.Duration(random.IntN(2)), time.Duration(random.IntN(200))*time.Millisecond
		d.ledger.onOpen = func(ctx context.Context) error { return pause(ctx, openTime) }
		d.ledger.onClose = func(ctx context.Context) error { return pause(ctx, closeTime) }
		every := time.Duration(20+random.IntN(400)) * time.Millisecond
		var kept [][]drainAttempt // requests of each kept connection
		for range random.IntN(4) {
			requests := make([]drainAttempt, 1+random.IntN(20))
			for i := range requests {
				requests[i] = drawRequest(random)
			}
			kept = append(kept, requests)
		}
		fresh := make([]drainAttempt, ruleGrace/every)
		for i := range fresh {
			fresh[i] = drawRequest(random)
		}
		for _, requests := range kept {
			d.clients.Go(func() { d.keep(requests) })
		}
		d.terminate(plan, func() {
			for _, a := range fresh {
				d.clients.Go(func() { d.send(a) })
				time.Sleep(every)
			}
		})
		err = d.check()
	})
	return err
}

var (
	drawnDrains    = flag.Int("drains", 150, "runs of TestDrawnDrains")
	drawnDrainSeed = flag.Uint64("drainseed", 1, "of the first of them")
)

// Whatever comes before and after the SIGTERM, no request is lost or refused wrongly, and those sent early are taken.
func TestDrawnDrains(t *testing.T) {
	for i := range *drawnDrains {
		seed := *drawnDrainSeed + uint64(i)
		if err := drawDrain(t, seed, standardPlan); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Plans with planted faults are found by the drawn drains.
func TestDrawnDrainsFindPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(p *drainPlan){
		"intake has no end":            func(p *drainPlan) { p.selectiveAt = p.endsAt },
		"intake ends after 4 s":        func(p *drainPlan) { p.selectiveAt = p.selectiveAt.Add(1250 * time.Millisecond) },
		"what is queued is cut":        func(p *drainPlan) { p.expiresAt = p.endsAt },
		"requests are ended too early": func(p *drainPlan) { p.expiresAt = p.expiresAt.Add(-2 * time.Second) },
		"intake ends with the SIGTERM": func(p *drainPlan) { p.selectiveAt = p.selectiveAt.Add(-fullIntakeTime) },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 60; seed++ {
				if err := drawDrain(t, seed, func(now time.Time) drainPlan {
					p := standardPlan(now)
					plant(&p)
					return p
				}); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found in 60 runs")
		})
	}
}

func TestDrainPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ grace, selective, expires, ends time.Duration }{
		{8 * time.Second, 2750 * time.Millisecond, 7 * time.Second, 7500 * time.Millisecond},
		{2 * time.Second, 1750 * time.Millisecond, 1750 * time.Millisecond, 1875 * time.Millisecond},
		{30 * time.Second, 2750 * time.Millisecond, 29 * time.Second, 29500 * time.Millisecond},
	} {
		p := newDrainPlan(now, c.grace)
		want(t, "full intake", p.selectiveAt.Sub(now), c.selective)
		want(t, "expiry", p.expiresAt.Sub(now), c.expires)
		want(t, "end", p.endsAt.Sub(now), c.ends)
		before, after := p.selectiveAt.Add(-1), p.selectiveAt
		want(t, "before, any", p.takes(before, now.Add(time.Hour)), true)
		want(t, "after, in time", p.takes(after, p.expiresAt), true)
		want(t, "after, too late", p.takes(after, p.expiresAt.Add(1)), false)
	}
	for grace := 50 * time.Millisecond; grace < 90*time.Second; grace += 130 * time.Millisecond {
		p := newDrainPlan(now, grace)
		if p.expiresAt.Sub(now) < grace-grace/6 || !p.expiresAt.Before(p.endsAt) || p.endsAt.Sub(now) >= grace {
			t.Fatalf("grace period %v: %+v", grace, p)
		}
	}
}
