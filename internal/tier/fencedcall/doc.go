// Package fencedcall makes the calls to the platform that only the lease holder may make: those of the singleton tasks.
//
// # Fence
//
// Each call carries the fencing token of the lease under which it is made (package lease). Client checks its Fence again
// immediately before each write to the connection, so that a process that was paused between its decision and the call sends
// nothing. Bytes that were already in flight are refused by the platform once it has seen the token of the next holder.
//
// # Unknown outcomes
//
// A call without a definite response may have been applied. The caller repeats it unchanged under the same token, or abandons it.
// The connection of a call that ended without a response is reset, so that bytes left in its send buffer are not sent later.
package fencedcall
