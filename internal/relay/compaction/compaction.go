// Package compaction decides when a journal of segments is compacted, and how much of that is done at a time. It does
// no I/O.
//
// The journal is a log: records go to its end, and compaction carries what is still live in the oldest segment to the
// end, whole, and then lets that segment go. Segments go in the order in which they were written (Rosenblum and
// Ousterhout, "The design and implementation of a log-structured file system", 1992, without their choice of victims):
// what says that a message is over is then never let go before what it is over for.
//
// Work is paced by what is written, as an incremental collector's is (Baker 1978): with live bytes at most two thirds
// of what the log may take, four bytes carried for each one written are more than enough, and no single piece is long.
package compaction

// Bounds of what a segment takes, and of what is carried at a time.
const (
	minSegmentSize  = 16 << 10
	maxSegmentSize  = 4 << 20
	minRewrite      = 16 << 10
	MaxRewrite      = 128 << 10 // or as much as was written
	maxPacedRewrite = 2 << 20   // by pace, for what was written at once
	rewriteRatio    = 4         // bytes carried for each one written, at most
	maxSegments     = 64        // more small ones than that are compacted whatever they take
)

// Limits follow from a budget in bytes for all files of a journal.
type Limits struct {
	Budget  int64
	Segment int64 // one is closed at this size, and may be over it by one write
	Spare   int64 // on the disk itself, held in a file for when the disk is full
	reserve int64 // of the budget: for records of what is held already, and for what is carried
}

// ForBudget are the limits for a budget.
func ForBudget(budget int64) Limits {
	l := Limits{Budget: budget, Segment: min(max(budget/16, minSegmentSize), maxSegmentSize)}
	l.Spare = min(max(budget/32, minSegmentSize), 1<<20)
	l.reserve = max(budget/8, 3*l.Segment) + l.Spare
	return l
}

// Log is what a journal has on the disk, in bytes.
type Log struct {
	Total    int64 // of all segments
	Live     int64 // what carrying all that is live takes at most
	Segments int
}

// maxTotal is what the log may take with new messages.
func (l Limits) maxTotal() int64 { return l.Budget - l.reserve }

// MaxLive is how many bytes may be live with new messages.
func (l Limits) MaxLive() int64 { return max(0, l.maxTotal()/3*2) }

// Admits tells whether there is room for new messages: n bytes to be written, by which the live ones grow by grows.
func (l Limits) Admits(g Log, n, grows int64) bool {
	return g.Live+grows <= l.MaxLive() && g.Total+n <= l.maxTotal()
}

// Fits tells whether n bytes of records of what is held already can be written before anything is carried.
func (l Limits) Fits(g Log, n int64) bool { return g.Total+n+l.Spare+l.Segment <= l.Budget }

// RewriteBytes is how many bytes are to be carried now, after so many were written; 0 for none. They are to be carried in
// pieces of a segment at most, and segments that have nothing live let go between them.
func (l Limits) RewriteBytes(g Log, written int64) int64 {
	goal := min(2*g.Live+4*l.Segment, l.maxTotal()-3*l.Segment)
	most := max(MaxRewrite, written, min(rewriteRatio*written, maxPacedRewrite)) // what was written took its time as well
	switch {
	case g.Segments < 2 || g.Total <= goal && g.Segments <= maxSegments:
		return 0
	case g.Total > l.maxTotal()-l.Segment: // new messages are about to be refused
		return most
	}
	return min(max(rewriteRatio*written, minRewrite), most)
}
