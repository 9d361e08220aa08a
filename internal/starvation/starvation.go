// Package starvation measures how long the threads of processes waited for a processor, from the kernel's scheduler
// statistics. A test with a time limit uses it to find out whether the machine starved its processes of CPU time.
package starvation

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Interval is the time between two samples of a watch.
	Interval = 250 * time.Millisecond

	// Limit is the time that a thread may wait for a processor in one interval before the machine counts as overloaded.
	Limit = 250 * time.Millisecond
)

// Account is the total time that each thread has waited for a processor, by the path of its schedstat file.
type Account map[string]time.Duration

// Read returns the account of all threads of some processes. It is empty if the kernel keeps no statistics.
func Read(processes ...int) Account {
	account := Account{}
	for _, process := range processes {
		paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process))
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				continue // the thread has ended
			}
			if waited, err := parse(string(text)); err == nil {
				account[path] = waited
			}
		}
	}
	return account
}

// parse parses a schedstat file: nanoseconds on a processor, nanoseconds on run queues, and the number of time slices. It
// returns the second.
func parse(text string) (waited time.Duration, err error) {
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return 0, fmt.Errorf("schedstat has %d fields, must have 3", len(fields))
	}
	nanoseconds, err := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(nanoseconds), err
}

// Longest returns the longest time that one thread waited between an earlier account and this one. A thread that started
// in between counts from zero.
func (a Account) Longest(earlier Account) (longest time.Duration) {
	for path, waited := range a {
		longest = max(longest, waited-earlier[path])
	}
	return longest
}

// Watch samples the accounts of processes every Interval until it is stopped.
type Watch struct {
	processes func() []int
	stop      chan struct{}
	done      sync.WaitGroup
	longest   time.Duration // of one interval
}

// Start starts a watch. processes is called for each sample and returns the ids of the processes to sample.
func Start(processes func() []int) *Watch {
	w := &Watch{processes: processes, stop: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Stop takes a last sample, ends the watch, and returns the longest time that one thread waited in one interval. It must be
// called once.
func (w *Watch) Stop() time.Duration {
	close(w.stop)
	w.done.Wait()
	return w.longest
}

func (w *Watch) run() {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	before := Read(w.processes()...)
	for stopped := false; !stopped; {
		select {
		case <-tick.C:
		case <-w.stop:
			stopped = true
		}
		after := Read(w.processes()...)
		w.longest = max(w.longest, after.Longest(before))
		before = after
	}
}
