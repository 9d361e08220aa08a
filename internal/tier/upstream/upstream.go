// Package upstream is the HTTP/1.1 client of the data plane: it makes calls to hosts over connections that it keeps for
// each incarnation, and tells what the outcome of each proves. Which host, how long and whether again are told to it.
// net/http's Transport is not used: it pools connections by address, hands what lies behind an answer to the next call,
// and does not tell whether the last byte of a request was written.
package upstream

import (
	"time"

	"github.com/cockroachdb/errors"
)

// The kinds of errors that calls end in.
var (
	ErrConnect         = errors.New("no connection to the host")      // it never came up
	ErrConnectionLimit = errors.New("no connection is free")          // by the own bounds
	ErrHostDisabled    = errors.New("the host gets no calls")         // it drains or is gone
	ErrNotSent         = errors.New("the request was not sent whole") // so it has not run
	ErrDeadline        = errors.New("the time for the call is up")
	ErrCancelled       = errors.New("the call was given up") // by Cancel
	ErrBroken          = errors.New("the host broke off")    // closed, reset, or sent what is no answer
)

// Outcome is what the end of a call proves.
type Outcome int

// The outcomes.
const (
	NotRun     Outcome = iota // the host has not run the request and never will
	MayHaveRun                // nothing is proven
	Answered                  // it ran, and its answer stands
)

const (
	maxHeadBytes        = 32 << 10 // of an answer, with the interim ones ahead of it
	maxSurplusResponses = 4        // answers of other requests ahead of one
	maxSurplusBytes     = 1 << 20
	dialTimeout         = 400 * time.Millisecond
	unacknowledgedLimit = 2 * time.Second // unacknowledged bytes
	defaultIdleLimit    = 400 * time.Millisecond
	preferNewAfter      = 150 * time.Millisecond
	maxIdleLimit        = 10 * time.Second
	drainTimeout        = 100 * time.Millisecond // for the rest of an answer that is not passed on
	maxJoinedBody       = 16 << 10               // bodies up to this size are written with the head
	lastWriteBytes      = 1 << 10                // of a longer one, which goes out once nothing has come ahead of it
)
