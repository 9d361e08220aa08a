package tiertest

import (
	"io"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"

	"larchrouter/internal/process"
)

// childProcess is one incarnation of a program.
type childProcess struct {
	cmd          *exec.Cmd
	endRequested atomic.Bool   // by the harness
	done         chan struct{} // closed after it has ended
	waitErr      error         // valid after done is closed
}

// inheritedVariables are the variables of the environment that a process gets: what the platform gives, and no others.
var inheritedVariables = []string{"PATH", "HOME", "LANG"}

// startProcess starts a program with a settings file and further variables. Its output goes to a writer.
func startProcess(path string, args []string, settings string, variables []string, output io.Writer) (*childProcess, error) {
	p := &childProcess{cmd: exec.Command(path, args...), done: make(chan struct{})}
	for _, name := range inheritedVariables {
		p.cmd.Env = append(p.cmd.Env, name+"="+os.Getenv(name))
	}
	p.cmd.Env = append(append(p.cmd.Env, variables...), process.SettingsVariable+"="+settings)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	// It ends with the caller, and Ctrl-C goes to the caller alone.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.waitErr = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// running reports whether the process has not ended; a nil process has.
func (p *childProcess) running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// exitedUnexpectedly reports whether the process has exited though the harness did not end it.
func (p *childProcess) exitedUnexpectedly() bool { return !p.running() && !p.endRequested.Load() }

// exitCode returns the exit code, -1 after a signal. The process must have ended.
func (p *childProcess) exitCode() int { return p.cmd.ProcessState.ExitCode() }
