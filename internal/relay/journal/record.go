package journal

import (
	"bytes"
	"hash/crc32"
	"io"
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"
)

// Entry is all that is needed to send a message again, or to end it. The JSON names are those of format 1.
type Entry struct {
	ID     string `json:"id"`
	Class  string `json:"class"`
	Dest   int    `json:"dest"`
	Key    string `json:"key,omitempty"`
	Order  string `json:"-"`             // key of the order, where its class keeps one; format 1 had none
	Effect int    `json:"eff,omitempty"` // of its class as it was taken on: 1 + a choice.Effect; 0 if not known
	Due    int64  `json:"due"`
	Body   []byte `json:"body,omitempty"`
	Tries  int    `json:"tries,omitempty"`
	Wait   int64  `json:"wait,omitempty"` // time-out of the last try, ms
	Ran    bool   `json:"ran,omitempty"`  // an attempt may have run
	RanAt  int64  `json:"ran_at,omitempty"`
	Zone   int    `json:"zone,omitempty"` // of the host that may have run it
	Out    bool   `json:"out,omitempty"`  // the last try has no outcome
	OutAt  int64  `json:"out_at,omitempty"`
	OutTo  int    `json:"out_to,omitempty"` // zone of its host
	Status string `json:"status,omitempty"` // of the notice that is owed, or how it ended where ends are kept
	Again  int64  `json:"again,omitempty"`

	// Where no platform is told of ends, a relay keeps them, and what became of each attempt.
	Partner string    `json:"partner,omitempty"`
	TakenAt int64     `json:"taken,omitempty"`
	EndAt   int64     `json:"end,omitempty"`
	Why     string    `json:"why,omitempty"` // it ended undelivered
	Sum     uint32    `json:"sum,omitempty"` // of what was handed in, once the body is gone
	Bytes   int       `json:"bytes,omitempty"`
	Log     []Attempt `json:"log,omitempty"`

	acceptedSeq uint64 // of the record by which it was taken on: the order in which messages were
	size        int64  // bytes that it takes at most when it is carried
	position    uint64 // where it stands in the log
}

// Attempt is one try of a message, where they are kept.
type Attempt struct {
	Host    string `json:"h"`
	At      int64  `json:"at"`          // Unix milliseconds
	Took    int64  `json:"t,omitempty"` // milliseconds
	Outcome string `json:"o,omitempty"` // empty while it is out, or if the process died under it
	Ran     bool   `json:"r,omitempty"` // it may have run
}

// Same tells whether a message is the one that was handed in before under its id.
func (e *Entry) Same(o *Entry) bool {
	return e.Class == o.Class && e.Dest == o.Dest && e.Key == o.Key && bytes.Equal(e.Body, o.Body)
}

// Checksum stands for what Same compares, also once the body is gone.
func (e *Entry) Checksum() uint32 {
	if e.Sum != 0 {
		return e.Sum
	}
	h := crc32.NewIEEE()
	io.WriteString(h, e.Class+" "+strconv.Itoa(e.Dest)+" "+e.Key+" ")
	h.Write(e.Body)
	return h.Sum32()
}

// What a record tells of a message.
const (
	OpTaken    = "taken"   // Entry: taken on
	OpTry      = "try"     // an attempt is about to go
	OpOutcome  = "outcome" // it ended
	OpNotice   = "notice"  // the message ended undelivered; its notice is owed
	OpEnd      = "end"     // nothing more is owed; its id is remembered for a while
	OpForget   = "forget"  // nothing more is owed, and its id may be used anew
	OpHealth   = "health"  // ID is a host: an outage was seen there (Ran), or has passed
	OpDrain    = "drain"   // ID is a target of a drain: it is in force (Ran), or was undone
	OpOverride = "word"    // ID is a subject of the fleet: what an operator said of it last (internal/relay/override), kept for ever

	opRewritten = "carried" // Entry: all that is known of a message, carried to the end of the log
	opCompleted = "ended"   // an id that is remembered, carried to the end of the log
)

// Record is one line of a message's life; its Op says which, and which fields count.
type Record struct {
	Op     string  `json:"op"`
	ID     string  `json:"i,omitempty"`
	Entry  *Entry  `json:"e,omitempty"`
	At     int64   `json:"at,omitempty"`
	Wait   int64   `json:"w,omitempty"`
	Zone   int     `json:"z,omitempty"`
	Ran    bool    `json:"r,omitempty"`
	Status string  `json:"s,omitempty"`
	Again  int64   `json:"a,omitempty"`
	Base   float64 `json:"b,omitempty"`
	Host   string  `json:"h,omitempty"` // of a try, where attempts are kept
	Why    string  `json:"y,omitempty"` // of an outcome, its name; of a notice, the reason
	Sum    uint32  `json:"m,omitempty"`
}

// ops are the codes of the operations in format 2. A code is never used anew.
var ops = [...]string{1: OpTaken, 2: OpTry, 3: OpOutcome, 4: OpNotice, 5: OpEnd, 6: OpHealth, 7: OpDrain, 8: opRewritten, 9: opCompleted, 10: OpForget, 11: OpOverride}

var opCodes = func() map[string]uint64 {
	all := map[string]uint64{}
	for i, op := range ops {
		all[op] = uint64(i)
	}
	return all
}()

// Records of format 2 are in the wire format of Protocol Buffers: fields have numbers, those left out are 0, and those
// that a reader does not know it passes over. A field's number is never used anew.

func putNumber(buf []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return buf
	}
	return protowire.AppendVarint(protowire.AppendTag(buf, n, protowire.VarintType), v)
}

func putText(buf []byte, n protowire.Number, v string) []byte {
	if v == "" {
		return buf
	}
	return protowire.AppendString(protowire.AppendTag(buf, n, protowire.BytesType), v)
}

func putBytes(buf []byte, n protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return buf
	}
	return protowire.AppendBytes(protowire.AppendTag(buf, n, protowire.BytesType), v)
}

func putSigned(buf []byte, n protowire.Number, v int64) []byte {
	return putNumber(buf, n, protowire.EncodeZigZag(v))
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// signed is the value of a field that putSigned wrote.
