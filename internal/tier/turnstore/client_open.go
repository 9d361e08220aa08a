package turnstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// OpenRequest asks for a turn.
type OpenRequest struct {
	Program   string
	Turn      string
	Previous  string // empty at the start
	MaxTokens int    // tokens at most
	Budget    int    // of the program
}

// OpenedTurn is a turn that may run.
type OpenedTurn struct {
	OpenRequest
	History       []byte // of Previous
	ForeignBase   bool   // Previous is another program's turn: the record must hold the history
	CacheHost     string // the host that ran Previous, empty where no store remembers it
	ContextTokens int    // tokens of Previous's prompt and of what it generated
}

// Record gives the turn for Close once it has ended whole. output is the data of each event, each followed by a line
// feed.
func (o *OpenedTurn) Record(input, output []byte, used int, retain time.Duration) *Turn {
	t := &Turn{Key: o.Program, ID: o.Turn, Previous: o.Previous, Input: input, Output: output, UsedTokens: used,
		RetainSeconds: int((retain + time.Second - 1) / time.Second)}
	if o.ForeignBase {
		t.Base = nonNil(o.History)
	}
	return t
}

// Open reserves what a turn may generate and gives the history that it continues. Its errors are ErrBudget, ErrNoTurn
// and ErrUnsure; after one the turn must not run, and the reservation is taken back.
func (c *Client) Open(ctx context.Context, o OpenRequest) (*OpenedTurn, error) {
	if o.MaxTokens > o.Budget {
		return nil, errors.Mark(errors.Newf("%d tokens of a budget of %d", o.MaxTokens, o.Budget), ErrBudget)
	}
	p := c.placement()
	if p == nil {
		return nil, unavailable(errors.New("no placement of stores was heard of yet"), "open")
	}
	for range 3 {
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
