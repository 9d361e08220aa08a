package turnstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const openAttempts = 3

// OpenRequest asks to open a turn.
type OpenRequest struct {
	Program   string
	Turn      string // unique identifier, also over retries
	Previous  string // turn that it continues from, of this or another program; empty at the start
	MaxTokens int    // reserved for the turn
	Budget    int    // tokens of the whole program
}

// OpenedTurn is a turn whose reservation was granted.
type OpenedTurn struct {
	OpenRequest
	History       []byte // complete history of Previous
	ForeignBase   bool   // Previous belongs to another program: the record must include the history
	CacheHost     string // host whose prefix cache has Previous, empty if no store remembers it
	ContextTokens int    // tokens of Previous's prompt and of what it generated
}

// Record returns the turn to pass to Close once it has ended completely. output is the data of each event, each followed
// by a line feed; retain is rounded up to seconds.
func (o *OpenedTurn) Record(input, output []byte, used int, retain time.Duration) *Turn {
	t := &Turn{Key: o.Program, ID: o.Turn, Previous: o.Previous, Input: input, Output: output, UsedTokens: used,
		RetainSeconds: int((retain + time.Second - 1) / time.Second)}
	if o.ForeignBase {
		t.Base = nonNil(o.History)
	}
	return t
}

// Open reserves the tokens of a turn and returns the history that it continues from. Its errors are ErrBudget, ErrNoTurn
// and ErrUnavailable; after one the turn must not run, and the reservation is settled at 0 in the background.
func (c *Client) Open(ctx context.Context, o OpenRequest) (*OpenedTurn, error) {
	if o.MaxTokens > o.Budget {
		return nil, errors.Mark(errors.Newf("%d tokens of a budget of %d", o.MaxTokens, o.Budget), ErrBudget)
	}
	p := c.placement()
	if p == nil {
		return nil, unavailable(errors.New("no placement of stores was received yet"), "open")
	}
	for range openAttempts {
		opened, err := c.newOpenAttempt(p, o).run(ctx)
		switch {
		case err == nil:
			return opened, nil
		case errors.Is(err, ErrOldPlacement):
			if p = c.awaitNewerPlacement(ctx, p.Generation); p != nil {
				continue
			}
			err = unavailable(err, "open")
		case !errors.Is(err, ErrBudget) && !errors.Is(err, ErrNoTurn):
			err = unavailable(err, "open")
		}
		c.Settle(o.Program, o.Turn, 0)
		return nil, err
	}
	c.Settle(o.Program, o.Turn, 0)
	return nil, unavailable(ErrOldPlacement, "open")
}
