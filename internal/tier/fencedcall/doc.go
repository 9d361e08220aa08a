// Package duty makes the calls to the platform that one node at a time may make: the singleton duties.
//
// # Fence
//
// Each call bears the fencing token of the lease under which it is made (package lease). Client asks its Fence once more at the
// last moment, before each write to the connection, so that a process that stood still between its decision and the call
// sends nothing. What was in flight by then is refused by the platform, which has seen the token of the next holder.
//
// # Unknown outcomes
//
// A call without a clear answer may have been applied. The caller repeats it unchanged under the same token, or leaves it.
// A connection whose call has ended without an answer is reset, so that bytes that wait in its buffer are not sent later.
package fencedcall
