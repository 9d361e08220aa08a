// Package loadbench measures the real program under load: one relay as a process on a core of its own, stand-in
// partners, a stand-in platform and clients on loopback. Each scenario is a ratio to the same site in calm, in
// the same run on the same machine; a plain reverse proxy on the same core stands beside them.
package loadbench

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larchrouter/internal/standin"
)

// Scenario is a site and the trouble that some of its destinations are in.
type Scenario struct {
	Name       string
	Dests      int
	Fault      string  `json:"Trouble"` // "", refuse, hang, slow or wait
	FaultShare float64 `json:"Share"`   // of the destinations
	Backlog    int     `json:"Held"`    // messages handed in beforehand, for destinations that tell to wait
	MaxPending int     `json:"Room"`    // for messages held, if above that of the options
	Recover    bool    `json:"Return"`  // those in trouble are well again when the measurement begins
	DueAtOnce  bool    `json:"Due"`     // what is held beforehand falls due at one instant, amid the measurement
	DiskMB     float64 `json:"Disk"`    // MB for the journal, if not so many that it is hardly ever compacted
	Proxy      bool    // a plain reverse proxy in the relay's place
}

// Options of a run.
type Options struct {
	Program    string // path of the program
	Self       string // path of this program, which is the reverse proxy too
	Dir        string // for state
	Span       time.Duration
	Clients    int
	Rate       float64 // messages a second of all clients; 0 for as many as are answered
	Deadline   time.Duration
	Body       int // bytes
	MaxPending int // messages that the relay holds at most
	Slots      int
}

// Figures of one scenario.
type Figures struct {
	Scenario         Scenario
	Accepted         float64 `json:"Taken"`   // messages taken on, a second
	Rejected         float64 `json:"Refused"` // messages refused, a second
	Failed           int64   // requests with no answer, or an error
	CPUPerAccepted   float64 `json:"CPU"`     // microseconds for each message taken on
	CPUPerRequest    float64 `json:"PerAsk"`  // microseconds for each request answered
	CPUPerDelivery   float64 `json:"PerDone"` // microseconds for each message delivered
	P50              time.Duration
	P99              time.Duration // of the answers 202
	Max              time.Duration // of any answer
	HealthyDelivered float64       `json:"Healthy"` // messages delivered to a destination without trouble, a second, in the mean
	Delivered        float64       // in all, a second
	Backlog          int           `json:"Held"`   // messages that were held beforehand, as asked for
	MemoryMB         float64       `json:"Memory"` // MB resident at the end
	LateNotices      int           `json:"Late"`   // messages due at one instant whose end was told more than 300 ms after it
}

const (
	healthyLatency    = time.Millisecond // of a partner that is well
	slowLatency       = 2 * time.Second
	retryAfter        = 5 * time.Second // by one that tells to wait
	backlogRetryAfter = 10 * time.Minute
)

// site is a relay among stand-ins.
type site struct {
	options      Options
	program      *process
	addr         string
	hosts        []*standin.Host
	healthy      *standin.Ledger
	faulty       *standin.Ledger
	backlogDests int // destinations for what is held beforehand, behind the others
	agent        *standin.Platform
	lastID       atomic.Uint64
}

// maxBacklogDests is how many destinations share what is held beforehand.
const maxBacklogDests = 16

func newSite(s Scenario, o Options, core int) (_ *site, err error) {
	w := &site{options: o, healthy: standin.NewLedger(time.Second), faulty: standin.NewLedger(time.Second)}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	if s.Backlog > 0 {
		w.backlogDests = maxBacklogDests
	}
	var list []standin.Server
	for d := range s.Dests + w.backlogDests {
		how, ledger := standin.Behaviour{Latency: healthyLatency}, w.healthy
		if float64(d) < s.FaultShare*float64(s.Dests) {
			ledger = w.faulty
			switch s.Fault {
			case "hang":
				how = standin.Behaviour{Hang: true}
			case "slow":
				how = standin.Behaviour{Latency: slowLatency}
			case "wait":
				how = standin.Behaviour{Refuse: true, Wait: retryAfter}
			}
		}
		if d >= s.Dests {
			how, ledger = standin.Behaviour{Refuse: true, Wait: backlogRetryAfter}, w.faulty
		}
		id := fmt.Sprintf("s-%d", d)
		h, err := standin.NewHost(id, "a", ledger, how, false)
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
		if ledger == w.faulty && s.Fault == "refuse" && d < s.Dests {
			h.Down()
		}
		list = append(list, standin.Server{ID: id, Addr: h.Addr(), Zone: "a", Kind: "system", Cell: d, State: "active", Weight: 1})
	}
	if w.agent, err = standin.NewPlatform(list); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") // the program's port, let go again
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	l.Close()
	if s.Proxy {
		targets, _ := json.Marshal(list)
		w.program, err = start(core, append(os.Environ(), "GOMAXPROCS=1", "LOADBENCH_PROXY="+w.addr, "LOADBENCH_TARGETS="+string(targets)), o.Self)
	} else {
		w.program, err = w.startRelay(s, core, list)
	}
	if err != nil {
		return nil, err
	}
	for begin := time.Now(); ; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + w.addr + "/up")
		if err == nil {
			resp.Body.Close()
			return w, nil
		}
		if time.Since(begin) > 10*time.Second {
			return nil, fmt.Errorf("the program is not up: %w", err)
		}
	}
}

// startRelay starts the program as the platform does, with limits that do not bind.
func (w *site) startRelay(s Scenario, core int, list []standin.Server) (*process, error) {
	class := func(name, effect string, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "aim": 2, "give-up": 3600, "late-share": 0.5,
			"window": 15, "worth": worth}
	}
	conf := map[string]any{"name": "n0", "listen": w.addr, "discovery": w.agent.Addr(), "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 8000, "sockets": 12000, "disk_mb": cmp.Or(s.DiskMB, 4000)},
		"known":  map[string]any{"version": 1, "full": true, "servers": list},
		"settings": map[string]any{
			"bounds":  map[string]any{"cancel": true, "conn-idle": 15, "dial-timeout": 1, "max-attempts": 6, "max-retry-after": 30, "most-held": max(w.options.MaxPending, s.MaxPending)},
			"classes": []any{class("status-update", "idempotent", 1), class("job-order", "deduplicated", 2), class("payment", "at_most_once", 4)},
			"family-info": map[string]any{"late": "linear", "own-limits": []bool{false}, "per-call": []int{1}, "workers": w.options.Slots,
				"zone-fee": []float64{0}},
			"fleet-size": 1, "index": 0, "load-report": map[string]any{"columns": []string{}, "how": "off"}, "registry-mode": "automatic",
			"rules": map[string]any{"cold": 13, "cold-from": 0.22, "drain-grace": 0.25, "fall": 2, "grace-to-answer": 0.02, "overload-factor": 2},
			"skus":  []string{"system"}, "tick": 0.005, "weights": "off", "zones": []string{"a"}}}
	data, err := json.Marshal(conf)
	if err != nil {
		return nil, err
	}
	state, err := os.MkdirTemp(w.options.Dir, "state")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(state, "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	env := []string{"BALANCER_CONFIG=" + path, "BALANCER_STATE=" + state, "BALANCER_NAME=n0", "PATH=" + os.Getenv("PATH")}
	return start(core, env, w.options.Program)
}

func (w *site) close() {
	if w.program != nil {
		w.program.kill()
	}
	if w.agent != nil {
		w.agent.Close()
	}
	for _, h := range w.hosts {
		h.Close()
	}
}

// Run measures one scenario.
func Run(s Scenario, o Options, core int) (f Figures, err error) {
	w, err := newSite(s, o, core)
	if err != nil {
		return f, fmt.Errorf("%s: %w", s.Name, err)
	}
	defer w.close()
	l := load{addr: w.addr, clients: o.Clients, rate: o.Rate, deadline: o.Deadline, body: o.Body, prefix: "m", lastID: &w.lastID,
		dests: func() int { return rand.IntN(s.Dests) }}
	held := l
	if s.Backlog > 0 {
		held = l
		held.rate, held.deadline = 0, 30*time.Minute
		held.dests = func() int { return s.Dests + rand.IntN(w.backlogDests) }
		if s.DueAtOnce {
			held.dueAt = time.Now().Add(time.Duration(s.Backlog)*120*time.Microsecond + o.Span) // handing them in takes less
		}
		got := held.run(5*time.Minute, int64(s.Backlog))
		if got.accepted < int64(s.Backlog)*9/10 {
			return f, fmt.Errorf("%s: only %d of %d messages were taken on beforehand", s.Name, got.accepted, s.Backlog)
		}
		f.Backlog = int(got.accepted)
	}
	l.run(o.Span/2, 0) // to warm up, and for backlogs to grow
	var late <-chan int
	if s.DueAtOnce {
		late = w.countLateNotices(f.Backlog, held.dueAt)
	}
	for d := range w.hosts {
		if s.Recover && float64(d) < s.FaultShare*float64(s.Dests) {
			if err := w.hosts[d].Up(); err != nil {
				return f, err
			}
			w.hosts[d].Set(standin.Behaviour{Latency: healthyLatency})
		}
	}
	cpu, err := w.program.cpu()
	if err != nil {
		return f, errors.New("the program has ended")
	}
	before, _ := w.healthy.Total()
	beforeIll, _ := w.faulty.Total()
	begin := time.Now()
	a := l.run(o.Span, 0)
	took := time.Since(begin).Seconds()
	after, err := w.program.cpu()
	if err != nil {
		return f, errors.New("the program has ended")
	}
	done, _ := w.healthy.Total()
	doneIll, _ := w.faulty.Total()
	us := (after - cpu).Seconds() * 1e6
	healthy := s.Dests - int(float64(s.Dests)*s.FaultShare)
	count := f.Backlog
	f = Figures{Scenario: s, Accepted: float64(a.accepted) / took, Rejected: float64(a.rejected) / took, Failed: a.failed, CPUPerAccepted: us / float64(max(1, a.accepted)),
		CPUPerRequest: us / float64(max(1, a.accepted+a.rejected)), P50: quantile(a.latency, 50), P99: quantile(a.latency, 99), Max: a.slowest,
		HealthyDelivered: float64(done-before) / took / float64(max(1, healthy)), Delivered: float64(done-before+doneIll-beforeIll) / took, Backlog: count,
		MemoryMB: w.program.memory()}
	if late != nil {
		f.LateNotices = <-late
	}
	f.CPUPerDelivery = us / max(1, f.Delivered*took)
	return f, nil
}

// countLateNotices tells, when it is time, how many of so many messages due at one instant have not had their end told
// 300 ms after it.
func (w *site) countLateNotices(held int, due time.Time) <-chan int {
	got := make(chan int, 1)
	time.AfterFunc(time.Until(due)+300*time.Millisecond, func() {
		told := 0
		for _, n := range w.agent.Notices() {
			told += n
		}
		got <- max(0, held-told)
	})
	return got
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Core is where programs under test run: one that this process then keeps off; below 0 for any.
func Core() int {
	if core, ok := reserveCore(); ok {
		return core
	}
	return -1
}
