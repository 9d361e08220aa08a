package tiertest

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"larchrouter/internal/standin/modelhost"
)

// drafts returns so many steps that are drafts, with a tool after each.
func drafts(n int) []Step {
	return slices.Repeat([]Step{{MaxTokens: 8, Draft: true, Tools: []Tool{{ReadPath, Idempotent}}}}, n)
}

// Programs whose turns are not retained, and programs that mix both kinds, keep to their budgets at any front, also after a front
// was killed and started again, and after a store was lost. Streams that break off go on at another host.
func TestDraftsAreBudgetedAndResumed(t *testing.T) {
	tt := newTestTier(t, 3, 3, 2)
	mixed := append(drafts(1), Step{MaxTokens: 8})
	run := func(p Program, want Outcome) {
		t.Helper()
		if result := tt.client.Run(t.Context(), p); result.Outcome != want {
			t.Errorf("%s ended with %v, want %v: %s", p.Name, result.Outcome, want, result.Reason)
		}
	}
	run(Program{Name: "drafts", Budget: 40, Conversation: Conversation{Steps: drafts(5)}}, Completed)
	run(Program{Name: "endless-drafts", Budget: 60, Endless: true, Conversation: Conversation{Steps: drafts(1)}}, BudgetExhausted)
	run(Program{Name: "endless-mixed", Budget: 60, Endless: true, Conversation: Conversation{Steps: mixed}}, BudgetExhausted)

	i := slices.IndexFunc(tt.hosts, func(h *modelhost.Host) bool { return h.Options().Service == DraftService })
	tt.hosts[i].SetFault(modelhost.Fault{Kind: modelhost.Abort, After: 2})
	resumed := func(r modelhost.Run) bool { return r.Skipped == 2 && r.Outcome == modelhost.Completed }
	for round := 0; round < 20 && !slices.ContainsFunc(tt.RunLog.Runs(), resumed); round++ {
		var wg sync.WaitGroup
		for n := range 8 { // at once, so that both hosts get some
			wg.Go(func() {
				name := fmt.Sprintf("resumed-%d-%d", round, n)
				run(Program{Name: name, Budget: 64, Conversation: Conversation{Steps: drafts(8)}}, Completed)
			})
		}
		wg.Wait()
	}
	if !slices.ContainsFunc(tt.RunLog.Runs(), resumed) {
		t.Error("no host continued a stream")
	}
	tt.hosts[i].SetFault(modelhost.Fault{})

	half := Program{Name: "returns", Budget: 48, Conversation: Conversation{Steps: drafts(4)}}
	run(half, Completed)
	tt.Machine("front-1").Kill()
	tt.Machine("store-2").Kill()
	must(t, tt.Machine("front-1").Start())
	must(t, tt.AwaitReady(stepContext(t), tt.Class(Front)...))
	half.NumberOffset, half.Endless = 100, true
	run(half, BudgetExhausted)
	tt.checkRules()
}
