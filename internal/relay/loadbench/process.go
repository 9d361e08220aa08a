package loadbench

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// process is a program under test on a core of its own.
type process struct{ cmd *exec.Cmd }

// reserveCore removes the first core from those that this process uses and returns it; false on a machine with one core.
func reserveCore() (core int, ok bool) {
	var all unix.CPUSet
	if unix.SchedGetaffinity(0, &all) != nil || all.Count() < 2 {
		return 0, false
	}
	for !all.IsSet(core) {
		core++
	}
	all.Clear(core)
	tasks, _ := os.ReadDir("/proc/self/task")
	for _, t := range tasks { // new threads inherit the cores of the thread that starts them
		id, _ := strconv.Atoi(t.Name())
		unix.SchedSetaffinity(id, &all)
	}
	runtime.GOMAXPROCS(all.Count())
	return core, true
}

// start starts a program on a core; below 0 on any core.
func start(core int, env []string, path string, args ...string) (*process, error) {
	cmd := exec.Command(path, args...)
	cmd.Env, cmd.Stderr = env, os.Stderr
	done := make(chan error)
	go func() { // a process inherits the cores of the thread that starts it
		if core >= 0 {
			runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
			var one unix.CPUSet
			one.Set(core)
			unix.SchedSetaffinity(0, &one)
		}
		done <- cmd.Start()
	}()
	return &process{cmd}, <-done
}

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ), 100 on all platforms of Linux.
const clockTicksPerSecond = 100

// cpu returns the CPU time that the process has used, with a resolution of 10 ms.
func (p *process) cpu() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(data)[strings.LastIndexByte(string(data), ')')+1:])
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, err
}

// memory returns the resident memory of the process in MB, 0 if it has exited.
func (p *process) memory() float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kB, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return kB / 1024
		}
	}
	return 0
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}
