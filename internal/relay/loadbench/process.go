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

// process is a program under test, alone on one core.
type process struct{ cmd *exec.Cmd }

// reserveCore keeps this process off the first of its cores, and returns that one. On a machine with one core it
// keeps to none and returns false.
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
	for _, t := range tasks { // threads to come have the cores of the one that starts them
		id, _ := strconv.Atoi(t.Name())
		unix.SchedSetaffinity(id, &all)
	}
	runtime.GOMAXPROCS(all.Count())
	return core, true
}

// start starts a program on a core; below 0 on any.
func start(core int, env []string, path string, args ...string) (*process, error) {
	cmd := exec.Command(path, args...)
	cmd.Env, cmd.Stderr = env, os.Stderr
	done := make(chan error)
	go func() { // a process has the cores of the thread that starts it
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

// clockTicksPerSecond of the kernel's accounting in a second, as Linux has it for user space everywhere.
const clockTicksPerSecond = 100

// cpu is the time that the process has used, in steps of 10 ms.
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

// memory is what the process has resident, in MB.
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
