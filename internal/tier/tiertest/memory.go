package tiertest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemoryMB returns the most memory that the process of a machine has held, in MiB, rounded up; 0 if none runs.
func (m *Machine) PeakMemoryMB() int {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	if !p.running() {
		return 0
	}
	return peakResidentMB(p.cmd.Process.Pid)
}

// peakResidentMB returns the kernel's peak of the resident memory of a process, in MiB, rounded up; 0 if it has ended.
func peakResidentMB(pid int) int {
	const kBPerMB = 1024
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return (kB + kBPerMB - 1) / kBPerMB
		}
	}
	return 0
}
