package hostile

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"larchrouter/internal/tier/tiertest"
)

// sendTurn sends one turn of a program with an input and returns its status, 0 for none, and its id.
func (tt *testTier) sendTurn(program, previous string, input []byte) (status int, id string) {
	ctx, stop := context.WithTimeout(tt.t.Context(), stepTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tt.front().FrontAddr()+tiertest.TurnPath, bytes.NewReader(input))
	if err != nil {
		return 0, ""
	}
	id = newID()
	req.Host = tiertest.Hostname
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Time-Left-Ms", strconv.Itoa(8000))
	req.Header.Set("X-Model", tiertest.ModelName)
	req.Header.Set("X-Token-Usage", "10,4")
	req.Header.Set("Program", program)
	req.Header.Set("Session", program)
	req.Header.Set("Budget", "100000")
	if previous != "" {
		req.Header.Set("Previous", previous)
	}
	status, _ = do(req)
	return status, id
}

// expectTurn expects that an ordinary program takes two turns, the second of which continues the first.
func (tt *testTier) expectTurn(when string) {
	tt.t.Helper()
	program, previous := newID(), ""
	for turn := range 2 {
		var statuses []int
		for range callerTries {
			status, id := tt.sendTurn(program, previous, []byte("an ordinary turn"))
			if status == http.StatusOK {
				previous = id
				break
			}
			statuses = append(statuses, status)
		}
		if len(statuses) == callerTries {
			tt.t.Errorf("%s, turn %d of an ordinary program got %v", when, turn+1, statuses)
			return
		}
	}
}

// Conversations with long inputs, all at once, each of which grows with every turn.
func TestHostileLongHistories(t *testing.T) {
	tt := startTier(t, maxFDs, maxHeadBytes)
	front := watch(t, tt.front())
	stores := []*watched{watch(t, tt.Class(tiertest.Store)[0]), watch(t, tt.Class(tiertest.Store)[1]), watch(t, tt.Class(tiertest.Store)[2])}
	input := make([]byte, turnInput)
	var conversations sync.WaitGroup
	for range turnCrowd {
		conversations.Go(func() {
			program, previous := newID(), ""
			for range turnsInHistory {
				if status, id := tt.sendTurn(program, previous, input); status == http.StatusOK {
					previous = id
				}
			}
		})
	}
	tt.expectTurn("while the conversations grow")
	conversations.Wait()
	tt.expectTurn("after the conversations")
	front.expectWithin(maxFDs)
	for _, store := range stores {
		store.expectWithin(maxFDs)
	}
	tt.expectBudgetEmpty(tt.front().ReadyAddr())
}
