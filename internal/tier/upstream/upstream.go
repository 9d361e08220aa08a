// Package upstream is the HTTP/1.1 client of the data plane: it makes calls to hosts over connections that it keeps alive, and
// reports what the outcome of each call proves about the request. Which host is called, how long a call may take and whether
// it is retried is decided by the caller.
//
// Contract. Call.Do makes one call. With Answered the caller reads the Response and calls Finish exactly once, which keeps
// or closes the connection; with any other outcome the call is over. A request is sent once; only if nothing of it can have
// reached a host as a complete request is it sent again, on another connection.
//
// Ownership and concurrency. A Host is safe for concurrent use. A connection belongs to one call at a time, and to one
// incarnation: another host at the same address gets none of its connections. A Call and its Response belong to one
// goroutine, but Call.Cancel may be called by any. No goroutine outlives Do.
//
// net/http's Transport is not used: it pools connections by address, hands bytes behind a response to the next call, and does
// not report whether the last byte of a request was written.
package upstream

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kinds of errors that calls end in. Errors are marked with one of them.
var (
	// ErrConnect: the connection failed or timed out.
	ErrConnect = errors.New("connection to the host failed")
	// ErrConnectionLimit: no connection was free, by the bound of the host or the descriptors of this process.
	ErrConnectionLimit = errors.New("connection limit reached")
	// ErrHostDisabled: the host drains or is no longer listed.
	ErrHostDisabled = errors.New("host is disabled")
	// ErrNotSent: the connection failed before the last byte of the request was written, so that it has not run.
	ErrNotSent = errors.New("request not sent completely")
	// ErrDeadline: the deadline of the call has passed.
	ErrDeadline = errors.New("call deadline exceeded")
	// ErrCancelled: Call.Cancel was called.
	ErrCancelled = errors.New("call cancelled")
	// ErrBroken: the host closed or reset the connection, or sent bytes that are no response.
	ErrBroken = errors.New("host broke off the response")
)

// Outcome is what the end of a call proves about the request.
type Outcome int

const (
	// NotRun proves that the host has not run the request and never will.
	NotRun Outcome = iota
	// MayHaveRun proves nothing.
	MayHaveRun
	// Answered proves that the host ran the request: there is the head of its response.
	Answered
)

const (
	maxHeadBytes         = 32 << 10 // of a response, with the interim responses ahead of it
	maxSurplusResponses  = 4        // to other requests, ahead of a response
	maxSurplusBytes      = 1 << 20  // of the body of one
	maxRefusalBytes      = 16 << 10 // of the body of a response that rejects the request
	dialTimeout          = 400 * time.Millisecond
	unacknowledgedLimit  = 2 * time.Second        // after which a connection with unacknowledged bytes is closed
	defaultIdleLimit     = 400 * time.Millisecond // for which an idle connection is used, if its host advertises none
	maxIdleLimit         = 10 * time.Second       // the same if it does, at most
	preferNewAfter       = 150 * time.Millisecond // of idle time without an advertised limit: see Request.PreferNewConn
	drainTimeout         = 100 * time.Millisecond // for the rest of a response that is not passed on
	maxJoinedBody        = 16 << 10               // bytes up to which a body is written together with the head
	lastWriteBytes       = 1 << 10                // of a longer body, written once no early response has come
	maxPooledBufferBytes = 64 << 10
)
