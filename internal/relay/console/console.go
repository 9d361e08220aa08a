// Package console is the relay's terminal console. It is a client of the admin API only, and also has the text formats that
// the command line shares with it.
//
// A Model holds the state, see there. Polls form a chain: each answer schedules the next poll, and a key that needs other
// data starts a new chain. Actions that change the relay are sent after the operator has seen their consequences and
// confirmed them.
package console

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	tea "charm.land/bubbletea/v2"

	"larchrouter/internal/relay/adminapi"
)

// API is the part of adminapi.Client that the console uses.
type API interface {
	Overview(ctx context.Context, after uint64) (adminapi.Overview, error)
	Messages(context.Context, adminapi.Query) (adminapi.Page, error)
	Message(ctx context.Context, id string) (adminapi.Message, error)
	Drain(context.Context, adminapi.DrainRequest) (adminapi.DrainAnswer, error)
	Undrain(context.Context, adminapi.DrainRequest) (adminapi.DrainAnswer, error)
	Stop(context.Context, adminapi.StopRequest) (adminapi.StopAnswer, error)
	Fleet(context.Context) (adminapi.Fleet, error)
}

const (
	pollInterval = time.Second
	callTimeout  = 2 * time.Second // for the requests of one poll
	staleAfter   = 3 * time.Second // age at which data is marked as stale
	maxLogLines  = 200
	pageSize     = 100
)

// Options configures Run.
type Options struct {
	// By names the operator in records; default "the console".
	By string
}

// Run shows the console until it is closed, the context ends or the terminal is gone.
func Run(ctx context.Context, api API, o Options) error {
	if o.By == "" {
		o.By = "the console"
	}
	m := NewModel(ctx, api, o.By)
	_, err := tea.NewProgram(m, tea.WithContext(ctx), tea.WithoutSignalHandler()).Run()
	if ctx.Err() != nil || errors.Is(err, tea.ErrInterrupted) || errors.Is(err, os.ErrClosed) || errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
