package journal

import (
	"fmt"
	"math"

	"larchrouter/internal/vfs"
)

// Inspect replays the journal of a directory without changing it. The state of the result is the one that Open would have;
// nothing can be appended to it.
func Inspect(dir string) (*Journal, error) {
	unlimited := Retention{MaxIDs: math.MaxInt32, MaxBytes: math.MaxInt64, MaxAgeMs: math.MaxInt64}
	j := &Journal{state: newState(unlimited), dir: vfs.Dir(dir)}
	log, err := replay(j.dir, &j.state)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.report = log.report
	if log.legacy != nil {
		j.report.LegacyUnread = j.state.replayLegacy(log.legacy)
		j.report.Segments = []SegmentReport{{Name: legacyName, Bytes: len(log.legacy), Records: int(j.seq)}}
	}
	for _, s := range j.report.Segments {
		j.total += int64(s.Bytes)
	}
	return j, nil
}
