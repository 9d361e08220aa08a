package tiertest

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/process"
)

// Programs are the paths of those that a tier runs.
type Programs struct{ Proxy, Control string }

// ProgramsIn names the programs in a folder.
func ProgramsIn(dir string) Programs {
	return Programs{Proxy: filepath.Join(dir, "larch-proxy"), Control: filepath.Join(dir, "larch-control")}
}

// BuildPrograms makes the programs from the sources, into a folder.
func BuildPrograms(ctx context.Context, dir string) (Programs, error) {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), "larchrouter/cmd/larch-proxy", "larchrouter/cmd/larch-control")
	out, err := cmd.CombinedOutput()
	return ProgramsIn(dir), errors.Wrapf(err, "build the tier's programs: call it within the sources, with Go and a C compiler: %s", bytes.TrimSpace(out))
}

// Log is what a process has said, line by line, over all its lives.
type Log struct {
	mu      sync.Mutex
	lines   []string
	partial []byte
	changed chan struct{}
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, p...)
	for {
		i := bytes.IndexByte(l.partial, '\n')
		if i < 0 {
			break
		}
		l.lines = append(l.lines, string(l.partial[:i]))
		l.partial = l.partial[i+1:]
	}
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	return len(p), nil
}

// String is all that was said.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(append(l.lines[:len(l.lines):len(l.lines)], string(l.partial)), "\n")
}

// Len counts the lines, to wait for later ones.
func (l *Log) Len() int { l.mu.Lock(); defer l.mu.Unlock(); return len(l.lines) }

// Await gives the first line from a place on that has all the parts.
func (l *Log) Await(ctx context.Context, from int, parts ...string) (string, error) {
	for {
		l.mu.Lock()
		for ; from < len(l.lines); from++ {
			if containsAll(l.lines[from], parts) {
				line := l.lines[from]
				l.mu.Unlock()
				return line, nil
			}
		}
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return "", errors.Wrapf(ctx.Err(), "no line with %q", parts)
		}
	}
}

func containsAll(line string, parts []string) bool {
	for _, p := range parts {
		if !strings.Contains(line, p) {
			return false
		}
	}
	return true
}

// childProcess is one life of a program.
type childProcess struct {
	cmd     *exec.Cmd
	done    chan struct{} // closed once it has ended
	waitErr error         // of its end
}

// startProcess starts a program with a settings file; it gets nothing else of the caller's variables than the platform gives.
func startProcess(path string, args []string, settings string, log *Log) (*childProcess, error) {
	p := &childProcess{cmd: exec.Command(path, args...), done: make(chan struct{})}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		p.cmd.Env = append(p.cmd.Env, name+"="+os.Getenv(name))
	}
	p.cmd.Env = append(p.cmd.Env, process.SettingsVariable+"="+settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // none outlives the tier; Ctrl-C is for the caller
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.waitErr = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// exitCode is the exit exitCode; -1 after a signal. The process has ended.
func (p *childProcess) exitCode() int { return p.cmd.ProcessState.ExitCode() }
