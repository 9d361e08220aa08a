package cloudapi

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/modelhost"
)

// ScaleBounds are the bounds of the hosts of a service in each zone.
type ScaleBounds struct {
	MinCount int
	MaxCount int // 0 for unlimited
}

func (b ScaleBounds) clamp(count int) int {
	if b.MaxCount > 0 {
		count = min(count, b.MaxCount)
	}
	return max(count, b.MinCount)
}

// boot is a host that was ordered and does not serve yet.
type boot struct {
	service, zone string
	ordered, due  time.Time
}

// removal is a host that drains until it is removed.
type removal struct {
	id  string
	due time.Time
}

// payment is the time since which a host is paid.
type payment struct {
	service string
	since   time.Time
}

// applyScale orders or drains hosts of a service in a zone so that as many run as desired. Hosts that do not serve yet are
// given up first, the newest ones before others. The caller has locked settling and mu.
func (p *Platform) applyScale(o ScaleOrder, now time.Time) {
	if p.opts.StartHost == nil {
		return
	}
	running := p.running(o.Service, o.Zone)
	surplus := len(running) - p.opts.Scaling[o.Service].clamp(o.Desired)
	for _, b := range p.boots {
		if b.service == o.Service && b.zone == o.Zone {
			surplus++
		}
	}
	for ; surplus < 0; surplus++ {
		p.boots = append(p.boots, boot{o.Service, o.Zone, now, now.Add(p.opts.BootTime)})
	}
	for i := len(p.boots) - 1; i >= 0 && surplus > 0; i-- {
		if b := p.boots[i]; b.service == o.Service && b.zone == o.Zone {
			p.paid[b.service] += now.Sub(b.ordered)
			p.boots = slices.Delete(p.boots, i, i+1)
			surplus--
		}
	}
	for _, id := range running[len(running)-max(0, surplus):] {
		p.drain(id)
		p.hosts[id].Drain()
		p.removals = append(p.removals, removal{id, now.Add(p.opts.DrainTime)})
	}
}

// running returns the ids of the hosts of a service in a zone that are up and do not drain. The caller has locked mu.
func (p *Platform) running(service, zone string) (ids []string) {
	for _, e := range p.snapshots[len(p.snapshots)-1].entries {
		if e.Service == service && e.Zone == zone && e.Phase != "draining" && p.hosts[e.ID] != nil {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// settle starts the hosts whose boot time is over, and removes those whose drain time is over. It runs at each call to the
// platform, by which a caller could see a difference. The caller has locked settling.
func (p *Platform) settle() {
	p.mu.Lock()
	now := p.opts.Now()
	var boots []boot
	var removals []removal
	p.boots = slices.DeleteFunc(p.boots, func(b boot) bool {
		due := !b.due.After(now)
		if due {
			boots = append(boots, b)
		}
		return due
	})
	p.removals = slices.DeleteFunc(p.removals, func(r removal) bool {
		due := !r.due.After(now)
		if due {
			removals = append(removals, r)
		}
		return due
	})
	p.mu.Unlock()
	for _, b := range boots {
		p.start(b)
	}
	for _, r := range removals {
		p.Remove(r.id)
	}
}

// start starts and lists a host that was ordered.
func (p *Platform) start(b boot) {
	host, err := p.opts.StartHost(b.service, b.zone)
	if err == nil {
		err = checkHost(host, b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.paid[b.service] += b.due.Sub(b.ordered)
		p.startErr = errors.Join(p.startErr, errors.Wrapf(err, "start a host of %s in %s", b.service, b.zone))
		return
	}
	p.add(host, b.due, b.ordered)
}

// checkHost closes a host that is not of the service and zone for which it was started.
func checkHost(h *modelhost.Host, b boot) error {
	o := h.Options()
	if o.Service == b.service && o.Zone == b.zone {
		return nil
	}
	h.Close()
	return errors.Newf("host %s is of %s in %s", o.ID, o.Service, o.Zone)
}

// StartErr returns the errors of Options.StartHost, joined. A host that failed to start is not tried again until an order
// asks for it.
func (p *Platform) StartErr() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startErr
}

// HostSeconds returns the time for which hosts of a service were paid so far. A host is paid from its order on, or from
// Add if there was no order, until it is closed.
func (p *Platform) HostSeconds(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, total := p.opts.Now(), p.paid[service]
	for _, payment := range p.paying {
		if payment.service == service {
			total += now.Sub(payment.since)
		}
	}
	for _, b := range p.boots {
		if b.service == service {
			total += now.Sub(b.ordered)
		}
	}
	return total.Seconds()
}

// stopPaying ends the payment of a host. The caller has locked mu.
func (p *Platform) stopPaying(id string) {
	if payment, ok := p.paying[id]; ok {
		p.paid[payment.service] += p.opts.Now().Sub(payment.since)
		delete(p.paying, id)
	}
}
