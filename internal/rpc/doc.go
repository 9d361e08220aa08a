// Package rpc carries remote procedure calls between the processes of the tier, over TCP.
//
// A Client has one address and at most one connection to it, which it opens with the first call and again after a
// failure. Clients keeps a Client for each address. A Server takes connections and passes calls to handlers by their
// Method. Which methods there are, and what their bodies mean, is up to the packages that call.
//
// # Frames
//
// Each message is one frame, numbers in big-endian order:
//
//	4 bytes   length of the rest
//	1 byte    kind: call, response, error, or notification
//	1 byte    method
//	8 bytes   number of the call; 0 in a notification
//	          body: the Avro form of a struct, or the text of an error
//
// Numbers begin at 1 with each connection. A response has its call's number and is looked up on the connection on
// which it came only, so neither a late response nor one of an earlier connection is taken for that of another call.
// A body has at most MaxFrame bytes; a connection on which a frame of an impossible length arrives is closed.
//
// # Bodies
//
// Encode writes the fields of a struct in Avro, in their order and without their names; there is no version number and
// no schema on the wire. So fields of a type that is sent or stored may be renamed, but they may not be moved, added,
// removed or given another type, unless both sides change at once. Decode reports bytes that are missing or left over.
// Fields may be booleans, strings, integers except uint, uint64 and uintptr, float64, slices, maps with string keys, and
// structs of these with exported fields only. Another type is a mistake of the program: Encode and Decode panic.
// Nil and empty slices and maps have the same form. Decoded values share no memory with the bytes they were read from.
//
// # Errors
//
// A call that fails ends in an error of one of three classes, by errors.Is:
//
//   - ErrUnsent: the server has not got the call. It may be made again, also at another server.
//   - ErrRemote: the server's handler returned an error, or there is none for the method; the text is the server's.
//   - ErrLost: there is no usable response. The server may have executed the call, may do so later, or may never. The
//     caller may only repeat it if the call is idempotent.
//
// Where a context ended, errors.Is finds its error as well. Notify returns ErrUnsent or ErrLost in the same meaning, but
// nil is no proof that the notification arrived.
//
// # Duties of the caller
//
//   - Give Call and Notify a context with a deadline: without one a Call waits until the response comes or the
//     connection fails. The server does not learn when a caller gives up, and its handler goes on.
//   - Make a call that was repeated after ErrLost safe to execute twice.
//   - Close each Client, Clients and Server; Serve runs until Close, or until its listener is closed.
//   - Handlers heed their context, which ends with the connection or the server: Server.Close waits for them.
//
// # Concurrency
//
// All types are safe for concurrent use. Calls of one Client share its connection and may be answered in any order. The
// server runs each call in a goroutine of its own and does not limit their number. Notifications of one connection are
// handled one after the other, in their order, before the frames that follow them; a slow handler of notifications
// delays the connection. One caller at a time dials or writes, others wait for it, or until their context ends.
//
// # Time-outs
//
// A dial that hangs is repeated each 100 ms, and at once on NoteReachable; all dials end after 600 ms. For 50 ms after a
// failed one calls fail at once. A write ends after 2 s, or 100 ms past an earlier deadline of its call, and then the connection
// is closed. A connection whose bytes stay unacknowledged for 1.5 s, or whose keep-alive probes, one a second, remain without
// answer, is closed by the kernel.
package rpc
