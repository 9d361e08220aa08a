package rpc

import "github.com/cockroachdb/errors"

// unknownMethodText is the error that a server returns for a method without a handler; it is on the wire.
const unknownMethodText = "unknown call: the two sides differ in version"

// The classes of errors in which calls end; see the package comment.
var (
	ErrUnsent = errors.New("call not sent")                  // the server has not got the call
	ErrLost   = errors.New("no answer to the call")          // whether the call was executed is unknown
	ErrRemote = errors.New("call refused by the other side") // the server returned an error

	// ErrUnknownMethod marks errors of class ErrRemote of a server that has no handler for the method: an earlier version.
	ErrUnknownMethod = errors.New("call unknown to the other side")
)
