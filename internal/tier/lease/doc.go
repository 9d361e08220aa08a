// Package lease decides when the head of the chain may carry out singleton tasks, such as reports to the platform: calls that
// only one core node at a time may make. It does no I/O and reads no clock: it takes times and events and returns a Grant.
//
// # The lease
//
// The lease belongs to the head of the newest view. A majority of the voters grants and renews it with each confirmation
// round (controlnode, readIndex): a voter echoes a round only while it is in the same epoch and has not promised to the
// next. Therefore a round that a majority has echoed was sent before the next epoch was decided, and the grant lasts for
// Params.Term from the time at which that round was sent, by the holder's monotonic clock.
//
// The head of a later epoch waits for Params.TakeoverWait from the time at which it adopted its view, by its own monotonic
// clock. At that time all earlier epochs were closed, so that no earlier grant could still be renewed. TakeoverWait exceeds
// Term by more than two clocks may drift apart, so every earlier grant has expired by the end of the wait, even if its holder
// has crashed, is frozen or is partitioned. Voters need not remember grants: the promise that closes an epoch is on their
// disks.
//
// # Release
//
// A holder that learns of a view with another head stops at once and sends a Release to that head, which then need not
// wait. The release includes the remaining time that its sender itself still had to wait. It may arrive before the view does.
// It is sent once no call of its sender is in flight: otherwise the platform could accept such a call after the next head has
// made calls for another subject. If the view changes before that, no release is sent, and the head waits for TakeoverWait.
//
// # Waits that a release does not shorten
//
// A node that has just started does not know which calls it made before, and a node that has lost the lease and regains it
// must not make calls shortly after the holder in between: both wait for TakeoverWait, regardless of releases. The platform
// may accept a call that was begun before the lease was lost until that call ends, as long as it has seen no higher token for
// the subject. So a node that regains the lease makes no calls while such a call is in flight (CallStarted, CallEnded), and
// waits for TakeoverWait from its end.
//
// # Fencing token
//
// The epoch is the fencing token: each epoch has one head, epochs only increase, and a majority has them on disk. The
// platform refuses a token lower than the highest that it has seen, which stops calls that a frozen holder had already begun
// to send. The base that orders.RecordFencingTokenBase records keeps tokens increasing when a core
// cluster is set up anew.
package lease
