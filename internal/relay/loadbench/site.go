package loadbench

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"larchrouter/internal/standin"
)

const (
	healthyLatency    = time.Millisecond // of a healthy partner
	slowLatency       = 2 * time.Second
	retryAfter        = 5 * time.Second  // of a partner with the fault "wait"
	startTimeout      = 10 * time.Second // until the program serves
	backlogRetryAfter = 10 * time.Minute // of the backlog's destinations
)

// site is a relay, or the reverse proxy, with its stand-ins.
type site struct {
	options      Options
	program      *process
	addr         string
	hosts        []*standin.Host
	healthy      *standin.Ledger
	faulty       *standin.Ledger
	backlogDests int // number of destinations for the backlog, after the others
	agent        *standin.Platform
	lastID       atomic.Uint64
}

// maxBacklogDests is the number of destinations that share a backlog.
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
	list, err := w.startHosts(s)
	if err != nil {
		return nil, err
	}
	if w.agent, err = standin.NewPlatform(list); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") // reserves a port for the program
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	l.Close()
	if err := w.startProgram(s, core, list); err != nil {
		return nil, err
	}
	if err := w.waitServing(); err != nil {
		return nil, err
	}
	return w, nil
}

// startProgram starts the relay, or the reverse proxy.
func (w *site) startProgram(s Scenario, core int, list []standin.Server) (err error) {
	if s.Proxy {
		targets, _ := json.Marshal(list)
		env := append(os.Environ(), "GOMAXPROCS=1", "LOADBENCH_PROXY="+w.addr, "LOADBENCH_TARGETS="+string(targets))
		w.program, err = start(core, env, w.options.Self)
	} else {
		w.program, err = w.startRelay(s, core, list)
	}
	return err
}

// waitServing returns when the program answers requests.
func (w *site) waitServing() error {
	for begin := time.Now(); ; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + w.addr + "/up")
		if err == nil {
			resp.Body.Close()
			return nil
		}
		if time.Since(begin) > startTimeout {
			return fmt.Errorf("the program is not up: %w", err)
		}
	}
}

// startHosts starts the partners' hosts, the faulty ones first and those of the backlog last, and returns the platform's list.
func (w *site) startHosts(s Scenario) (list []standin.Server, err error) {
	for dest := range s.Dests + w.backlogDests {
		how, ledger := standin.Behaviour{Latency: healthyLatency}, w.healthy
		if float64(dest) < s.FaultShare*float64(s.Dests) {
			ledger = w.faulty
			switch s.Fault {
			case "hang":
				how = standin.Behaviour{Hang: true}
			case "slow":
				how = standin.Behaviour{Latency: slowLatency}
			case "wait":
				how = standin.Behaviour{Refuse: true, RetryAfter: retryAfter}
			}
		}
		if dest >= s.Dests {
			how, ledger = standin.Behaviour{Refuse: true, RetryAfter: backlogRetryAfter}, w.faulty
		}
		id := fmt.Sprintf("s-%d", dest)
		h, err := standin.NewHost(id, "a", ledger, how, false)
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
		if ledger == w.faulty && s.Fault == "refuse" && dest < s.Dests {
			h.Down()
		}
		list = append(list, standin.Server{ID: id, Addr: h.Addr(), Zone: "a", Kind: "system", Cell: dest, State: "active", Weight: 1})
	}
	return list, nil
}

// startRelay starts the program as the platform does, with limits that are never reached.
func (w *site) startRelay(s Scenario, core int, list []standin.Server) (*process, error) {
	class := func(name, effect string, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "aim": 2, "give-up": 3600, "late-share": 0.5,
			"window": 15, "worth": worth}
	}
	conf := map[string]any{"name": "n0", "listen": w.addr, "discovery": w.agent.Addr(), "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 8000, "sockets": 12000, "disk_mb": cmp.Or(s.DiskMB, 4000)},
		"known":  map[string]any{"version": 1, "full": true, "servers": list},
		"settings": map[string]any{
			"bounds": map[string]any{"cancel": true, "conn-idle": 15, "dial-timeout": 1, "max-attempts": 6, "max-retry-after": 30,
				"most-held": max(w.options.MaxPending, s.MaxPending)},
			"classes": []any{class("status-update", "idempotent", 1), class("job-order", "deduplicated", 2),
				class("payment", "at_most_once", 4)},
			"family-info": map[string]any{"late": "linear", "own-limits": []bool{false}, "per-call": []int{1}, "workers": w.options.Slots,
				"zone-fee": []float64{0}},
			"fleet-size": 1, "index": 0, "load-report": map[string]any{"columns": []string{}, "how": "off"}, "registry-mode": "automatic",
			"rules": map[string]any{"cold": 13, "cold-from": 0.22, "drain-grace": 0.25, "fall": 2,
				"grace-to-answer": 0.02, "overload-factor": 2},
			"skus": []string{"system"}, "tick": 0.005, "weights": "off", "zones": []string{"a"}}}
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
