package lifecycle

import (
	"syscall"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/process"
	"larchrouter/internal/sqlitelog"
)

// Cause is why a process ended, or could not start. Its number is the exit code; those from 64 on are the ones of sysexits.h.
type Cause int

// The causes. The Go runtime itself ends a process with 2 after a panic or a fatal error.
const (
	Stopped       Cause = 0  // SIGTERM or SIGINT
	Other         Cause = 1  // an error that has no cause of its own
	Address       Cause = 69 // a port is taken, or the machine does not have the address
	DataNewer     Cause = 70 // the data folder was written by a newer build
	Descriptors   Cause = 71 // there are no file descriptors left
	DiskFull      Cause = 73 // no space for the writes of a start
	DiskFailed    Cause = 74 // the disk failed, or the data file is damaged
	DataInUse     Cause = 75 // another process has the data folder open
	WrongSettings Cause = 78 // the settings cannot be used
)

// causeNames are the names of causes in the log.
var causeNames = map[Cause]string{
	Stopped:       "stopped",
	Other:         "error",
	Address:       "address",
	DataNewer:     "newer_data",
	Descriptors:   "descriptors",
	DiskFull:      "disk_full",
	DiskFailed:    "disk_failed",
	DataInUse:     "data_in_use",
	WrongSettings: "settings",
}

// String returns the name of the cause in the log.
func (c Cause) String() string { return causeNames[c] }

// ExitCode returns the exit code of a process that ended for a cause.
func (c Cause) ExitCode() int { return int(c) }

// errorCauses are the causes of errors; the first match counts.
var errorCauses = []struct {
	err   error
	cause Cause
}{
	{process.ErrSettings, WrongSettings},
	{sqlitelog.ErrNewer, DataNewer},
	{sqlitelog.ErrInUse, DataInUse},
	{sqlitelog.ErrFull, DiskFull},
	{syscall.EADDRINUSE, Address},
	{syscall.EADDRNOTAVAIL, Address},
	{syscall.EMFILE, Descriptors},
	{syscall.ENFILE, Descriptors},
	{syscall.ENOSPC, DiskFull},
	{syscall.EDQUOT, DiskFull},
	{sqlitelog.ErrBroken, DiskFailed},
	{sqlitelog.ErrDamaged, DiskFailed},
	{syscall.EIO, DiskFailed},
	{syscall.EROFS, DiskFailed},
}

// CauseOf returns the cause of an error; nil is a process that was stopped.
func CauseOf(err error) Cause {
	if err == nil {
		return Stopped
	}
	for _, c := range errorCauses {
		if errors.Is(err, c.err) {
			return c.cause
		}
	}
	return Other
}

// passes reports whether a start that met a cause may succeed later, without a change of the program, its arguments or its data.
func (c Cause) passes() bool {
	switch c {
	case Address, Descriptors, DiskFull, DataInUse:
		return true
	default:
		return false
	}
}
