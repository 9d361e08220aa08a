package journal

import (
	"bytes"
	"hash/crc32"
	"io"
	"strconv"
)

// Entry is the state of an accepted message: all that is needed to send it again or to complete it. The JSON
// names are those of format 1. Times are Unix milliseconds.
type Entry struct {
	ID     string `json:"id"`
	Class  string `json:"class"`
	Dest   int    `json:"dest"` // index of its destination
	Key    string `json:"key,omitempty"`
	Order  string `json:"-"`             // ordering key, for classes with ordering; not in format 1
	Effect int    `json:"eff,omitempty"` // of its class when it was accepted: 1 + a choice.Effect; 0 if unknown
	Due    int64  `json:"due"`
	Body   []byte `json:"body,omitempty"`
	Tries  int    `json:"tries,omitempty"`  // number of attempts
	Wait   int64  `json:"wait,omitempty"`   // time-out of the last attempt, ms
	Ran    bool   `json:"ran,omitempty"`    // an attempt may have been executed
	RanAt  int64  `json:"ran_at,omitempty"` // when that attempt was sent
	Zone   int    `json:"zone,omitempty"`   // of the host that may have executed it
	Out    bool   `json:"out,omitempty"`    // the last attempt is in flight
	OutAt  int64  `json:"out_at,omitempty"` // when it was sent
	OutTo  int    `json:"out_to,omitempty"` // zone of the host of the attempt in flight
	Status string `json:"status,omitempty"` // of the pending notice, or the outcome where outcomes are kept
	Again  int64  `json:"again,omitempty"`  // again_ms of the pending notice

	// Set only where the relay keeps outcomes and attempts itself, as no platform is notified of them.
	Partner string    `json:"partner,omitempty"`
	TakenAt int64     `json:"taken,omitempty"`
	EndAt   int64     `json:"end,omitempty"`
	Why     string    `json:"why,omitempty"`   // why it was not delivered
	Sum     uint32    `json:"sum,omitempty"`   // Checksum, once the body was dropped
	Bytes   int       `json:"bytes,omitempty"` // size of the submitted body
	Log     []Attempt `json:"log,omitempty"`

	acceptedSeq uint64 // sequence of the accepting record; orders entries
	size        int64  // upper bound of its rewritten record, in bytes
	position    uint64 // of its live item
}

// Attempt is one attempt to deliver a message, where attempts are recorded.
type Attempt struct {
	Host    string `json:"h"`
	At      int64  `json:"at"`          // Unix milliseconds
	Took    int64  `json:"t,omitempty"` // milliseconds
	Outcome string `json:"o,omitempty"` // empty while it is in flight, or if the process died meanwhile
	Ran     bool   `json:"r,omitempty"` // it may have been executed
}

// Same reports whether another message submitted under the same id has the same contents.
func (e *Entry) Same(other *Entry) bool {
	return e.Class == other.Class && e.Dest == other.Dest && e.Key == other.Key && bytes.Equal(e.Body, other.Body)
}

// Checksum returns the CRC-32 of what Same compares. It remains known after the body was dropped.
func (e *Entry) Checksum() uint32 {
	if e.Sum != 0 {
		return e.Sum
	}
	h := crc32.NewIEEE()
	io.WriteString(h, e.Class+" "+strconv.Itoa(e.Dest)+" "+e.Key+" ")
	h.Write(e.Body)
	return h.Sum32()
}

// closeAttempt records the outcome of the last attempt, where attempts are recorded.
func (e *Entry) closeAttempt(r *Record) {
	if n := len(e.Log); n > 0 && e.Log[n-1].Outcome == "" {
		e.Log[n-1].Outcome, e.Log[n-1].Took, e.Log[n-1].Ran = r.Why, r.Wait, r.Ran
	}
}
