package relay

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

// The journal is one append-only file of records: length, CRC32, JSON. What
// write(2) has taken outlasts the process, so nothing is synced. Times in it
// are Unix milliseconds.

const (
	headerSize = 8
	maxRecord  = 256 << 10
	blockSize  = 512     // each file counts in whole blocks
	slack      = 384     // room for an entry's history beyond what it was taken on with
	reserve    = 1 << 17 // of the budget, kept for records of messages already held
)

// errFull says that the journal has no room for one more message.
var errFull = errors.New("journal: disk budget used up")

// errUnwritten says that earlier records still wait to be written.
var errUnwritten = errors.New("journal: earlier records are not written yet")

// entry is all that is needed to send a message again, or to end it.
type entry struct {
	ID     string `json:"id"`
	Class  string `json:"class"`
	Dest   int    `json:"dest"`
	Key    string `json:"key,omitempty"`
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
	Status string `json:"status,omitempty"` // of the notice that is owed
	Again  int64  `json:"again,omitempty"`

	size int64 // bytes that it takes in a compacted journal at most
}

// What a record tells of a message.
const (
	opTaken   = "taken"   // Entry: taken on, or carried over by compaction
	opTry     = "try"     // an attempt is about to go
	opOutcome = "outcome" // it ended
	opNotice  = "notice"  // the message ended undelivered; its notice is owed
	opEnd     = "end"     // nothing more is owed
	opHealth  = "health"  // ID is a host: an outage was seen there (Ran), or has passed
)

type record struct {
	Op     string  `json:"op"`
	ID     string  `json:"i,omitempty"`
	Entry  *entry  `json:"e,omitempty"`
	At     int64   `json:"at,omitempty"`
	Wait   int64   `json:"w,omitempty"`
	Zone   int     `json:"z,omitempty"`
	Ran    bool    `json:"r,omitempty"`
	Status string  `json:"s,omitempty"`
	Again  int64   `json:"a,omitempty"`
	Base   float64 `json:"b,omitempty"`
}

func frame(buf []byte, r record) []byte {
	payload, err := json.Marshal(r)
	if err != nil {
		panic(err) // no field of a record can fail
	}
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.ChecksumIEEE(payload))
	return append(buf, payload...)
}

// unframe reads the record at the start of data and tells how long it is. A
// torn or corrupt one is an error: what follows it cannot be trusted.
func unframe(data []byte) (r record, n int, err error) {
	if len(data) < headerSize {
		return r, 0, errors.New("torn header")
	}
	size := binary.LittleEndian.Uint32(data)
	if size > maxRecord || int(size) > len(data)-headerSize {
		return r, 0, errors.New("torn record")
	}
	payload := data[headerSize : headerSize+int(size)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[4:]) {
		return r, 0, errors.New("checksum differs")
	}
	if err := json.Unmarshal(payload, &r); err != nil {
		return r, 0, err
	}
	return r, headerSize + int(size), nil
}

type journal struct {
	path    string
	budget  int64 // for all files together
	f       *os.File
	size    int64
	live    int64 // what a compacted journal takes at most
	entries map[string]*entry
	unwell  map[string]record // hosts in an outage, or cold after it
	order   []string          // ids as taken on; ended ones are dropped by compaction
	broken  error             // a failed write could not be undone
}

// openJournal replays what an earlier process left and starts a compacted file.
func openJournal(dir string, budget int64) (*journal, error) {
	j := &journal{path: filepath.Join(dir, "journal"), budget: budget - 4*blockSize, entries: map[string]*entry{},
		unwell: map[string]record{}}
	// A leftover copy is of a compaction that a kill cut short: the old file still holds all.
	if err := os.Remove(j.path + ".tmp"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	data, err := os.ReadFile(j.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	for at := 0; at < len(data); {
		r, n, err := unframe(data[at:])
		if err != nil {
			break // the tail was being written when the process died
		}
		j.apply(r, int64(n))
		at += n
	}
	j.size = int64(len(data))
	if err := j.compact(); err != nil {
		return nil, err
	}
	return j, nil
}

// apply brings the entries up to date with one record.
func (j *journal) apply(r record, n int64) {
	e := j.entries[r.ID]
	switch {
	case r.Op == opHealth && r.Ran:
		if _, ok := j.unwell[r.ID]; !ok {
			j.live += slack
		}
		j.unwell[r.ID] = r
	case r.Op == opHealth:
		if _, ok := j.unwell[r.ID]; ok {
			j.live -= slack
		}
		delete(j.unwell, r.ID)
	case r.Op == opTaken && r.Entry != nil && j.entries[r.Entry.ID] == nil:
		e = r.Entry
		e.size = n + slack
		j.live += e.size
		j.entries[e.ID] = e
		j.order = append(j.order, e.ID)
	case e == nil:
	case r.Op == opTry:
		e.Tries++
		e.Out, e.OutAt, e.OutTo, e.Wait = true, r.At, r.Zone, r.Wait
	case r.Op == opOutcome && e.Out:
		e.Out = false
		if r.Ran && !e.Ran {
			e.Ran, e.RanAt, e.Zone = true, e.OutAt, e.OutTo
		}
	case r.Op == opNotice:
		e.Status, e.Again, e.Body, e.Out = r.Status, r.Again, nil, false
	case r.Op == opEnd:
		j.live -= e.size
		delete(j.entries, r.ID)
	}
}

// append writes records and applies them. When it fails nothing was recorded.
func (j *journal) append(recs ...record) error {
	if j.broken != nil {
		return j.broken
	}
	var buf []byte
	var grows, spare int64
	ends := make([]int64, len(recs))
	for i, r := range recs {
		before := len(buf)
		buf = frame(buf, r)
		ends[i] = int64(len(buf) - before)
		switch r.Op {
		case opTaken:
			grows += ends[i] + slack
			spare = reserve
		case opHealth:
			grows += slack
		}
	}
	n := int64(len(buf))
	// The file and its compacted copy must fit together at any time.
	fits := func() bool { return j.size+n+j.live+grows+spare <= j.budget }
	if !fits() {
		if err := j.compact(); err != nil {
			return err
		}
		if !fits() {
			return errFull
		}
	}
	if _, err := j.f.WriteAt(buf, j.size); err != nil {
		// Half a record would hide all that follows it from a replay.
		if terr := j.f.Truncate(j.size); terr != nil {
			j.broken = fmt.Errorf("journal: %w, and could not be cut back: %w", err, terr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	j.size += n
	for i, r := range recs {
		j.apply(r, ends[i])
	}
	return nil
}

// compact writes what is still owed to a new file and puts it in the old one's place.
func (j *journal) compact() error {
	var buf []byte
	order := j.order[:0:0]
	for _, id := range j.order {
		if e := j.entries[id]; e != nil {
			buf = frame(buf, record{Op: opTaken, Entry: e})
			order = append(order, id)
		}
	}
	for _, h := range j.unwell {
		buf = frame(buf, h)
	}
	if j.size+int64(len(buf)) > j.budget {
		// Not a file that this journal wrote, which keeps room for its copy: make room first.
		if err := os.Remove(j.path); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	f, err := os.OpenFile(j.path+".tmp", os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	_, err = f.Write(buf)
	if err == nil {
		err = os.Rename(j.path+".tmp", j.path)
	}
	if err != nil {
		f.Close()
		os.Remove(j.path + ".tmp")
		return fmt.Errorf("journal: %w", err)
	}
	if j.f != nil {
		j.f.Close()
	}
	j.f, j.size, j.order, j.broken = f, int64(len(buf)), order, nil
	return nil
}
