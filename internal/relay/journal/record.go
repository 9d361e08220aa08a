package journal

// Operations of records. The values are the names of format 1 and must not change.
const (
	OpTaken    = "taken"   // Entry: a message was accepted
	OpTry      = "try"     // an attempt is about to be sent
	OpOutcome  = "outcome" // the attempt in flight has an outcome
	OpNotice   = "notice"  // the message was not delivered; its notice is pending
	OpEnd      = "end"     // the message is complete; its id is retained
	OpForget   = "forget"  // the message is complete, and its id may be reused
	OpHealth   = "health"  // ID is a host: an outage began there (Ran), or is over
	OpDrain    = "drain"   // ID is the target of a drain: it is in force (Ran), or was cancelled
	OpOverride = "word"    // ID is a subject of the fleet: its last override (internal/relay/override), never dropped

	opRewritten = "carried" // Entry: complete state of a message, rewritten by compaction
	opCompleted = "ended"   // a retained id, rewritten by compaction
)

// Record is one change of the state. Op selects the operation, and with it which of the other fields are used.
type Record struct {
	Op     string  `json:"op"`
	ID     string  `json:"i,omitempty"`
	Entry  *Entry  `json:"e,omitempty"`
	At     int64   `json:"at,omitempty"` // Unix milliseconds
	Wait   int64   `json:"w,omitempty"`  // of an attempt, its time-out; of an outcome, its duration; ms
	Zone   int     `json:"z,omitempty"`  // of the host of an attempt
	Ran    bool    `json:"r,omitempty"`  // of an outcome: the attempt may have been executed; of a status: it is in force
	Status string  `json:"s,omitempty"`
	Again  int64   `json:"a,omitempty"` // of a notice, its again_ms; of an override, its number
	Base   float64 `json:"b,omitempty"`
	Host   string  `json:"h,omitempty"` // of an attempt, where attempts are recorded
	Why    string  `json:"y,omitempty"` // of an outcome, its name; of a notice, the reason
	Sum    uint32  `json:"m,omitempty"` // Entry.Checksum of a completed message
}

// ops are the operations by their code in format 2. A code is never reused.
var ops = [...]string{1: OpTaken, 2: OpTry, 3: OpOutcome, 4: OpNotice, 5: OpEnd, 6: OpHealth, 7: OpDrain,
	8: opRewritten, 9: opCompleted, 10: OpForget, 11: OpOverride}

// opCodes are the codes of the operations in format 2.
var opCodes = func() map[string]uint64 {
	all := map[string]uint64{}
	for i, op := range ops {
		all[op] = uint64(i)
	}
	return all
}()

// liveGrowth returns by how many bytes a record of n bytes makes the live bytes grow at most.
func (r *Record) liveGrowth(n int64) int64 {
	switch r.Op {
	case OpTaken:
		return n + entryGrowthReserve
	case OpHealth, OpDrain, OpOverride:
		return entryGrowthReserve
	case OpTry:
		if r.Host != "" {
			return int64(maxAttemptSize + len(r.Host))
		}
	case OpNotice:
		return int64(len(r.Why))
	case OpEnd:
		return int64(maxCompletedSize + len(r.ID))
	}
	return 0
}
