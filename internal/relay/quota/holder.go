package quota

import "time"

// Holder is a relay's state of its own share: to which coordinator it is pledged, and until when.
type Holder struct {
	terms       Terms
	units       uint32
	coordinator int           // NoCoordinator if the share is not pledged
	expiresAt   time.Duration // by this relay's clock; then the pledge has expired, wherever its messages may be
	lastStamp   Stamp         // newest stamp that was answered to this coordinator
	// The share was pledged to more than one incarnation of this coordinator: their stamps have no order, so a release
	// cannot be compared with them.
	severalIncarnations bool
}

// NewHolder returns the state of a relay that starts now with a share of that many units. What it pledged before is
// unknown, so the share cannot be pledged for one lease.
func NewHolder(t Terms, units uint32, now time.Duration) *Holder {
	return &Holder{terms: t, units: units, coordinator: NoCoordinator, expiresAt: t.expiry(now)}
}

// Resize sets the units of the share. A pledge in force keeps its units until it is renewed or expires.
func (h *Holder) Resize(units uint32) { h.units = units }

// Pledge pledges the share to a coordinator that requested it with a stamp, or renews that pledge, and returns the pledged
// units. It reports false while the share is, or may be, pledged to another coordinator.
func (h *Holder) Pledge(now time.Duration, coordinator int, stamp Stamp) (units uint32, ok bool) {
	if coordinator != h.coordinator {
		if now < h.expiresAt {
			return 0, false
		}
		h.coordinator, h.lastStamp, h.severalIncarnations = coordinator, stamp, false
	}
	h.severalIncarnations = h.severalIncarnations || stamp.Incarnation != h.lastStamp.Incarnation
	if stamp.At > h.lastStamp.At {
		h.lastStamp.At = stamp.At
	}
	h.expiresAt = max(h.expiresAt, h.terms.expiry(now))
	return h.units, true
}

// Release records that a coordinator released the share, as far as it was pledged on stamps up to upTo. It has no effect if
// the share was pledged on a newer stamp: the release may have been delayed.
func (h *Holder) Release(now time.Duration, coordinator int, upTo Stamp) {
	sameIncarnation := !h.severalIncarnations && upTo.Incarnation == h.lastStamp.Incarnation
	if coordinator == h.coordinator && sameIncarnation && upTo.At >= h.lastStamp.At {
		h.expiresAt, h.coordinator = min(h.expiresAt, now), NoCoordinator
	}
}

// Coordinator returns to whom the share is pledged; NoCoordinator if to nobody.
func (h *Holder) Coordinator(now time.Duration) int {
	if now >= h.expiresAt {
		return NoCoordinator
	}
	return h.coordinator
}

// FreeAt returns when the share may be pledged to another coordinator.
func (h *Holder) FreeAt() time.Duration { return h.expiresAt }
