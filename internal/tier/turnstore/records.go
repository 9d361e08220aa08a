package turnstore

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

// Turn is a completed turn as a front passes it to Client.Close.
type Turn struct {
	Key           string // its program
	ID            string
	Previous      string
	Base          []byte // complete history of Previous, where that belongs to another program; else nil
	Input         []byte
	Output        []byte // data of each event, each followed by a line feed
	UsedTokens    int    // tokens that were sent to the client
	RetainSeconds int    // for which it can be continued from
	CacheHost     string // host that ran it and has its context in its prefix cache
	ContextTokens int    // tokens of its prompt and of what it generated
}

// MaxIncrementBytes is the largest size of what a turn adds to the history: of its input and output and, where it continues a turn of
// another program, of that one's history. Fronts pass on no longer turn that is to be retained, and stores take none.
const MaxIncrementBytes = 8 << 20

// Record is a turn as stores persist and exchange it. Of its contents only the increment, which is what the turn adds to
// the history, is ever read. It is encoded by rpc.Encode: the order and the types of its fields are part of the protocol.
type Record struct {
	Key           string
	ID            string
	Previous      string
	Root          bool // the increment is the complete history: a first turn, or one that includes the base
	RetainSeconds int
	Increment     []byte
	CacheHost     string
	ContextTokens int
}

// size returns the bytes that the turn adds to the history.
func (t *Turn) size() int { return len(t.Base) + len(t.Input) + len(t.Output) }

func (t *Turn) record() Record {
	increment := make([]byte, 0, t.size())
	increment = append(append(append(increment, t.Base...), t.Input...), t.Output...)
	return Record{Key: t.Key, ID: t.ID, Previous: t.Previous, Root: t.Previous == "" || t.Base != nil,
		RetainSeconds: t.RetainSeconds, Increment: increment, CacheHost: t.CacheHost, ContextTokens: t.ContextTokens}
}

// The rows of a store, encoded by rpc.Encode: the order and the types of their fields are the stored format.
type (
	// indexRow is what the index needs of a turn. It has a table of its own, so that a start reads no bodies.
	indexRow struct {
		Previous      string
		Root          bool
		RetainSeconds int
	}
	// entryRow is a ledger entry.
	entryRow struct {
		Tokens  int
		Settled bool
	}
)

// rowKey returns the key of a turn's rows; it groups rows by program. parseRowKey is its inverse.
func rowKey(program, turn string) []byte {
	b := make([]byte, 0, 2+len(program)+len(turn))
	b = binary.AppendUvarint(b, uint64(len(program)))
	return append(append(b, program...), turn...)
}

func parseRowKey(b []byte) (program, turn string, err error) {
	n, w := binary.Uvarint(b)
	if w <= 0 || n > uint64(len(b)-w) {
		return "", "", errors.Newf("row key %x is of no known shape", b)
	}
	return string(b[w : w+int(n)]), string(b[w+int(n):]), nil
}

// encodeEntry returns the write of a ledger entry.
func encodeEntry(program string, e budget.Entry) sqlitelog.Write {
	return sqlitelog.Write{Table: tableEntries, Key: rowKey(program, e.Turn),
		Value: rpc.Encode(&entryRow{Tokens: e.Tokens, Settled: e.Settled})}
}

// encodeTurn returns the writes of a turn: its index row and its body.
func encodeTurn(t *Record) []sqlitelog.Write {
	key := rowKey(t.Key, t.ID)
	row := indexRow{Previous: t.Previous, Root: t.Root, RetainSeconds: t.RetainSeconds}
	return []sqlitelog.Write{
		{Table: tableTurns, Key: key, Value: rpc.Encode(&row)},
		{Table: tableBodies, Key: key, Value: nonNil(t.Increment)},
	}
}

// nonNil returns b, or an empty slice for nil: a write with a nil value would delete its key.
func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}
