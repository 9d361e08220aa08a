package tiertest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Client is a stand-in for agent programs. It follows the protocol's rules for retries and records each attempt. Its
// methods are safe for concurrent use.
type Client struct {
	tier       *Tier
	turnPath   string
	httpClient *http.Client
	OnAttempt  func(Attempt) // called with each attempt of a program after it ended, if not nil; set before the first Run
}

// The limits of clients.
const (
	requestTimeout  = 8 * time.Second // for a request with all its attempts
	maxAttempts     = 4               // of a request
	maxTurnRestarts = 2               // of a turn that was not answered completely, each a request of its own
	dialTimeout     = time.Second
	ownPromptTokens = 64 // tokens of a turn's own part of the prompt
)

// NewClient returns a client of a tier that sends turns to a path.
func NewClient(t *Tier, turnPath string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}
	return &Client{tier: t, turnPath: turnPath, httpClient: &http.Client{Transport: transport}}
}

// finalStatusError is an answer of the class 4xx, which ends the request.
type finalStatusError struct{ status int }

func (e finalStatusError) Error() string { return "status " + strconv.Itoa(e.status) }

// errProgramEnded ends a conversation after another one of the program has failed.
var errProgramEnded = errors.New("another line of the program has ended it")

func isBudgetExhausted(err error) bool {
	var final finalStatusError
	return errors.As(err, &final) && final.status == http.StatusPaymentRequired
}

// programRun is a program in progress.
type programRun struct {
	*Client
	Program
	ctx      context.Context
	attempts atomic.Int64 // number of the last attempt
	sessions atomic.Int64 // number of the last session
	deadline time.Time    // sent to the tier as the program's expected end
	ended    atomic.Bool  // a conversation has failed: the others end at their next turn
}

// Run runs a program to its end, and records and returns its result.
func (c *Client) Run(ctx context.Context, p Program) Result {
	r := &programRun{Client: c, Program: p, ctx: ctx, deadline: time.Now().Add(requestTimeout * time.Duration(2+len(p.Steps)))}
	r.attempts.Store(int64(p.NumberOffset))
	r.sessions.Store(int64(p.NumberOffset))
	_, err := r.converse(p.Conversation, "")
	result := Result{Program: p.Name, Endless: p.Endless}
	switch {
	case isBudgetExhausted(err):
		result.Outcome = BudgetExhausted
	case err != nil:
		result.Outcome, result.Reason = Failed, err.Error()
	}
	c.tier.EventLog.addResult(result)
	return result
}

// NewPersistentClient returns a client as NewClient does, which keeps one connection to each front open for its next request.
func NewPersistentClient(t *Tier, turnPath string) *Client {
	c := NewClient(t, turnPath)
	transport := c.httpClient.Transport.(*http.Transport)
	transport.DisableKeepAlives, transport.MaxConnsPerHost = false, 1
	return c
}

// Close closes the connections that are open and idle.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Get sends one request without a body to a front, and records and returns the attempt. It shows which configuration the
// front acts on.
func (c *Client) Get(ctx context.Context, front *Machine, attempt, path, kind string) Attempt {
	return c.Try(ctx, front, requestTimeout,
		Attempt{ID: attempt, Program: attempt, Session: attempt, Method: http.MethodGet, Path: path, Kind: kind})
}

// Try makes one attempt at a front, whatever its answer, and records and returns it.
func (c *Client) Try(ctx context.Context, front *Machine, timeout time.Duration, a Attempt) Attempt {
	deadline := time.Now().Add(timeout)
	r := &programRun{Client: c, ctx: ctx, deadline: deadline}
	_, _ = r.attempt(&a, front, deadline, "")
	c.tier.EventLog.addAttempt(a)
	return a
}

// converse runs a conversation to its end and returns its last turn. prompt is the prompt so far, in the format of
// X-Prompt-Prefix with a leading comma, "" for the program's own conversation.
func (r *programRun) converse(c Conversation, prompt string) (last string, err error) {
	session := fmt.Sprintf("%s-s%d", r.Name, r.sessions.Add(1))
	last = c.Previous
	endless := r.Endless && prompt == ""
	for i := 0; i < len(c.Steps) || endless; i++ {
		step := c.Steps[i%len(c.Steps)]
		if r.ended.Load() {
			return last, errProgramEnded
		}
		prompt += fmt.Sprintf(",%s.%d:%d", session, i, ownPromptTokens+step.MaxTokens)
		if last, err = r.takeStep(session, last, strings.TrimPrefix(prompt, ","), step); err != nil {
			r.ended.Store(true)
			return last, err
		}
		if err = r.callTools(session, step.Tools); err == nil {
			err = r.runSubAgents(last, prompt, step.SubAgents)
		}
		if err != nil {
			r.ended.Store(true)
			return last, err
		}
	}
	return last, nil
}

// inParallel does n things at once and returns the most informative error: an exhausted budget, then another failure, then
// errProgramEnded.
func inParallel(n int, do func(i int) error) (worst error) {
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { errs[i] = do(i) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil && (worst == nil || isBudgetExhausted(err) || errors.Is(worst, errProgramEnded)) {
			worst = err
		}
	}
	return worst
}

func (r *programRun) callTools(session string, tools []Tool) error {
	return inParallel(len(tools), func(i int) error {
		a := Attempt{Program: r.Name, Session: session, Key: r.Key, Method: http.MethodPost, Path: tools[i].Path, Kind: tools[i].Kind,
			Input: []byte(r.Name + " calls a tool\n")}
		return r.send(a, "").failure()
	})
}

func (r *programRun) runSubAgents(previous, prompt string, conversations []Conversation) error {
	return inParallel(len(conversations), func(i int) error {
		c := conversations[i]
		c.Previous = previous
		_, err := r.converse(c, prompt)
		return err
	})
}

// takeStep takes the turn of a step and returns the turn from which the conversation goes on.
func (r *programRun) takeStep(session, previous, prompt string, step Step) (last string, err error) {
	turn := Attempt{Program: r.Name, Session: session, Key: r.Key, Previous: previous, Method: http.MethodPost, Path: r.turnPath,
		Kind: Streaming, Budget: r.Budget, MaxTokens: step.MaxTokens}
	if !step.Draft {
		return r.takeTurn(turn, prompt)
	}
	turn.Previous, turn.Path, turn.Resumable = "", DraftPath, true
	_, err = r.takeTurn(turn, prompt)
	return previous, err
}

// takeTurn sends a turn until it is answered completely, at most maxTurnRestarts times again, and returns the attempt that
// was. turn has the fields that all attempts share.
func (r *programRun) takeTurn(turn Attempt, prompt string) (attempt string, err error) {
	for restarts := 0; ; restarts++ {
		turn.Input = fmt.Appendf(nil, "%s asks after %q, time %d\n", turn.Session, turn.Previous, restarts)
		last := r.send(turn, prompt)
		if err = last.failure(); err == nil {
			return last.ID, nil
		}
		final := last.final()
		if last.Status == http.StatusPaymentRequired && r.Endless {
			final = false
		}
		if restarts == maxTurnRestarts || final || !r.sleep(100*time.Millisecond+rand.N(300*time.Millisecond)) {
			return "", err
		}
	}
}

// sleep sleeps for a time; it returns false if the context ends before.
func (r *programRun) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}
