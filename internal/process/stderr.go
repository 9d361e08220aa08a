package process

import (
	"fmt"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// atomicPipeWrite is the number of bytes that a pipe which is ready for writing takes without blocking: PIPE_BUF of Linux.
const atomicPipeWrite = 4096

// LogWriter writes to a file that somebody else may not read, such as the pipe to a supervisor that hangs. What the file does not take at
// once is dropped, instead of holding up every goroutine that logs, and a later line says how much was dropped. It is safe for concurrent
// use.
type LogWriter struct {
	file *os.File

	mu      sync.Mutex
	dropped int // writes since the last line that said so
}

// NewLogWriter returns a writer to a file, such as os.Stderr.
func NewLogWriter(file *os.File) *LogWriter { return &LogWriter{file: file} }

// Write implements io.Writer. It reports success for what it drops.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped > 0 {
		notice := fmt.Appendf(nil, "trouble=1 msg=\"log lines dropped: nobody reads them\" lines=%d\n", w.dropped)
		if !w.writeReady(notice) {
			w.dropped++
			return len(line), nil
		}
		w.dropped = 0
	}
	if !w.writeReady(line) {
		w.dropped++
	}
	return len(line), nil
}

// writeReady writes as long as the file takes bytes at once, and reports whether it took all of them.
func (w *LogWriter) writeReady(line []byte) bool {
	for len(line) > 0 {
		if !w.ready() {
			return false
		}
		n, err := w.file.Write(line[:min(len(line), atomicPipeWrite)])
		if err != nil {
			return false
		}
		line = line[n:]
	}
	return true
}

// ready reports whether the file takes bytes without blocking. A file that cannot be asked is written to.
func (w *LogWriter) ready() bool {
	fds := []unix.PollFd{{Fd: int32(w.file.Fd()), Events: unix.POLLOUT}}
	for {
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) { // a signal of the runtime
			return err != nil || n > 0
		}
	}
}
