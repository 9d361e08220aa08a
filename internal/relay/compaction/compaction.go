// Package compaction decides when a segmented log is compacted, and how much of it at a time. It does no I/O; its functions
// are pure and safe for concurrent use.
//
// Compaction rewrites the live records of the oldest segment at the end of the log, and then removes that segment.
// Segments are removed in the order in which they were written (Rosenblum and Ousterhout, "The design and implementation
// of a log-structured file system", 1992, without their choice of segments): a record that completes a message is then
// never removed before the records that it completes, and no tombstones are needed.
//
// Work is proportional to what is written, as in an incremental garbage collector (Baker 1978): while at most two thirds of
// the log may be live, rewriting four bytes for each one written keeps up, and no single step is long.
//
// The caller asks Admits or Fits before it writes, RewriteBytes after it has written, and rewrites that many bytes in
// pieces of at most a segment. Then all files together never exceed the budget.
package compaction

// Sizes in bytes, unless noted.
const (
	minSegmentSize = 16 << 10
	maxSegmentSize = 4 << 20
	minRewrite     = 16 << 10
	// MaxRewrite limits what is rewritten after a write of at most that size.
	MaxRewrite      = 128 << 10
	maxPacedRewrite = 2 << 20 // limit of what rewriteRatio demands after a larger write
	rewriteRatio    = 4       // bytes rewritten for each one written
	maxSegments     = 64      // number of segments above which the log is compacted whatever its size
)

// Limits are derived from the budget of a log. All are in bytes.
type Limits struct {
	Budget  int64 // for all files together
	Segment int64 // size at which a segment is complete; the last write may exceed it
	Spare   int64 // size of the file that reserves space on the disk
	reserve int64 // part of the budget for records of accepted messages and for rewriting
}

// ForBudget returns the limits for a budget in bytes.
func ForBudget(budget int64) Limits {
	l := Limits{Budget: budget, Segment: min(max(budget/16, minSegmentSize), maxSegmentSize)}
	l.Spare = min(max(budget/32, minSegmentSize), 1<<20)
	l.reserve = max(budget/8, 3*l.Segment) + l.Spare
	return l
}

// Log is the size of a log, in bytes.
type Log struct {
	Total    int64 // of all segments
	Live     int64 // upper bound of rewriting everything that is live
	Segments int   // their number
}

// maxTotal returns the size up to which the log accepts new messages.
func (l Limits) maxTotal() int64 { return l.Budget - l.reserve }

// MaxLive returns the number of live bytes up to which the log accepts new messages.
func (l Limits) MaxLive() int64 { return max(0, l.maxTotal()/3*2) }

// Admits reports whether new messages can be accepted whose records have n bytes and add growth live bytes at most.
func (l Limits) Admits(log Log, n, growth int64) bool {
	return log.Live+growth <= l.MaxLive() && log.Total+n <= l.maxTotal()
}

// Fits reports whether n bytes of records of accepted messages can be written before anything is rewritten.
func (l Limits) Fits(log Log, n int64) bool { return log.Total+n+l.Spare+l.Segment <= l.Budget }

// RewriteBytes returns how many bytes to rewrite after a number of bytes was written, or 0. They are rewritten in pieces of
// at most a segment, and segments without live records are removed in between.
func (l Limits) RewriteBytes(log Log, written int64) int64 {
	target := min(2*log.Live+4*l.Segment, l.maxTotal()-3*l.Segment)
	limit := max(MaxRewrite, written, min(rewriteRatio*written, maxPacedRewrite)) // at most the time of the write itself
	switch {
	case log.Segments < 2 || log.Total <= target && log.Segments <= maxSegments:
		return 0
	case log.Total > l.maxTotal()-l.Segment: // new messages are about to be refused
		return limit
	}
	return min(max(rewriteRatio*written, minRewrite), limit)
}
