package main

import (
	"context"
	"os"
	"regexp"
	"strconv"
	"time"

	"larchrouter/internal/tier/tiertest"
)

const (
	foundingKillAfter = time.Millisecond // from the start of the last process to the kill of the core processes
	foundingRestart   = 500 * time.Millisecond
	ackMax            = 4 * time.Second // ack_max_ms of the settings
	orderLimit        = 30 * time.Second
)

// logTime is the time of a line of the log, in seconds with three decimals.
var logTime = regexp.MustCompile(`\bt=(\d+)\.(\d{3})`)

// runFounding kills all core processes right after the system's very first start. They start again on their disks, with bootstrap
// false. The operator sends the first configuration until it is taken. Rule: Acks.
func runFounding(s *session) error {
	cores := s.tier.Class(tiertest.Core)
	s.note("all processes have been started, bootstrap true")
	if s.trouble {
		killAfter := foundingKillAfter
		if ms, err := strconv.Atoi(os.Getenv("KILL_MS")); err == nil { // to measure for how long the fault is open
			killAfter = time.Duration(ms) * time.Millisecond
		}
		time.Sleep(killAfter)
		for _, m := range cores {
			m.Kill()
		}
		s.note("all core processes were killed, %v after the last process was started", killAfter)
		time.Sleep(foundingRestart)
		for _, m := range cores {
			if err := m.Start(); err != nil {
				return err
			}
		}
		s.note("they were started again on their disks, bootstrap false")
	}
	ctx, stop := context.WithTimeout(s.ctx, orderLimit)
	defer stop()
	began := time.Now()
	err := s.tier.Configure(ctx, tiertest.NewConfig(1, tiertest.DraftService, false))
	took := time.Since(began).Round(time.Millisecond)
	s.note("the first configuration, sent until it is taken: %v after %v", err, took)
	if err != nil || took > ackMax {
		s.breach("Acks: a valid configuration has no acknowledgement %v after it was first sent", took)
		for _, m := range cores {
			s.note("%s runs: %v; it logged: %s", m.Name, m.Running(), logTime.ReplaceAllString(m.Log.String(), "t_ms=$1$2"))
		}
	}
	return nil
}
