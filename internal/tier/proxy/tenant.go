package proxy

import (
	"net/http"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
)

// Header fields: the key with which a client authenticates, and the name of its tenant for the host.
const (
	keyHeader    = "Api-Key"
	tenantHeader = "X-Tenant"
)

// tenantRankStep is the number of ranks of routes that are distinguished within one rank of a tenant.
const tenantRankStep = 1 << 10

// authenticate sets the tenant that holds the request's key, and gives the host the tenant's name in place of the key. If it
// returns false the client has its error response.
func (r *request) authenticate() bool {
	config := r.tables.Config
	if !config.HasTenants() {
		return true
	}
	keys := r.header[keyHeader]
	if len(keys) > 1 {
		r.respondError(http.StatusBadRequest, 0, "header Api-Key: send it once")
		return false
	}
	now := time.Now()
	if len(keys) == 1 {
		if r.server().mayHoldRevokedKeys(r.tables, now) {
			r.rejectKey(now)
			return false
		}
		r.key, r.tenant = keys[0], config.TenantOf(keys[0])
	}
	delete(r.header, keyHeader)
	delete(r.header, tenantHeader)
	if r.tenant != nil {
		r.header[tenantHeader] = []string{r.tenant.Name}
	}
	if r.tenant != nil || r.route.Public {
		return true
	}
	r.rejectKey(now)
	return false
}

// rejectKey answers a request whose key is not known to belong to a tenant: 401 if no tenant has it, 503 if this front cannot be
// sure.
func (r *request) rejectKey(now time.Time) {
	if isStale(r.tables, now) || r.server().mayHoldRevokedKeys(r.tables, now) {
		r.logLoss(causeUncheckedKey, http.StatusServiceUnavailable)
		r.respondError(http.StatusServiceUnavailable, restartDelay(),
			"this front is cut off from the core and cannot check the key: come back after Retry-After")
		return
	}
	r.logLoss(causeUnknownKey, http.StatusUnauthorized)
	r.respondError(http.StatusUnauthorized, 0, "header Api-Key: send a key that a tenant of the configuration has")
}

// mayHoldRevokedKeys reports whether the tables may have a key that was revoked so long ago that no request with it may run: the
// core has not confirmed them for RevocationBound, or never has. now must be read after the tables.
func (s *Server) mayHoldRevokedKeys(t *feed.Tables, now time.Time) bool {
	bound := s.options.RevocationBound
	return bound > 0 && now.Sub(t.ConfirmedAt) > bound
}

const (
	confirmationTimeout = 750 * time.Millisecond // a follower polls each half second
	confirmationPoll    = 10 * time.Millisecond
)

// awaitSureTenant reports whether the request's key belongs to the tenant for which its turn was looked up. A key may have been moved
// to another tenant, whose turn it is, in a configuration that this front has not got yet; so it waits for tables that were confirmed
// since the request came.
func (r *request) awaitSureTenant() bool {
	if !r.tables.Config.HasTenants() {
		return true
	}
	limit := time.Now().Add(min(confirmationTimeout, time.Until(r.deadline)/2))
	for {
		tables := r.server().options.Source.Tables()
		if !sameTenant(tables.Config.TenantOf(r.key), r.tenant) {
			return false
		}
		if !tables.ConfirmedAt.Before(r.arrivedAt) || tables.ConfirmedAt.IsZero() && r.server().options.RevocationBound <= 0 {
			return true
		}
		select {
		case <-r.cancelled:
			return false
		case <-time.After(confirmationPoll):
		}
		if time.Now().After(limit) {
			return false
		}
	}
}

// sameTenant reports whether two tenants, each nil for none, have one name.
func sameTenant(a, b *routing.Tenant) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Name == b.Name
}

// priority returns the priority of a request: that of its tenant first, then that of its route.
func (r *request) priority() int {
	rank := min(r.route.Priority, tenantRankStep-1)
	if r.tenant != nil {
		rank += min(r.tenant.Priority, tenantRankStep-1) * tenantRankStep
	}
	return rank
}

// tenantSeparator stands between the name of a tenant and the id of a turn. Neither has it: both are values of header fields.
const tenantSeparator = "\x00"

// turnID returns the identifier of a turn of a tenant in the Ledger. A turn of another tenant has another identifier, so that it is
// not found.
func turnID(tenant *routing.Tenant, attemptID string) string {
	if tenant == nil || attemptID == "" {
		return attemptID
	}
	return tenant.Name + tenantSeparator + attemptID
}
