package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["fuzzcore"] = fuzzCore }

func fuzzCore(r *rig) (held bool, err error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	if err := r.servePlatform(func() []map[string]any { return nil }); err != nil {
		return false, err
	}
	var cores []*machine
	for i := range 4 {
		cores = append(cores, r.add("core", fmt.Sprintf("core-%d", i+1), "sala-offset"))
	}
	for _, m := range cores {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	var mu sync.Mutex
	bodies, acked, refused, bases := map[int]string{}, map[int]bool{}, map[int]bool{}, map[int][]int{}
	maxAcked := 0
	next := 1
	bad := []string{}
	fail := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		bad = append(bad, fmt.Sprintf(format, args...))
		r.log("VIOLATION "+format, args...)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for op := range 3 {
		rnd := rand.New(rand.NewPCG(seed, uint64(op+10)))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rnd.IntN(300)) * time.Millisecond):
				}
				mu.Lock()
				base := maxAcked
				next += 1 + rnd.IntN(3)
				v := next
				body := route(v, 1000+rnd.IntN(5000))
				if pad, _ := strconv.Atoi(os.Getenv("PAD")); pad > 0 {
					noise := make([]byte, rnd.IntN(pad))
					for i := range noise {
						noise[i] = "abcdefghijklmnop"[rnd.IntN(16)]
					}
					body = append(body[:len(body)-1], fmt.Sprintf(`,"note":"%s"}`, noise)...)
				}
				bodies[v] = string(body)
				mu.Unlock()
				for try := 0; try < 200; try++ {
					select {
					case <-stop:
						return
					default:
					}
					m := cores[rnd.IntN(len(cores))]
					a := call(http.MethodPut, "http://"+m.control()+"/api/config", map[string]string{"If-Match": fmt.Sprint(base)}, body)
					if a.err == nil && a.status == 200 {
						mu.Lock()
						acked[v] = true
						maxAcked = max(maxAcked, v)
						bases[base] = append(bases[base], v)
						two := len(bases[base]) > 1
						ref := refused[v]
						mu.Unlock()
						r.log("op%d: %d on %d at %s: 200", op, v, base, m.name)
						if two {
							fail("two changes on %d acknowledged: %v", base, bases[base])
						}
						if ref {
							fail("%d was refused and is acknowledged", v)
						}
						break
					}
					if a.err == nil && a.status/100 == 4 {
						mu.Lock()
						refused[v] = true
						mu.Unlock()
						r.log("op%d: %d on %d at %s: %s", op, v, base, m.name, a)
						break
					}
					time.Sleep(time.Duration(50+rnd.IntN(150)) * time.Millisecond)
				}
			}
		})
	}
	for g := range 2 {
		rnd := rand.New(rand.NewPCG(seed, uint64(g+20)))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				m := cores[rnd.IntN(len(cores))]
				mu.Lock()
				floor := maxAcked
				mu.Unlock()
				a := call(http.MethodGet, "http://"+m.control()+"/api/config", nil, nil)
				if a.err != nil || a.status != 200 {
					continue
				}
				v := version(a.body)
				mu.Lock()
				known, ref := bodies[v], refused[v]
				mu.Unlock()
				switch {
				case v < floor:
					fail("GET at %s: %d, acknowledged is %d", m.name, v, floor)
				case ref:
					fail("GET at %s: %d, which was refused", m.name, v)
				case known != string(a.body):
					fail("GET at %s: %d differs from what was sent", m.name, v)
				}
			}
		})
	}
	end := time.Now().Add(100 * time.Second)
	lastWipe := time.Time{}
	for time.Now().Before(end) && len(bad) < 5 {
		time.Sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
		n := 1
		switch random.IntN(6) {
		case 0:
			n = 4
		case 1, 2:
			n = 2
		}
		order := random.Perm(4)[:n]
		for i, k := range order {
			m := cores[k]
			wipe := n == 1 && random.IntN(4) == 0 && time.Since(lastWipe) > 12*time.Second
			if i > 0 && random.IntN(2) == 0 {
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
			switch {
			case random.IntN(3) == 0 && !wipe:
				m.signal(syscall.SIGSTOP)
				d := time.Duration(100+random.IntN(3200)) * time.Millisecond
				cmd := m.cmd
				wg.Go(func() { time.Sleep(d); _ = cmd.Process.Signal(syscall.SIGCONT) })
				if wipe {
					time.Sleep(d)
				}
			default:
				m.kill()
				if wipe {
					os.RemoveAll(m.dataDir())
					lastWipe = time.Now()
					r.log("%s has lost its disk", m.name)
				}
			}
		}
		for _, k := range order {
			m := cores[k]
			select {
			case <-m.done:
				time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
				if err := m.start(); err != nil {
					return false, err
				}
			default:
			}
		}
		if wiped := time.Since(lastWipe); wiped < 5*time.Second {
			time.Sleep(5 * time.Second)
		}
		if random.IntN(3) == 0 { // calm: frozen machines have woken after 3.3 s, and contact_ms has passed after 6.5 s
			time.Sleep(6500 * time.Millisecond)
			mu.Lock()
			before := maxAcked
			mu.Unlock()
			if !await(4*time.Second, func() bool {
				mu.Lock()
				defer mu.Unlock()
				return maxAcked > before
			}) {
				fail("no change was acknowledged within ack_max_ms in calm")
			}
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(2 * time.Second)
	return len(bad) == 0, nil
}
