package rpc

import "github.com/cockroachdb/errors"

// The classes of errors in which calls end; see the package comment.
var (
	ErrUnsent = errors.New("call not sent")                  // the server has not got the call
	ErrLost   = errors.New("no answer to the call")          // whether the call was executed is unknown
	ErrRemote = errors.New("call refused by the other side") // the server returned an error
)
