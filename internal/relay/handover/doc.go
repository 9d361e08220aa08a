// Package handover transfers a running relay from one process to its successor without refusing a client, while
// requests arrive and calls to hosts are in flight. Both processes meet at a Unix socket in the state folder.
//
// # Contract
//
// At any time exactly one process decides and writes the journal: the owner. A successor requests the relay
// (Request). The owner stops deciding, closes the journal and transfers the clients' listening socket together with
// the State that the journal does not contain. After the successor has reported that it serves
// (Successor.ReceiveOutcomes), the owner only finishes its calls in flight, sends their outcomes over the Link, and
// forwards requests that arrive on the connections it still has.
//
// # Failures
//
// If the owner dies, calls whose outcome it has not sent count as after a crash: they may have run. If the successor
// dies or does not report in time, Owner.SuccessorLost is called and the owner resumes from the journal.
//
// # Wire form
//
// The successor sends "POST /takeover". The owner answers with one byte 'L' that carries the listener's descriptor,
// then takeoverResponse as one line of JSON; a refusal has no 'L'. The successor sends the line "ready"; the owner then
// writes one Outcome a line until either side closes the connection. The two processes may be of different builds:
// testdata has the frozen form.
//
// # Ownership and concurrency
//
// Listen starts one goroutine that accepts connections; each connection is served by its own goroutine, from which the
// methods of Owner are called. A Link is written by one goroutine, started once the State has been sent; its methods
// may be called from any goroutine and Notify never blocks. A Successor belongs to the goroutine that made it; it must
// end in either ReceiveOutcomes or Close.
package handover
