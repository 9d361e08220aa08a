package console

import (
	"fmt"
	"strings"

	"larchrouter/internal/relay/adminapi"
)

// FormatLimit formats a configured limit.
func FormatLimit(l adminapi.FleetLimit) string {
	if l.Rate == 0 {
		return "found out"
	}
	text := fmt.Sprintf("%g/s, burst %g", l.Rate, l.Burst)
	if l.AtOnce > 0 {
		text += fmt.Sprintf(", %d at once", l.AtOnce)
	}
	return text
}

// RelayRemark returns what is wrong with a relay of the fleet, or "".
func RelayRemark(r adminapi.FleetRelay) string {
	var all []string
	if r.Gone {
		all = append(all, "said to be gone for good")
	}
	if !r.There && !r.Gone {
		all = append(all, "no chain of links joins it to this one")
	}
	if r.There && r.MetMs < 0 {
		all = append(all, "heard of through others only")
	}
	if r.OtherList {
		all = append(all, "its file has other relays")
	}
	if r.There && !r.Agrees && !r.Self {
		all = append(all, "holds other words")
	}
	return strings.Join(all, "; ")
}

// FleetLine summarizes the fleet in one line.
func FleetLine(f adminapi.Fleet) string {
	there := 0
	for _, r := range f.Relays {
		if r.There {
			there++
		}
	}
	return fmt.Sprintf("%s: %d of %d relays are there; limits are divided into %d parts; in a cut all sides together grant at most what was told, and %.2f times what was found out",
		f.Name, there, len(f.Relays), f.Parts, f.Over)
}

// FormatSight formats a relay's observation of an endpoint.
func FormatSight(s adminapi.FleetSight) string {
	if s.Out {
		return "out"
	}
	return "well again"
}

// Version formats a version for comparison by eye.
func Version(v adminapi.FleetVersion) string {
	if v.Version == 0 {
		return "-"
	}
	return fmt.Sprintf("%08x", v.Version)
}

// Lag describes how far the version of a relay is behind, or returns "".
func Lag(v adminapi.FleetVersion, relays int) string {
	if v.State != "behind" {
		return ""
	}
	return fmt.Sprintf("its %s is older than that of %d of %d relays, for %s", v.Kind, v.Newest, relays, Span(v.BehindMs))
}
