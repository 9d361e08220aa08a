// Package rig runs a relay with stand-in partners on loopback and sends messages through it, for the demo and
// for tests. It counts what the stand-ins and the clients observed, not what the relay reports of itself.
//
// A Site owns the relay and the stand-ins; a Load is the clients. The caller closes both.
package rig

import (
	"path/filepath"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/appliance"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/standin"
)

// Partner is the description of one partner of a site.
type Partner struct {
	Name      string
	Kind      string
	Classes   []string
	Zones     []string // one endpoint in each, named NAME-1, NAME-2, ...
	Behaviour standin.Behaviour
}

// Bureau returns the partners of the print bureau: one for payments, a courier, a marketplace that takes
// several messages in one call, and a customer's system.
func Bureau() []Partner {
	healthy := standin.Behaviour{Latency: 30 * time.Millisecond}
	return []Partner{
		{"pay", "separate", []string{"payment"}, []string{"oficinas", "taller"}, healthy},
		{"courier", "separate", []string{"job-order", "status-update"}, []string{"almacen"}, healthy},
		{"market", "marketplace", []string{"job-order", "status-update"}, []string{"taller", "almacen"}, healthy},
		{"campus", "separate", []string{"job-order", "status-update", "payment"}, []string{"taller", "oficinas"}, healthy},
	}
}

// Site is a relay with its stand-in partners.
type Site struct {
	Partners []Partner
	Ledger   *standin.Ledger
	Hosts    map[string]*standin.Host // by endpoint
	File     *config.File             // of the relay; changes apply from the next Start
	App      *appliance.Appliance
	Control  *adminapi.Client
}

// Options are the options of a Site.
type Options struct {
	Dir      string // for the relay's state
	Partners []Partner
	Keep     bool               // stand-ins record all calls
	Change   func(*config.File) // modifies the file before the relay starts; may be nil
	Tail     *adminapi.Tail     // log lines for the admin API; may be nil
}

// New starts the stand-ins, and the relay in this process.
func New(o Options) (*Site, error) {
	s := &Site{Partners: o.Partners, Ledger: standin.NewLedger(15 * time.Second), Hosts: map[string]*standin.Host{}}
	for _, p := range o.Partners {
		for i, zone := range p.Zones {
			id := endpointName(p, i)
			host, err := standin.NewHost(id, zone, s.Ledger, p.Behaviour, o.Keep)
			if err != nil {
				s.Close()
				return nil, err
			}
			s.Hosts[id] = host
		}
	}
	var err error
	text := File(o.Dir, o.Partners, func(id string) string { return s.Hosts[id].Addr() })
	if s.File, err = config.Parse([]byte(text), "site.hcl", o.Dir); err != nil {
		s.Close()
		return nil, err
	}
	if o.Change != nil {
		o.Change(s.File)
	}
	if err := s.Start(o.Tail); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Start starts the site's relay, again after it has ended. Its address may be another one then.
func (s *Site) Start(tail *adminapi.Tail) (err error) {
	if s.App, err = appliance.Start(s.File, "rig", tail); err != nil {
		return err
	}
	if s.Control == nil {
		s.Control = adminapi.Dial(s.App.Socket())
	}
	return nil
}

// Close shuts the relay down gracefully, unless it has ended, and closes the stand-ins.
func (s *Site) Close() {
	if s.App != nil {
		for _, h := range s.Hosts { // a hanging call would delay the shutdown
			h.Set(standin.Behaviour{})
		}
		s.App.Stop("rig")
	}
	if s.Control != nil {
		s.Control.Close()
	}
	for _, h := range s.Hosts {
		h.Close()
	}
}

// StateDir returns the path of the state folder below base. It is short, as a Unix socket's path may have 107
// bytes at most.
func StateDir(base string) string { return filepath.Join(base, "s") }
