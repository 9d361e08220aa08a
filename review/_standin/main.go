// Command standin runs one case of the review: it starts a small tier of the project's own programs on loopback addresses,
// with stand-ins for clients, hosts and the platform around it. It exits with 1 if the case's rule was broken, 0 if it held
// and 2 if the case could not run. Usage: standin CASE RECORD. With TROUBLE=0 the case runs without its disruption.
package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"larchrouter/internal/tier/tiertest"
)

// cases are the cases by name.
var cases = map[string]func(*session) error{
	"surplus":  runSurplus,
	"founding": runFounding,
	"replaced": runReplaced,
	"planned":  runPlanned,
}

// session is one run of a case.
type session struct {
	ctx     context.Context
	tier    *tiertest.Tier
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	broken int
}

// note writes a line to the record, with the milliseconds since the start.
func (s *session) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%6d ms  %s\n", time.Since(s.began).Milliseconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (s *session) breach(format string, args ...any) {
	s.note("BROKEN: "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken++
}

// start starts all processes of a tier, with the commands of the deploy file.
func (s *session) start(dir string, stores int) error {
	var err error
	s.tier, err = tiertest.Start(tiertest.Options{Cores: 4, Stores: stores, Fronts: 2, Dir: dir, Programs: tiertest.ProgramsIn("target")})
	return err
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 110*time.Second)
	defer cancel()
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	s := &session{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(file)}
	defer s.record.Flush()
	stores := 4
	switch os.Args[1] {
	case "replaced":
		stores = placedStores + 1
	case "planned":
		stores = placedStores + plannedReplacements
	}
	if err = s.start(dir, stores); err == nil {
		defer s.tier.Close()
		err = cases[os.Args[1]](s)
	}
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case s.broken > 0:
		fmt.Printf("the rule was broken %d times\n", s.broken)
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
