// Package appliance puts a relay together that runs on its own: the operator's file, the lock on the state
// folder, the relay, and the control socket.
package appliance

import (
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay"
	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/settings"
	"larchrouter/internal/relay/statedir"
)

// Figures that neither the file nor a platform gives.
const (
	tick          = 5 * time.Millisecond
	dialTimeout   = time.Second
	idleConnTimeout      = 5 * time.Second // partners are taken to close a connection that stood idle for so long
	maxRetryAfter = time.Minute
)

// Appliance is a relay that runs.
type Appliance struct {
	file    *config.File
	relay   *relay.Relay
	control *adminapi.Server // nil if it is off
	lock    *os.File
	done    chan struct{}
}

// Start starts a relay as a file says. Version is for people; tail may be nil.
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

// RelayConfig are a file's as the relay takes them.
func RelayConfig(f *config.File, version string) relay.Config {
	set := settings.Settings{DialTimeout: dialTimeout, MaxRetryAfter: maxRetryAfter,
		Settings: choice.Settings{Fleet: 1, IdleConn: idleConnTimeout, Workers: f.Limits.Slots, MaxHeld: f.Limits.Held, MaxAttempts: f.Limits.Attempts, Tick: tick,
			Classes: f.Classes, Cancels: true, ReportLimit: -1, Rules: f.Rules}}
	for _, z := range f.Zones {
		set.Zones, set.ZoneFee = append(set.Zones, z.Name), append(set.ZoneFee, z.Fee)
	}
	for _, k := range f.Kinds {
		set.KindNames, set.Kinds = append(set.KindNames, k.Name), append(set.Kinds, k.Kind)
	}
	c := relay.Config{Listen: f.Listen, State: f.State, Seed: rand.Uint64(), Cores: float64(f.Limits.Cores),
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Descriptors, DiskMB: f.Limits.DiskMB, Power: f.Journal.Power, Settings: set,
		Alone: &relay.Alone{Version: version, Partners: relayPartners(f), EndsKeep: f.Ends.Keep, EndsAge: f.Ends.For, StopWithin: f.StopWithin}}
	if f.Fleet != nil {
		c.Settings.Index, c.Settings.Fleet = f.Fleet.Self(), len(f.Fleet.Relays)
		c.PeerListen, c.Alone.Fleet = f.Fleet.Listen, f.Fleet.Names()
		c.Settings.Weights = f.Fleet.Weights()
		for _, m := range f.Fleet.Relays {
			c.Peers = append(c.Peers, m.Address)
		}
	}
	c.Settings.Limits, c.Settings.Shares = relay.Limits(c.Alone.Partners), sharesLimits(f)
	return c
}

// sharesLimits tells whether a relay of a file keeps to limits with others, or to ones that were told.
func sharesLimits(f *config.File) bool {
	return f.Fleet != nil || slices.ContainsFunc(f.Partners, func(p config.Partner) bool { return p.Limit != nil })
}

func relayPartners(f *config.File) []relay.Partner {
	var all []relay.Partner
	for _, p := range f.Partners {
		rp := relay.Partner{Name: p.Name, Number: p.Number, Kind: p.Kind, Classes: p.Classes, Limit: p.Limit}
		for _, e := range p.Endpoints {
			rp.Endpoints = append(rp.Endpoints, relay.Endpoint(e))
		}
		all = append(all, rp)
	}
	return all
}

// Addr is where clients connect.
func (a *Appliance) Addr() string { return a.relay.Addr() }

// Socket is the control socket's path; empty where it is off.
func (a *Appliance) Socket() string {
	if a.control == nil {
		return ""
	}
	return a.file.Control.Socket
}

// Done is closed when the relay has ended.
func (a *Appliance) Done() <-chan struct{} { return a.done }

// Reload takes in a file that was read again: its partners. It returns which of its other settings differ
// from those that run, which take a restart.
func (a *Appliance) Reload(f *config.File) (restart []string) {
	a.relay.Reload(relayPartners(f))
	was, is := reflect.ValueOf(*a.file), reflect.ValueOf(*f)
	for i := range was.NumField() {
		name := was.Type().Field(i).Name
		if !slices.Contains([]string{"Path", "Partners"}, name) && !reflect.DeepEqual(was.Field(i).Interface(), is.Field(i).Interface()) {
			restart = append(restart, settingName(name))
		}
	}
	if !sharesLimits(a.file) && len(relay.Limits(relayPartners(f))) > 0 { // it runs without what keeps to them
		restart = append(restart, "limit")
	}
	return restart
}

// settingName is the name of a setting as the file has it.
func settingName(field string) string {
	if name, ok := map[string]string{"StopWithin": "stop_within", "Classes": "class", "Zones": "zone", "Kinds": "kind"}[field]; ok {
		return name
	}
	return strings.ToLower(field)
}

// Stop stops the relay in order, within what its file says, and waits for its end.
func (a *Appliance) Stop(by string) {
	a.relay.Shutdown(by)
	<-a.done
}

// raiseDescriptorLimit raises the process's limit on descriptors to what the operator's file says.
func raiseDescriptorLimit(want int) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("limit on descriptors: %w", err)
	}
	if l.Cur >= uint64(want) {
		return nil
	}
	if l.Max < uint64(want) {
		return fmt.Errorf("limits.descriptors is %d, but this process may have %d at most: lower it, or raise the process's limit", want, l.Max)
	}
	l.Cur = uint64(want)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("limit on descriptors: %w", err)
	}
	return nil
}
