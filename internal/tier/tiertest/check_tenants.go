package tiertest

import (
	"slices"
	"strings"

	"larchrouter/internal/standin/modelhost"
)

// The fields of a request that say whose it is.
const (
	keyHeader    = "Api-Key"
	tenantHeader = "X-Tenant"
)

// tenantOf returns the tenant in the request of a run, "" for none.
func tenantOf(run *modelhost.Run) string { return strings.Join(run.Header.Values(tenantHeader), ",") }

// checkTenant checks UNASKED for tenants: a host gets the tenant that holds the client's key, or one that the key was moved
// to, and never the key; a turn continues a turn of its tenant. Attempts that a configuration without tenants may have let through
// are left out.
func checkTenant(h *indexedHistory, report reportFunc) {
	for i := range h.Runs {
		run := &h.Runs[i]
		a := h.attemptByID[run.Attempt]
		if a == nil || len(h.versions(a.Ended, func(c *Config) bool { return len(c.Tenants) == 0 })) > 0 {
			continue
		}
		if keys := run.Header.Values(keyHeader); len(keys) > 0 {
			report("a host ran %s and was shown the key %q", a.ID, keys)
		}
		tenant := tenantOf(run)
		admittedBy := h.versions(a.Ended, func(c *Config) bool {
			route := c.routeFor(a.Path)
			return route != nil && c.admits(route, a.Key) && c.holderOf(a.Key) == tenant
		})
		if len(admittedBy) == 0 {
			report("a host ran %s for the tenant %q, which never held the key %q", a.ID, tenant, a.Key)
		}
		for _, previous := range h.runsByAttempt[a.Previous] {
			if tenantOf(previous) != tenant {
				report("a host ran %s for the tenant %q, and it continues %s of %q", a.ID, tenant, a.Previous, tenantOf(previous))
				break
			}
		}
	}
}

// checkKeyKnown checks ROUTE: an attempt runs only if some version that was sent before the attempt ended and not rejected
// admits its key to its route.
func checkKeyKnown(h *indexedHistory, report reportFunc) {
	for id := range h.runsByAttempt {
		if a := h.attemptByID[id]; a != nil && len(h.versionsAdmitting(a)) == 0 {
			report("%s of %s ran with the key %q, which no configuration has", a.ID, a.Path, a.Key)
		}
	}
}

// versionsAdmitting returns the versions that were sent before an attempt ended and not rejected and that admit its key to a
// route.
func (h *indexedHistory) versionsAdmitting(a *Attempt) []int64 {
	return h.versions(a.Ended, func(c *Config) bool {
		route := c.routeFor(a.Path)
		return route != nil && c.admits(route, a.Key)
	})
}

// checkRevocation checks CONFIG where the tier has a RevocationBound: an attempt that is sent more than that after a version was
// acknowledged which does not have its key, at any front, does not run, unless a later version may have given the key back.
func checkRevocation(h *indexedHistory, report reportFunc) {
	if h.RevocationBound <= 0 {
		return
	}
	for id := range h.runsByAttempt {
		a := h.attemptByID[id]
		if a == nil {
			continue
		}
		admitting := h.versionsAdmitting(a)
		if len(admitting) == 0 { // checkKeyKnown reports it
			continue
		}
		newest := slices.Max(admitting)
		for i := range h.Orders {
			order := &h.Orders[i]
			if !order.Acknowledged.IsZero() && order.Version > newest && a.Sent.Sub(order.Acknowledged) > h.RevocationBound {
				report("%s ran with the key %q at %s, sent %v after version %d, which took it away, was acknowledged",
					a.ID, a.Key, a.Front, a.Sent.Sub(order.Acknowledged), order.Version)
				break
			}
		}
	}
}

// mayBeOfOtherTenant reports whether an attempt may belong to another tenant than the turn that it continues: some version that
// may be in force gives its key to another one.
func (h *indexedHistory) mayBeOfOtherTenant(a, previous *Attempt) bool {
	runs := h.runsByAttempt[previous.ID]
	if len(runs) == 0 {
		return false
	}
	owner := tenantOf(runs[len(runs)-1])
	return len(h.versions(a.Ended, func(c *Config) bool {
		holder := c.holderOf(a.Key)
		return holder != "" && holder != owner
	})) > 0
}
