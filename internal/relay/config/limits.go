package config

import (
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/hclfile"
	"larchrouter/internal/relay/quota"
)

// limits reads the limits and ends blocks, and checks that they fit together.
func (f *File) limits(top hclfile.Block) {
	b, _ := top.One("limits", "held", "slots", "attempts", "descriptors", "memory_mb", "disk_mb", "cores")
	f.Limits = Limits{
		Held: b.Whole("held", 2000, 1, maxHeld), Slots: b.Whole("slots", 32, 1, maxSlots), Attempts: b.Whole("attempts", 6, 1,
			100),
		Descriptors: b.Whole("descriptors", 1024, minDescriptors, 1_000_000), MemoryMB: b.Number("memory_mb", 256, 32, 1<<20),
		DiskMB: b.Number("disk_mb", 256, 1, 1<<20), Cores: b.Whole("cores", 0, 0, 1024)}
	if l, least := f.Limits, 2*(f.Limits.Slots+reservedDescriptors); l.Descriptors < least {
		b.Fault(b.Where("descriptors"), "descriptors is %d, must be at least %d for %d slots: half are for clients, %d are kept back, and each call out takes one",
			l.Descriptors, least, l.Slots, reservedDescriptors)
	}
	e, _ := top.One("ends", "keep", "for")
	f.Ends = Ends{Keep: e.Whole("keep", 10_000, 0, maxHeld), For: e.Span("for", 24*time.Hour, time.Second, 30*24*time.Hour)}
	least := 2 * (float64(f.Limits.Held)*bytesPerMessage + float64(f.Ends.Keep)*bytesPerOutcome) / 1e6
	if f.Limits.DiskMB < least {
		b.Fault(b.Where("disk_mb"), "disk_mb is %s, must be at least %.0f for %d messages held and %d ends kept: what is live may take half of it, so that the rest can be compacted",
			hclfile.Show(f.Limits.DiskMB), least+0.5, f.Limits.Held, f.Ends.Keep)
	}
}

// control reads the control block.
func (f *File) control(top hclfile.Block) {
	b, _ := top.One("control", "enabled", "socket")
	f.Control = Control{Enabled: b.Truth("enabled", true), Socket: absolutePath(f.State, b.Text("socket", "control.sock"))}
	if n := len(f.Control.Socket); f.Control.Enabled && n > maxSocket {
		b.Fault(b.Where("socket"), "the control socket's path %q has %d bytes, a Unix socket's may have %d: choose a shorter state folder or socket",
			f.Control.Socket, n, maxSocket)
	}
}

// ReadRules reads the rules block; its cold attribute may be at most mostCold.
func ReadRules(top hclfile.Block, mostCold time.Duration) choice.Rules {
	b, _ := top.One("rules", "overload_factor", "fall", "cold_from", "cold")
	r := DefaultRules()
	r.OverloadFactor = b.Number("overload_factor", r.OverloadFactor, 1, 100)
	r.Fall = b.Span("fall", r.Fall, 100*time.Millisecond, time.Minute)
	r.ColdFrom = b.Number("cold_from", r.ColdFrom, 0.01, 1)
	r.Cold = b.Span("cold", r.Cold, time.Second, mostCold)
	return r
}

// ReadLimit reads the limit block of a partner, whose rate must be at least leastRate; nil if there is none.
func ReadLimit(partner hclfile.Block, leastRate float64) *quota.Limit {
	l, ok := partner.One("limit", "rate", "burst", "at_once")
	if !ok {
		return nil
	}
	l.Need("rate", "calls a second that all relays together may make, such as rate = 50")
	rate := l.Number("rate", 1, leastRate, 1e5)
	return &quota.Limit{Rate: rate, Burst: l.Number("burst", max(1, rate/4), 1, 1e5), MaxConcurrent: l.Whole("at_once", 0, 0, 1e5)}
}
