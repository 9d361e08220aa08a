package tiertest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	minRetryDelay = 10 * time.Millisecond // between the attempts of a request
	maxBodyBytes  = 8 << 20               // of an answer, up to which a client keeps it; longer ones count as incomplete
)

// failure returns why a request whose last attempt this is has failed, nil if it was answered completely and successfully.
func (a *Attempt) failure() error {
	switch {
	case a.Complete && a.Status/100 == 2:
		return nil
	case a.Status/100 == 4:
		return finalStatusError{a.Status}
	case a.Status != 0 && a.Complete:
		return errors.Newf("%s of %s: status %d: %s", a.ID, a.Path, a.Status, bytes.TrimSpace(a.Body))
	}
	return errors.Newf("%s of %s: %s", a.ID, a.Path, a.Err)
}

// final reports whether the answer forbids a retry, or needs none.
func (a *Attempt) final() bool {
	switch a.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusPaymentRequired, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return a.Complete && a.Status/100 == 2
}

// notExecuted reports whether a status says that the request was not executed and never will be, so that every request may
// be retried after it.
func notExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// send makes the attempts of a request and returns the last one. request has the fields that all of them share. A retry
// follows the protocol: after an answer that says that the request was not executed, a connection that was not made, or
// for an idempotent request any failure.
func (r *programRun) send(request Attempt, prompt string) *Attempt {
	deadline := time.Now().Add(requestTimeout)
	var front *Machine
	for n := 1; ; n++ {
		a := request
		a.ID = fmt.Sprintf("%s-%d", r.Name, r.attempts.Add(1))
		var err error
		if front, err = r.tier.LoadBalancer.Pick(a.Session, front); err != nil {
			a.Err = err.Error()
			return &a
		}
		dialFailed, retryAfter := r.attempt(&a, front, deadline, prompt)
		r.tier.EventLog.addAttempt(a)
		if r.OnAttempt != nil {
			r.OnAttempt(a)
		}
		left := time.Until(deadline)
		retriable := request.Kind == Idempotent || request.Resumable || dialFailed || notExecuted(a.Status)
		if a.final() || !retriable || n == maxAttempts || left <= 0 || r.ctx.Err() != nil {
			return &a
		}
		if !r.sleep(min(max(retryAfter, minRetryDelay), left/3)) {
			return &a
		}
	}
}

// attempt makes one attempt and records in it what was received. dialFailed: the front did not receive the request.
// retryAfter is the value of Retry-After, 0 for none.
func (r *programRun) attempt(a *Attempt, front *Machine, deadline time.Time, prompt string) (
	dialFailed bool, retryAfter time.Duration,
) {
	a.Front, a.Incarnation, a.Sent, a.Deadline = front.Name, front.Incarnation(), time.Now(), deadline
	defer func() { a.Ended = time.Now() }()
	ctx, stop := context.WithDeadline(r.ctx, deadline)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+front.FrontAddr()+a.Path+a.ID, bytes.NewReader(a.Input))
	if err != nil {
		a.Err = err.Error()
		return false, 0
	}
	a.Path = req.URL.Path
	req.Host = Hostname
	r.setHeader(req.Header, a, deadline, prompt)
	resp, err := r.httpClient.Do(req)
	if err != nil {
		a.Err = err.Error()
		var op *net.OpError
		return errors.As(err, &op) && op.Op == "dial", 0
	}
	defer resp.Body.Close()
	a.Status, a.ResponseID, a.Seal = resp.StatusCode, resp.Header.Get("X-Attempt-Id"), resp.Header.Get("X-Host-Seal")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err == nil && len(a.Body) > maxBodyBytes {
		_, _ = io.Copy(io.Discard, resp.Body)
		err = errors.Newf("the body has over %d bytes", maxBodyBytes)
	}
	if a.Complete = err == nil; err != nil {
		a.Err = err.Error()
	}
	if a.Kind == Streaming && a.Status == http.StatusOK {
		a.Events = parseEvents(a.Body)
	}
	return false, retryAfter
}

func (r *programRun) setHeader(header http.Header, a *Attempt, deadline time.Time, prompt string) {
	header.Set("X-Attempt-Id", a.ID)
	header.Set("X-Time-Left-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	header.Set("Program", a.Program)
	header.Set("Session", a.Session)
	header.Set("Finish-Ms", strconv.FormatInt(time.Until(r.deadline).Milliseconds(), 10))
	if a.Key != "" {
		header.Set("Api-Key", a.Key)
	}
	if a.ClaimedName != "" {
		header.Set("X-Tenant", a.ClaimedName)
	}
	if a.Kind != Streaming {
		return
	}
	header.Set("X-Model", ModelName)
	header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", promptTokens(prompt), a.MaxTokens))
	header.Set("X-Prompt-Prefix", prompt)
	header.Set("Budget", strconv.Itoa(a.Budget))
	if a.Previous != "" {
		header.Set("Previous", a.Previous)
	}
}

// parseEvents parses the complete events of a stream.
func parseEvents(body []byte) (events []Event) {
	var event Event
	scanner := bufio.NewScanner(bytes.NewReader(body))
	hasData := false
	for scanner.Scan() {
		line := scanner.Text()
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "id":
			event.ID, _ = strconv.Atoi(value)
		case name == "data":
			event.Data, hasData = value, true
		case line == "":
			if hasData {
				events = append(events, event)
			}
			event, hasData = Event{}, false
		}
	}
	return events
}

// promptTokens returns the sum of the tokens of a prompt's parts.
func promptTokens(prompt string) (sum int) {
	for part := range strings.SplitSeq(prompt, ",") {
		_, count, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(count)
		sum += tokens
	}
	return sum
}
