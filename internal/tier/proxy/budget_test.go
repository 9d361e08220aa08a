package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"larchrouter/internal/tier/budget"
	"larchrouter/internal/tier/turnstore"
)

// budgetLedger is a Ledger in memory that several fronts share. It enforces budgets as the stores do.
type budgetLedger struct {
	mu       sync.Mutex
	programs map[string]*budget.Ledger
}

func (b *budgetLedger) add(program string, e budget.Entry) *budget.Ledger {
	if b.programs == nil {
		b.programs = map[string]*budget.Ledger{}
	}
	if b.programs[program] == nil {
		b.programs[program] = &budget.Ledger{}
	}
	b.programs[program].Add(e)
	return b.programs[program]
}

func (b *budgetLedger) Open(_ context.Context, o turnstore.OpenRequest) (*turnstore.OpenedTurn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.add(o.Program, budget.Entry{Turn: o.Turn, Tokens: o.MaxTokens}).Fits(o.Budget) {
		b.add(o.Program, budget.Entry{Turn: o.Turn, Settled: true})
		return nil, turnstore.ErrBudget
	}
	return &turnstore.OpenedTurn{OpenRequest: o}, nil
}

func (b *budgetLedger) Close(_ context.Context, t *turnstore.Turn) error {
	b.Settle(t.Key, t.ID, t.UsedTokens)
	return nil
}

func (b *budgetLedger) Settle(program, turn string, used int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(program, budget.Entry{Turn: turn, Tokens: used, Settled: true})
}

// spent returns the tokens that a program has reserved or used, and how many of its turns are not settled.
func (b *budgetLedger) spent(program string) (tokens, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.programs[program]; l != nil {
		return l.Sum(), l.Open()
	}
	return 0, 0
}

const (
	testBudget     = 20
	testMaxTokens  = 6 // of a turn: three events of two tokens
	budgetedHeader = timeLeft + "Program: p1\r\nSession: s1\r\nBudget: 20\r\nX-Token-Usage: 50,6\r\n"
)

// handedTokens returns the tokens that a client got with a response of the engine, whose events are of two tokens.
func handedTokens(body string) int { return 2 * strings.Count(body, "data:") }

// A program's budget holds on every stream, whether its turns are retained or not, whichever fronts it uses.
func TestBudgetHoldsOnEveryStream(t *testing.T) {
	for name, c := range map[string]struct {
		paths  []string // of the turns, in rotation
		script func(c *call) bool
	}{
		"retained":                     {[]string{"/turn/x"}, threeEvents},
		"not retained":                 {[]string{"/draft/x"}, threeEvents},
		"not retained, not resumable":  {[]string{"/chat/x"}, threeEvents},
		"mixed":                        {[]string{"/turn/x", "/draft/x", "/chat/x"}, threeEvents},
		"broken off after two events":  {[]string{"/draft/x", "/chat/x"}, breaksAfter(2)},
		"broken off before any events": {[]string{"/draft/x", "/turn/x"}, breaksFirstCall(threeEvents)},
	} {
		t.Run(name, func(t *testing.T) {
			shared := &budgetLedger{}
			h := newHost(t, "i-1", c.script)
			fronts := []*front{newFrontWithLedger(t, shared, h), newFrontWithLedger(t, shared, h)}
			handed, exhausted := 0, false
			for n := 0; n < 60 && !exhausted; n++ {
				a := fronts[n%2].do("POST", c.paths[n%len(c.paths)], fmt.Sprintf("t%d", n), budgetedHeader, "input")
				handed += handedTokens(a.body)
				exhausted = a.status == http.StatusPaymentRequired
				eventually(t, "settled", func() bool { _, open := shared.spent("p1"); return open == 0 })
			}
			if !exhausted {
				t.Errorf("no 402 after %d tokens of a budget of %d", handed, testBudget)
			}
			if handed > testBudget+testMaxTokens || handed <= testBudget-testMaxTokens {
				t.Errorf("%d tokens were handed out of a budget of %d", handed, testBudget)
			}
			if tokens, _ := shared.spent("p1"); tokens < handed {
				t.Errorf("the ledger counts %d tokens, the client has %d", tokens, handed)
			}
		})
	}
}

func threeEvents(c *call) bool { return streams(c, event(1, "x"), event(2, "y"), event(3, "z")) }

// breaksAfter breaks each stream off after so many events.
func breaksAfter(events int) func(c *call) bool {
	return func(c *call) bool {
		c.raw(streamHead(c))
		for id := range events {
			c.raw(chunk(event(id+1, "x")))
		}
		return false
	}
}

// breaksFirstCall closes the connection of the first call without an answer.
func breaksFirstCall(then func(c *call) bool) func(c *call) bool {
	var once sync.Once
	return func(c *call) bool {
		first := false
		once.Do(func() { first = true })
		return !first && then(c)
	}
}

// A stream that names no budget is not accounted for unless its turns are retained, and Previous of a stream that is not
// retained names nothing in the stores.
func TestStreamsWithoutBudgetAskNoLedger(t *testing.T) {
	f := newFront(t, newHost(t, "i-1", threeEvents))
	want(t, "status", f.do("POST", "/draft/x", "t1", timeLeft+"Program: p1\r\nX-Token-Usage: 50,6\r\n", "input").status, http.StatusOK)
	want(t, "notes", f.ledger.log(), "")
	want(t, "status", f.do("POST", "/draft/x", "t2", budgetedHeader+"Previous: t0\r\n", "input").status, http.StatusOK)
	eventually(t, "settled", func() bool { return strings.Contains(f.ledger.log(), "settle") })
	want(t, "notes", f.ledger.log(), "open p1 t2<- 6/20; settle p1 t2 6")
}
