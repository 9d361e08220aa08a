package fairshare

import (
	"syscall"
	"time"
)

// processorTime returns the processor time that the process has used, 0 if the system does not report it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
