// Package adminapi is the local admin API of a relay: HTTP with JSON on a Unix socket, for the command line, the console and
// tests. Paths begin with the version of the API. The relay implements Backend; Server limits the load that clients can
// cause; Client is the only client of the project. Server and Client are safe for concurrent use.
//
// Times are Unix milliseconds and durations are milliseconds, in fields whose names end in Ms or MS. Field order and JSON
// names are frozen.
package adminapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Version is the version of the API and the first part of every path. It changes when something is removed or changes its
// meaning, not when something is added.
const Version = 1

// Backend is the relay as the server uses it. Methods return within a short time under any number of calls, and at the latest
// when the context ends. They are called concurrently.
type Backend interface {
	Status(context.Context) (Status, error)
	Partners(context.Context) ([]Partner, error)
	Messages(context.Context, Query) (Page, error)
	Message(ctx context.Context, id string) (Message, error)
	Drain(context.Context, DrainRequest) (DrainAnswer, error)
	Undrain(context.Context, DrainRequest) (DrainAnswer, error)
	Stop(context.Context, StopRequest) (StopAnswer, error)
	Fleet(context.Context) (Fleet, error)
	Gone(context.Context, GoneRequest) (Fleet, error)
}

// Error is an error answer. Code is for programs, Text for operators.
type Error struct {
	Status int    `json:"-"`
	Code   string `json:"code"`
	Text   string `json:"text"`
}

// Error returns the text, without status and code.
func (e *Error) Error() string { return e.Text }

// Codes of an Error.
const (
	NotFound = "not_found" // unknown message, partner or endpoint
	Invalid  = "invalid"   // the request is malformed or out of range
	Conflict = "conflict"  // not possible in the present state, such as a drain of the last endpoint of a partner
	Busy     = "busy"      // too many requests; try again
	Failed   = "failed"    // the relay could not do it, such as on a full disk
	Stopped  = "stopped"   // the relay is stopping
)

// Errorf returns an Error with a formatted text.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// IsCode reports whether an error is or wraps an Error with a code.
func IsCode(err error, code string) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// statusByCode has the HTTP status of each code.
var statusByCode = map[string]int{NotFound: http.StatusNotFound, Invalid: http.StatusBadRequest, Conflict: http.StatusConflict,
	Busy: http.StatusTooManyRequests, Failed: http.StatusInternalServerError, Stopped: http.StatusServiceUnavailable}

// toError returns the Error to answer for any error of the backend.
func toError(err error) *Error {
	var e *Error
	if !errors.As(err, &e) {
		e = Errorf(Failed, "%v", err)
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
			e = Errorf(Busy, "the relay did not answer in time; try again")
		}
	}
	if e.Status = statusByCode[e.Code]; e.Status == 0 {
		e.Status = http.StatusInternalServerError
	}
	return e
}
