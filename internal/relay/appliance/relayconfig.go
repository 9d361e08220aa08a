package appliance

import (
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/settings"
)

// Settings that a platform gives its relays, and an operator's file does not.
const (
	tick            = 5 * time.Millisecond
	dialTimeout     = time.Second
	idleConnTimeout = 5 * time.Second // partners are assumed to close a connection that is idle for this long
	maxRetryAfter   = time.Minute
)

// RelayConfig returns the relay's configuration for an operator's file.
func RelayConfig(f *config.File, version string) relay.Config {
	c := relay.Config{
		Listen:   f.Listen,
		State:    f.State,
		Seed:     rand.Uint64(),
		Cores:    float64(f.Limits.Cores),
		MemoryMB: f.Limits.MemoryMB,
		Sockets:  f.Limits.Descriptors,
		DiskMB:   f.Limits.DiskMB,
		Power:    f.Journal.Power,
		Settings: decisionSettings(f),
		Standalone: &relay.Standalone{
			Version:     version,
			Partners:    relayPartners(f),
			MaxEnds:     f.Ends.Keep,
			EndsExpiry:  f.Ends.For,
			StopTimeout: f.StopWithin,
		},
	}
	if f.Fleet != nil {
		c.Settings.Index, c.Settings.Fleet = f.Fleet.Self(), len(f.Fleet.Relays)
		c.PeerListen, c.Standalone.Fleet = f.Fleet.Listen, f.Fleet.Names()
		c.Settings.Weights = f.Fleet.Weights()
		for _, m := range f.Fleet.Relays {
			c.Peers = append(c.Peers, m.Address)
		}
	}
	c.Settings.Limits, c.Settings.Shares = relay.Limits(c.Standalone.Partners), sharesLimits(f)
	return c
}

// decisionSettings returns the settings of a relay that is in no fleet and has no rate limits.
func decisionSettings(f *config.File) settings.Settings {
	set := settings.Settings{
		DialTimeout:   dialTimeout,
		MaxRetryAfter: maxRetryAfter,
		Settings: choice.Settings{
			Fleet:       1,
			IdleConn:    idleConnTimeout,
			Workers:     f.Limits.Slots,
			MaxHeld:     f.Limits.Held,
			MaxAttempts: f.Limits.Attempts,
			Tick:        tick,
			Classes:     f.Classes,
			Cancels:     true,
			ReportLimit: -1,
			Rules:       f.Rules,
		},
	}
	for _, zone := range f.Zones {
		set.Zones, set.ZoneFee = append(set.Zones, zone.Name), append(set.ZoneFee, zone.Fee)
	}
	for _, kind := range f.Kinds {
		set.KindNames, set.Kinds = append(set.KindNames, kind.Name), append(set.Kinds, kind.Kind)
	}
	return set
}

// sharesLimits reports whether the relay of a file must keep rate limits, shared with its fleet or alone.
func sharesLimits(f *config.File) bool {
	return f.Fleet != nil || slices.ContainsFunc(f.Partners, func(p config.Partner) bool { return p.Limit != nil })
}

// relayPartners returns the partners of a file as the relay's configuration has them.
func relayPartners(f *config.File) (partners []relay.Partner) {
	for _, p := range f.Partners {
		partner := relay.Partner{Name: p.Name, Number: p.Number, Kind: p.Kind, Classes: p.Classes, Limit: p.Limit}
		for _, endpoint := range p.Endpoints {
			partner.Endpoints = append(partner.Endpoints, relay.Endpoint(endpoint))
		}
		partners = append(partners, partner)
	}
	return partners
}
