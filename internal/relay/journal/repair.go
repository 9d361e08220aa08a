package journal

import (
	"errors"
	"io/fs"

	"larchrouter/internal/vfs"
)

// repair removes obsolete segments, truncates a torn tail, and saves damaged bytes.
func (l *loadedLog) repair(dir vfs.System) error {
	for _, name := range append(l.obsolete, legacyTempName) {
		if err := dir.Remove(name); err != nil {
			return err
		}
	}
	if l.tornSegment != "" {
		if err := dir.Truncate(l.tornSegment, l.tornAt); err != nil {
			return err
		}
	}
	for name, data := range l.damagedBytes {
		f, err := dir.Create(name)
		if errors.Is(err, fs.ErrExist) {
			continue // saved by an earlier start
		}
		if err == nil {
			_, err = f.WriteAt(data, 0)
			f.Close()
		}
		if err != nil { // a full disk must not prevent the start; the bytes remain in the segment for now
			dir.Remove(name)
		}
	}
	return nil
}
