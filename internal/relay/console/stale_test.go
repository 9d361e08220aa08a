package console

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/relay/adminapi"
)

// faultyAPI is a relay that accepts requests and does not answer, or answers garbage.
type faultyAPI struct {
	API
	mu    sync.Mutex
	fault string
}

func (s *faultyAPI) Overview(ctx context.Context, after uint64) (adminapi.Overview, error) {
	s.mu.Lock()
	how := s.fault
	s.mu.Unlock()
	switch how {
	case "silent":
		<-ctx.Done()
		return adminapi.Overview{}, ctx.Err()
	case "garbage":
		return adminapi.Overview{}, errors.New("the answer cannot be read")
	}
	return s.API.Overview(ctx, after)
}

// While the relay does not answer, the shown data is marked as stale.
func TestStaleDataIsMarked(t *testing.T) {
	s, _ := newRelay(t, nil)
	api := &faultyAPI{API: s.Control, fault: "silent"}
	set := func(how string) { api.mu.Lock(); api.fault = how; api.mu.Unlock() }
	d := startConsole(t, api)
	d.waitFor("connecting ...")
	d.waitFor("NOT CONNECTED: context deadline exceeded; trying again")
	set("")
	d.waitFor("serving on")
	set("garbage")
	d.waitFor("OLD: shown as of", "the answer cannot be read; trying again", "held")
	set("")
	d.waitFor("serving on")
	d.model.lastAnswerAt = d.model.lastAnswerAt.Add(-4 * time.Second) // no answer, and no error either
	d.waitFor("OLD: shown as of", "4.0s ago")
}
