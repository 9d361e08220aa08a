package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/standin"
)

// Tally counts messages by state.
type Tally struct {
	Delivered, Refused, Failed, Open, Unknown int
	Wrong                                     []string // messages whose state contradicts the stand-ins' ledger
	Why                                       []string // failed messages with their attempts
}

// String returns the counts in one line.
func (t Tally) String() string {
	return fmt.Sprintf("delivered %d, refused %d, failed %d, open %d, unknown %d",
		t.Delivered, t.Refused, t.Failed, t.Open, t.Unknown)
}

// Count queries each message's state and compares it with the ledger: a delivered message has taken effect, and
// a refused one has not, unless it is idempotent. No payment takes effect twice.
func (l *Load) Count(ctx context.Context, messages []Message, ledger *standin.Ledger) (t Tally, err error) {
	for _, m := range messages {
		state, err := l.Query(ctx, m.ID)
		if err != nil {
			return t, err
		}
		effects := ledger.Effects(m.ID)
		wrong := m.Class == "payment" && effects > 1
		switch state.State {
		case adminapi.Delivered:
			t.Delivered++
			wrong = wrong || effects == 0
		case adminapi.Refused:
			t.Refused++
			wrong = wrong || effects > 0 && m.Class != "status-update"
		case adminapi.Fails:
			t.Failed++
			t.Why = append(t.Why, fmt.Sprintf("%s %s: %s %+v", m.Class, m.ID, state.Why, state.Attempts))
		case "":
			t.Unknown++
		default:
			t.Open++
		}
		if wrong {
			t.Wrong = append(t.Wrong, fmt.Sprintf("%s %s: %s with %d effects", m.Class, m.ID, state.State, effects))
		}
	}
	return t, nil
}

// Query returns the relay's record of a message. That of an unknown message has an empty state.
func (l *Load) Query(ctx context.Context, id string) (m adminapi.Message, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr+"/api/"+id, nil)
	if err != nil {
		return m, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return m, err
	}
	defer resp.Body.Close()
	defer io.Copy(io.Discard, resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return m, json.NewDecoder(resp.Body).Decode(&m)
	case http.StatusNotFound:
		return m, nil
	}
	return m, fmt.Errorf("asked for %s: status %d", id, resp.StatusCode)
}
