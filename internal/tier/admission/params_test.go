package admission

import (
	"testing"
	"time"
)

var testParams = DefaultParams()

func TestParamsAreChecked(t *testing.T) {
	if err := testParams.Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(p *Params){
		"class share":  func(p *Params) { p.MinClassShare = 1 },
		"target share": func(p *Params) { p.QueueTargetShare = 2 },
		"margin":       func(p *Params) { p.RejectionMargin = -time.Millisecond },
		"minimum":      func(p *Params) { p.MinQueueTimeout = -1 },
	} {
		p := DefaultParams()
		if change(&p); p.Check() == nil {
			t.Errorf("%s: no error for %+v", name, p)
		}
	}
}

// Without OldestInterval and MinClassShare a queue is by priority alone.
func TestPriorityAlone(t *testing.T) {
	params := DefaultParams()
	params.OldestInterval, params.MinClassShare = 0, 0
	q := NewQueue(&params)
	now := time.Now()
	q.Push(&Entry{Class: "low", Priority: 1, QueueDeadline: now.Add(time.Minute)})
	for range 50 {
		q.Push(&Entry{Class: "high", QueueDeadline: now.Add(time.Minute)})
		e := q.Next(now)
		if e.Class != "high" {
			t.Fatal("a call of the lower priority is admitted")
		}
		q.Admit(e)
	}
}
