// Package lease decides when the head of the chain may carry out singleton duties, such as reports to the platform. It is
// pure: time and events in, a Grant out.
//
// # The lease
//
// The lease belongs to the head of the newest view. A majority of the voters grants and renews it with each confirmation
// round (controlnode, readIndex): a voter echoes a round only while it is in the same epoch and has not promised to the
// next. A round that a majority has echoed therefore was sent before the next epoch was decided, and the grant lasts for
// Params.Term from the time at which that round was sent, by the holder's monotonic clock.
//
// The head of a later epoch waits for Params.TakeoverWait from the time at which it adopted its view, by its own monotonic
// clock. At that time the epochs before were closed, so that nothing could be renewed any more; since TakeoverWait is longer
// than Term by more than two clocks may drift apart, every earlier grant is over by then, whatever became of its holder.
// Nothing is kept in a voter's memory for it: the promise that closes an epoch is on its disk.
//
// # Release
//
// A holder that learns of a view with another head stops at once and sends a Release to that head, which then need not
// wait. The release passes on what its sender itself still had to wait for. It may come before the view does. It is sent once no
// call of its sender is in flight: the platform could accept such a call after the next head has acted on another subject. If the
// view changes before that, it is not sent, and the head waits for TakeoverWait.
//
// # What a node waits for on its own account
//
// A node that has just started does not know what it did before, and one that has lost the lease and gets it back must not
// act again shortly after the holder between the two: both wait for TakeoverWait, whatever was released. A call
// that was begun before the lease was lost may be accepted until it ends, as long as the platform has seen no higher token for its
// subject. So a node that gets the lease back does not act while such a call is in flight (CallStarted, CallEnded), and waits for
// TakeoverWait from its end.
//
// # Fencing token
//
// The epoch is the token: each epoch has one head, epochs only rise, and a majority has them on disk. The platform refuses
// a lower token than it has seen, which stops what a frozen holder had already begun to send. TokenBase keeps tokens rising
// over a core that was founded anew.
package lease
