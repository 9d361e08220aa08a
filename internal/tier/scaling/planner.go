package scaling

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Params are the parameters of a Planner. Start from DefaultParams.
type Params struct {
	// TargetUtilization is the share of the hosts' slots that calls should use on average: above 0, at most 1. The rest is headroom
	// for uneven load and for bursts until new hosts have started.
	TargetUtilization float64
	// DownDelay is how long the demand must need fewer hosts before the number is lowered.
	DownDelay time.Duration
}

// DefaultParams returns the parameters used in production.
func DefaultParams() Params { return Params{TargetUtilization: 0.4, DownDelay: 5 * time.Second} }

// Check returns an error that names the field and its valid range if a parameter is out of range.
func (p Params) Check() error {
	switch {
	case !(p.TargetUtilization > 0 && p.TargetUtilization <= 1):
		return errors.New("scaling parameters: TargetUtilization must be above 0 and at most 1")
	case p.DownDelay < 0:
		return errors.New("scaling parameters: DownDelay must not be negative")
	}
	return nil
}

// Subject identifies the hosts that are scaled together, by one order: those of a service in a zone.
type Subject struct{ Service, Zone string }

// Demand is the demand of a subject at a point in time, with the bounds and the listed hosts.
type Demand struct {
	Min, Max    int     // bounds of the number of hosts; Min is at most Max
	Hosts       int     // listed hosts that are not leaving
	Slots       int     // of one host; above 0
	Concurrency float64 // calls in flight at the hosts of the subject
}

// Planner plans the numbers of hosts. It is not safe for concurrent use. The times that it is given must not decrease.
type Planner struct {
	params   Params
	subjects map[Subject]*subjectState
}

// subjectState is the planner's state of a subject.
type subjectState struct {
	hosts       int // number that was sent last, or that was listed at the start
	orderState  orderState
	firstSeenAt time.Duration
	recentNeeds []sample // numbers that the demand needed within DownDelay, strictly decreasing, the oldest first
}

// orderState says whether the number of a subject is in force.
type orderState int

const (
	noOrderSent orderState = iota // as listed when the subject was first planned: nothing was sent so far
	inDoubt                       // sent, but not known to be accepted: either this number or an earlier one is in force
	accepted                      // in force
)

// sample is the number of hosts that the demand needed at a time.
type sample struct {
	at    time.Duration
	hosts int
}

// NewPlanner returns a planner that has made no order. The parameters must pass Params.Check.
func NewPlanner(params Params) *Planner {
	return &Planner{params: params, subjects: map[Subject]*subjectState{}}
}

// Plan takes the demand of a subject and returns the number of hosts to order; ok is false if no order is due. An order stays due
// until OrderAccepted is called. An order is due
//   - for a subject without an order so far: at once if more hosts than listed are needed, else once the demand was observed for
//     DownDelay;
//   - after OrderInDoubt: always, for the number that should be in force;
//   - after OrderAccepted: for a number that differs, at once if it is higher or brings the number within new bounds, else after
//     DownDelay.
func (p *Planner) Plan(now time.Duration, subject Subject, demand Demand) (hosts int, ok bool) {
	state := p.subjects[subject]
	if state == nil {
		state = &subjectState{hosts: demand.Hosts, firstSeenAt: now}
		p.subjects[subject] = state
	}
	wanted := p.hostsNeeded(demand)
	state.addSample(sample{now, wanted}, now-p.params.DownDelay)
	mayLower := now-state.firstSeenAt >= p.params.DownDelay
	hosts = state.target(wanted, demand, mayLower)
	switch state.orderState {
	case noOrderSent:
		ok = mayLower || wanted > state.hosts
	case inDoubt:
		ok = true
	case accepted:
		ok = hosts != state.hosts
	}
	if !ok {
		return 0, false
	}
	return hosts, true
}

// target returns the number of hosts that should be in force, within the bounds.
func (s *subjectState) target(wanted int, demand Demand, mayLower bool) int {
	if wanted > s.hosts {
		return wanted
	}
	if mayLower {
		return demand.clamp(min(s.hosts, s.recentNeeds[0].hosts))
	}
	return demand.clamp(s.hosts)
}

// clamp limits a number of hosts to the bounds.
func (d Demand) clamp(hosts int) int { return max(d.Min, min(hosts, d.Max)) }

// hostsNeeded returns the number of hosts that a demand needs, within its bounds.
func (p *Planner) hostsNeeded(demand Demand) int {
	needed := math.Ceil(demand.Concurrency / (float64(max(1, demand.Slots)) * p.params.TargetUtilization))
	return demand.clamp(int(min(needed, math.MaxInt32)))
}

// addSample adds a sample and drops those before a time. It keeps only samples that are higher than all later ones, so that the
// first one is the maximum.
func (s *subjectState) addSample(newest sample, before time.Duration) {
	for len(s.recentNeeds) > 0 && s.recentNeeds[len(s.recentNeeds)-1].hosts <= newest.hosts {
		s.recentNeeds = s.recentNeeds[:len(s.recentNeeds)-1]
	}
	s.recentNeeds = append(s.recentNeeds, newest)
	for s.recentNeeds[0].at < before {
		s.recentNeeds = s.recentNeeds[1:]
	}
}

// OrderAccepted records that an order was accepted: its number is in force.
func (p *Planner) OrderAccepted(subject Subject, hosts int) { p.recordOrder(subject, hosts, accepted) }

// OrderInDoubt records that an order was sent and may or may not have taken effect. It is not called for an order that was not sent.
func (p *Planner) OrderInDoubt(subject Subject, hosts int) { p.recordOrder(subject, hosts, inDoubt) }

// recordOrder records an order that was sent.
func (p *Planner) recordOrder(subject Subject, hosts int, newState orderState) {
	if state := p.subjects[subject]; state != nil {
		state.hosts, state.orderState = hosts, newState
	}
}

// InForce returns the number of hosts that was sent last for a subject, accepted or in doubt, or that was listed when it was first
// planned; ok is false if the subject is not known.
func (p *Planner) InForce(subject Subject) (hosts int, ok bool) {
	state := p.subjects[subject]
	if state == nil {
		return 0, false
	}
	return state.hosts, true
}
