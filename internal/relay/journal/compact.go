package journal

import (
	"slices"

	"larchrouter/internal/relay/compaction"
)

// usage returns what the log has on the disk, for package compaction.
func (j *Journal) usage() compaction.Log {
	return compaction.Log{Total: j.total, Live: j.live, Segments: len(j.segments)}
}

// compact removes the oldest segment, or else rewrites a piece of it at the end of the log, and deducts the cost from the
// remaining bytes.
func (j *Journal) compact(remaining *int64) error {
	if size := j.segments[0].size; j.removeOldestSegment() {
		*remaining -= 4<<10 + size/32 // roughly what could be rewritten in that time
		return nil
	}
	piece := min(*remaining, j.limits.Segment)
	*remaining -= piece
	return j.rewriteOldest(piece)
}

// rewriteOldest appends the live items of the oldest segments to the log, up to maxBytes or one record more. The segments
// themselves are rerewritten later, by removeOldestSegment.
func (j *Journal) rewriteOldest(maxBytes int64) error {
	buf, sizes, rewritten := j.rewriteBuf[:0], j.rewriteSizes[:0], j.rewritten[:0]
	defer func() {
		clear(rewritten) // release the bodies
		j.rewriteBuf, j.rewriteSizes, j.rewritten = reusable(buf), sizes, rewritten
	}()
	seq, active, scanned := j.seq, j.active().number, 0
	for ; scanned < min(j.items.Len(), maxSkippedItems) && int64(len(buf)) < maxBytes; scanned++ {
		next := j.items.At(scanned)
		if next.segment >= active {
			break
		}
		if !j.isLive(next) {
			continue
		}
		record, before := j.rewriteRecord(next), len(buf)
		seq++
		buf = appendFrame(buf, seq, j.unsynced(seq), &record)
		sizes, rewritten = append(sizes, int64(len(buf)-before)), append(rewritten, record)
	}
	if len(rewritten) > 0 {
		if err := j.writeOnce(buf); err != nil { // the spare file is not for this
			return err
		}
	}
	number := j.active().number
	for i := range rewritten {
		j.apply(j.seq+1, &rewritten[i], number, sizes[i])
	}
	for range scanned {
		j.items.Pop()
	}
	return nil
}

// removeOldestSegment removes the oldest segment if nothing in it is live, and reports whether it did. It removes one at a
// time, as unlinking a file may take long.
func (j *Journal) removeOldestSegment() bool {
	first := j.segments[0]
	if len(j.segments) == 1 {
		return false
	}
	if oldest, ok := j.oldestLive(maxSkippedItems); !ok && j.items.Len() > 0 || ok && oldest.segment <= first.number {
		return false
	}
	if j.power && j.sync() != nil { // what was rewritten has to be as durable as the original
		return false
	}
	if err := j.dir.Remove(segmentName(first.number)); err != nil {
		return false // the next Append retries
	}
	j.segments = slices.Delete(j.segments, 0, 1)
	if j.total -= first.size; j.power {
		j.dir.SyncDir() // a segment that reappears without its successors would look like damage
	}
	return true
}
