package tiertest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
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

// Program is what a stand-in agent program does: its turns one after the other, and between them tools and sub-agents.
type Program struct {
	Name         string
	Budget       int // tokens
	Endless      bool
	NumberOffset int // tries and sessions that the program had before, where it goes on
	Conversation
}

// Conversation is a sequence of turns. The first of them continues Previous, "" for none.
type Conversation struct {
	Previous string
	Steps    []Step
}

// Step is a turn and what follows it: tools, all at once, then sub-agents, whose lines continue the turn in parallel.
type Step struct {
	MaxTokens int // tokens at most
	Tools     []Tool
	SubAgents []Conversation
}

// Tool is a call of one.
type Tool struct {
	Path string
	Kind string
}

// Client is a stand-in for agent programs. It follows the protocol's rules on what is tried again, and writes down each
// try. Its methods are safe for concurrent use.
type Client struct {
	tier       *Tier
	turnPath   string // of turns
	httpClient *http.Client
	OnAttempt  func(t Attempt) // of each try, if not nil
}

// The bounds of clients.
const (
	requestTimeout  = 8 * time.Second // for one request with its tries
	maxAttempts     = 4               // of one request
	maxTurnRestarts = 2               // times that a turn is sent again from its start
	dialTimeout     = time.Second
	ownPromptTokens = 64 // tokens of a turn's own part of the prompt
)

// NewClient makes a client of a tier whose turns go to a path.
func NewClient(t *Tier, path string) *Client {
	return &Client{tier: t, turnPath: path, httpClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// finalStatusError is a final answer.
type finalStatusError struct{ status int }

var errProgramEnded = errors.New("another line of the program has ended it")

func (e finalStatusError) Error() string { return "status " + strconv.Itoa(e.status) }

// programRun is one program that runs.
type programRun struct {
	*Client
	Program
	ctx      context.Context
	attempts atomic.Int64
	sessions atomic.Int64
	deadline time.Time
	stopped  atomic.Bool
}

// Run has a program run to its end, which is written down.
func (c *Client) Run(ctx context.Context, p Program) Result {
	r := &programRun{Client: c, Program: p, ctx: ctx, deadline: time.Now().Add(requestTimeout * time.Duration(2+len(p.Steps)))}
	r.attempts.Store(int64(p.NumberOffset))
	r.sessions.Store(int64(p.NumberOffset))
	_, err := r.converse(p.Conversation, "")
	e := Result{Program: p.Name, Endless: p.Endless}
	switch {
	case isBudgetExhausted(err):
		e.Outcome = BudgetExhausted
	case err != nil:
		e.Outcome, e.Reason = Failed, err.Error()
	}
	c.tier.EventLog.addResult(e)
	return e
}

// Get sends one request without a body to a front, as those do who look which configuration is in force there.
func (c *Client) Get(ctx context.Context, front *Machine, attempt, path, kind string) Attempt {
	r := &programRun{Client: c, ctx: ctx, deadline: time.Now().Add(requestTimeout)}
	t := Attempt{ID: attempt, Program: attempt, Session: attempt, Method: http.MethodGet, Path: path, Kind: kind}
	_, _ = r.attempt(&t, front, time.Now().Add(requestTimeout), "")
	c.tier.EventLog.addAttempt(t)
	return t
}

// converse runs a converse of turns to its end, and gives its last turn.
func (r *programRun) converse(l Conversation, prompt string) (last string, err error) {
	session := fmt.Sprintf("%s-s%d", r.Name, r.sessions.Add(1))
	last = l.Previous
	loops := r.Endless && prompt == "" // the program's own line
	for i := 0; i < len(l.Steps) || loops; i++ {
		s := l.Steps[i%len(l.Steps)]
		if r.stopped.Load() {
			return last, errProgramEnded
		}
		prompt += fmt.Sprintf(",%s.%d:%d", session, i, ownPromptTokens+s.MaxTokens)
		if last, err = r.takeTurn(session, last, strings.TrimPrefix(prompt, ","), s.MaxTokens); err != nil {
			r.stopped.Store(true)
			return last, err
		}
		for _, f := range []func() error{func() error { return r.callTools(session, s.Tools) }, func() error { return r.runSubAgents(last, prompt, s.SubAgents) }} {
			if err := f(); err != nil {
				r.stopped.Store(true)
				return last, err
			}
		}
	}
	return last, nil
}

// inParallel does things at once, and gives the error that tells most: a spent budget, then what went wrong, then that another
// line has ended the program.
func inParallel(n int, do func(i int) error) (told error) {
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { errs[i] = do(i) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil && (told == nil || isBudgetExhausted(err) || errors.Is(told, errProgramEnded)) {
			told = err
		}
	}
	return told
}

func isBudgetExhausted(err error) bool {
	var final finalStatusError
	return errors.As(err, &final) && final.status == http.StatusPaymentRequired
}

func (r *programRun) callTools(session string, tools []Tool) error {
	return inParallel(len(tools), func(i int) error {
		t := Attempt{Program: r.Name, Session: session, Method: http.MethodPost, Path: tools[i].Path, Kind: tools[i].Kind, Input: []byte(r.Name + " calls a tool\n")}
		got := r.send(t, "")
		return got.failure()
	})
}

func (r *programRun) runSubAgents(previous, prompt string, agents []Conversation) error {
	return inParallel(len(agents), func(i int) error {
		l := agents[i]
		l.Previous = previous
		_, err := r.converse(l, prompt)
		return err
	})
}

// takeTurn has one answered whole, from its start again if need be.
func (r *programRun) takeTurn(session, previous, prompt string, out int) (attempt string, err error) {
	t := Attempt{Program: r.Name, Session: session, Previous: previous, Method: http.MethodPost, Path: r.turnPath, Kind: Streaming, Budget: r.Budget, MaxTokens: out}
	for n := 0; ; n++ {
		t.Input = fmt.Appendf(nil, "%s asks after %q, time %d\n", session, previous, n)
		got := r.send(t, prompt)
		if err = got.failure(); err == nil {
			return got.ID, nil
		}
		stops := got.final()
		if got.Status == http.StatusPaymentRequired && r.Endless {
			stops = false
		}
		if n == maxTurnRestarts || stops || !r.sleep(100*time.Millisecond+rand.N(300*time.Millisecond)) {
			return "", err
		}
	}
}

// failure of a request's last try, nil if it was answered whole with success.
func (t *Attempt) failure() error {
	switch {
	case t.Complete && t.Status/100 == 2:
		return nil
	case t.Status/100 == 4:
		return finalStatusError{t.Status}
	case t.Status != 0 && t.Complete:
		return errors.Newf("%s of %s: status %d: %s", t.ID, t.Path, t.Status, bytes.TrimSpace(t.Body))
	}
	return errors.Newf("%s of %s: %s", t.ID, t.Path, t.Err)
}

// final tells whether nothing is tried again after an answer.
func (t *Attempt) final() bool {
	switch t.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusPaymentRequired, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return t.Complete && t.Status/100 == 2
}

// notExecuted tells whether an answer says that the request has not run and never will.
func notExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// send makes the tries of one send, and gives the last.
func (r *programRun) send(t Attempt, prompt string) *Attempt {
	until := time.Now().Add(requestTimeout)
	var front *Machine
	for n := 1; ; n++ {
		one := t
		one.ID = fmt.Sprintf("%s-%d", r.Name, r.attempts.Add(1))
		var err error
		if front, err = r.tier.LoadBalancer.Pick(one.Session, front); err != nil {
			one.Err = err.Error()
			return &one
		}
		unread, after := r.attempt(&one, front, until, prompt)
		r.tier.EventLog.addAttempt(one)
		if r.OnAttempt != nil {
			r.OnAttempt(one)
		}
		left := time.Until(until)
		repeat := t.Kind == Idempotent || unread || notExecuted(one.Status)
		if one.final() || !repeat || n == maxAttempts || left <= 0 || r.ctx.Err() != nil {
			return &one
		}
		if !r.sleep(min(max(after, 10*time.Millisecond), left/3)) {
			return &one
		}
	}
}

func (r *programRun) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// attempt makes one, and writes into it what came. unread: it never reached the relay. after is what Retry-After asks for.
func (r *programRun) attempt(t *Attempt, front *Machine, until time.Time, prompt string) (unread bool, after time.Duration) {
	t.Front, t.Incarnation, t.Sent = front.Name, front.Incarnation(), time.Now()
	defer func() { t.Ended = time.Now() }()
	ctx, stop := context.WithDeadline(r.ctx, until)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, t.Method, "http://"+front.FrontAddr()+t.Path+t.ID, bytes.NewReader(t.Input))
	if err != nil {
		t.Err = err.Error()
		return false, 0
	}
	t.Path = req.URL.Path
	req.Host = Hostname
	set := func(name, value string) { req.Header.Set(name, value) }
	set("X-Attempt-Id", t.ID)
	set("X-Time-Left-Ms", strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	set("Program", t.Program)
	set("Session", t.Session)
	set("Finish-Ms", strconv.FormatInt(time.Until(r.deadline).Milliseconds(), 10))
	if t.Kind == Streaming {
		set("X-Model", ModelName)
		set("X-Token-Usage", fmt.Sprintf("%d,%d", promptTokens(prompt), t.MaxTokens))
		set("X-Prompt-Prefix", prompt)
		set("Budget", strconv.Itoa(t.Budget))
		if t.Previous != "" {
			set("Previous", t.Previous)
		}
	}
	resp, err := r.httpClient.Do(req)
	if err != nil {
		t.Err = err.Error()
		var op *net.OpError
		return errors.As(err, &op) && op.Op == "dial", 0
	}
	defer resp.Body.Close()
	t.Status, t.ResponseID, t.Seal = resp.StatusCode, resp.Header.Get("X-Attempt-Id"), resp.Header.Get("X-Host-Seal")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		after = time.Duration(s * float64(time.Second))
	}
	t.Body, err = io.ReadAll(resp.Body)
	if t.Complete = err == nil; err != nil {
		t.Err = err.Error()
	}
	if t.Kind == Streaming && t.Status == http.StatusOK {
		t.Events = parseEvents(t.Body)
	}
	return false, after
}

// parseEvents reads those of a stream, as far as they are whole.
func parseEvents(b []byte) (all []Event) {
	var e Event
	s := bufio.NewScanner(bytes.NewReader(b))
	for s.Scan() {
		name, value, _ := strings.Cut(s.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			e.ID, _ = strconv.Atoi(value)
		case "data":
			e.Data = value
		case "":
			all = append(all, e)
			e = Event{}
		}
	}
	return all
}

// promptTokens adds up the parts of a prompt.
func promptTokens(prompt string) (sum int) {
	for part := range strings.SplitSeq(prompt, ",") {
		_, n, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(n)
		sum += tokens
	}
	return sum
}
