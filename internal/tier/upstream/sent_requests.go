package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRequestsPerConn is the number of requests after which a connection is closed, as it remembers each of them.
const maxRequestsPerConn = 1024

// sentRequests are the requests that were sent on a connection, as hashes of their ids. A host may send a response a second
// time, late, in the place of the next one. Only the id shows to which request it is, so a connection carries each id once.
// Two ids with one hash do no harm: the second is sent on another connection.
type sentRequests struct{ hashes []uint64 }

func hashOfID(id string) uint64 { return xxhash.Sum64String(id) }

func (s *sentRequests) add(id string) { s.hashes = append(s.hashes, hashOfID(id)) }

func (s *sentRequests) has(hash uint64) bool { return slices.Contains(s.hashes, hash) }

func (s *sentRequests) full() bool { return len(s.hashes) >= maxRequestsPerConn }
