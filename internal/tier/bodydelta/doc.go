// Package bodydelta computes and applies binary deltas between two versions of a body. A delta consists of ranges that
// are copied from the old body and of inserted bytes. It contains the digests of both bodies, so that applying it returns
// exactly the new body or an error. The package is pure.
//
// # Format
//
// A delta is a header and operations. The header is one byte, the format's version, and the SHA-256 digests of the old
// and the new body. Each operation begins with an unsigned varint: its lowest bit is the kind, the other bits are the
// length of the range in bytes.
//
//   - copyRange: a signed varint follows, the distance from the end of the range that was copied last (at first 0) to the
//     start of this one in the old body.
//   - insertBytes: the bytes follow.
//
// Version 2 is a delta against the empty body (Compress): after the header come the size of the new body, as an unsigned varint, and the
// body, compressed with DEFLATE. A receiver that names the empty body as a base can read it.
//
// Another program version must be able to read a delta, so a change of the format needs another version byte.
package bodydelta
