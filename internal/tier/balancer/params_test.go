package balancer

import (
	"testing"
	"time"
)

func TestParamsAreChecked(t *testing.T) {
	if p := DefaultParams(); p.Check() != nil {
		t.Errorf("the defaults: %v", p.Check())
	}
	for name, change := range map[string]func(p *Params){
		"zero":            func(p *Params) { *p = Params{} },
		"ejection":        func(p *Params) { p.Ejection.Max = p.Ejection.Min - 1 },
		"negative time":   func(p *Params) { p.Ejection.FailureMemory = -time.Second },
		"threshold":       func(p *Params) { p.Ejection.TimedOut = 0 },
		"fade":            func(p *Params) { p.Load.FadeTime = 0 },
		"slow start":      func(p *Params) { p.Load.SlowStartReduction = 1 },
		"penalty":         func(p *Params) { p.Selection.OtherZonePenalty = -1 },
		"share":           func(p *Params) { p.Selection.MaxHostShare = 1.5 },
		"contended share": func(p *Params) { p.Selection.ContendedHostShare = 0.9 },
		"learning rate":   func(p *Params) { p.Cost.LearningRate = 2 },
		"cost":            func(p *Params) { p.Cost.OtherZoneMs = -1 },
		"half-life":       func(p *Params) { p.Cost.OthersLoadHalfLife = 0 },
		"shared prefix":   func(p *Params) { p.Cost.SharedPrefixTTL = -1 },
	} {
		p := DefaultParams()
		if change(&p); p.Check() == nil {
			t.Errorf("%s: no error for %+v", name, p)
		}
	}
}

// Ejection can be switched off: a host that fails is a candidate at once.
func TestEjectionCanBeSwitchedOff(t *testing.T) {
	params := DefaultParams()
	params.Ejection.Min, params.Ejection.Max = 0, 0
	b := NewWithParams("z", 99, 1, params)
	b.UpdateHosts(parseHosts("a-0 z 9, a-1 z 9"), start)
	for range 9 {
		h := b.Lookup("a-0")
		b.CallStarted(h)
		b.CallEnded(h, ConnectFailed, start)
	}
	if candidates := b.candidates(PickInfo{Service: "a"}, start); len(candidates) != 2 {
		t.Errorf("%d candidates, want 2", len(candidates))
	}
}
