// Package appliance runs a standalone relay, one that no platform configures: it joins the operator's file, the
// lock on the state folder, the relay and the admin API on the control socket.
//
// An Appliance owns all of these from Start until Done is closed. Its methods are safe for concurrent use,
// except that Reload must not be called concurrently with itself.
package appliance

import (
	"fmt"
	"os"
	"syscall"

	"larchrouter/internal/relay"
	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/statedir"
)

// Appliance is a running relay.
type Appliance struct {
	file    *config.File
	relay   *relay.Relay
	control *adminapi.Server // nil if the control socket is off
	lock    *os.File         // on the state folder
	done    chan struct{}    // closed when the relay has ended and the lock is released
}

// Start starts the relay that a file describes. version is shown to operators only. tail supplies the log lines
// that the admin API serves; it may be nil. Start fails if another process has the state folder, an address is
// in use, or the process may not open enough files.
func Start(f *config.File, version string, tail *adminapi.Tail) (*Appliance, error) {
	if err := raiseDescriptorLimit(f.Limits.Descriptors); err != nil {
		return nil, err
	}
	lock, err := statedir.Lock(f.State)
	if err != nil {
		return nil, err
	}
	a := &Appliance{file: f, lock: lock, done: make(chan struct{})}
	if a.relay, err = relay.New(RelayConfig(f, version)); err != nil {
		lock.Close()
		return nil, err
	}
	if f.Control.Enabled {
		if a.control, err = adminapi.Listen(f.Control.Socket, a.relay, tail); err != nil {
			a.relay.Abandon()
			lock.Close()
			return nil, err
		}
	}
	go func() {
		defer close(a.done)
		a.relay.Serve()
		if a.control != nil {
			a.control.Close()
		}
		lock.Close()
	}()
	return a, nil
}

// Addr returns the address on which clients connect.
func (a *Appliance) Addr() string { return a.relay.Addr() }

// Socket returns the path of the control socket; empty if it is off.
func (a *Appliance) Socket() string {
	if a.control == nil {
		return ""
	}
	return a.file.Control.Socket
}

// Done returns a channel that is closed when the relay has ended.
func (a *Appliance) Done() <-chan struct{} { return a.done }

// Stop shuts the relay down gracefully, within the time that its file allows, and waits for its end. by is the
// operator, for the log.
func (a *Appliance) Stop(by string) {
	a.relay.Shutdown(by)
	<-a.done
}

// raiseDescriptorLimit raises the process's limit of open files to want, unless it is higher. The error says
// what to change if the hard limit is lower.
func raiseDescriptorLimit(want int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit on descriptors: %w", err)
	}
	if limit.Cur >= uint64(want) {
		return nil
	}
	if limit.Max < uint64(want) {
		return fmt.Errorf("limits.descriptors is %d, but this process may have %d at most: lower it, or raise the process's limit",
			want, limit.Max)
	}
	limit.Cur = uint64(want)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit on descriptors: %w", err)
	}
	return nil
}
