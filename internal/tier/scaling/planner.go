package scaling

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Params are the parameters of a Planner. Start from DefaultParams.
type Params struct {
	// TargetUtilization is the share of the slots of the hosts that calls should use on average: above 0, at most 1. The rest is for
	// uneven load and for bursts until new hosts have started.
	TargetUtilization float64
	// DownDelay is the time for which the demand has to ask for fewer hosts before they are ordered.
	DownDelay time.Duration
}

// DefaultParams returns the parameters in service.
func DefaultParams() Params { return Params{TargetUtilization: 0.4, DownDelay: 5 * time.Second} }

// Check returns an error for parameters that make no sense, with the field and the remedy.
func (p Params) Check() error {
	switch {
	case !(p.TargetUtilization > 0 && p.TargetUtilization <= 1):
		return errors.New("scaling parameters: TargetUtilization: give a share above 0, at most 1")
	case p.DownDelay < 0:
		return errors.New("scaling parameters: DownDelay: give a time of 0 or above")
	}
	return nil
}

// Subject is what one order is about.
type Subject struct{ Service, Zone string }

// Demand is what is known of a subject at a time.
type Demand struct {
	Min, Max    int     // bounds of the number of hosts; Min is at most Max
	Hosts       int     // listed that are not about to leave
	Slots       int     // of one host; above 0
	Concurrency float64 // calls in flight at the hosts of the subject
}

// Planner plans the numbers of hosts. It is not safe for concurrent use. Times do not go back.
type Planner struct {
	params   Params
	subjects map[Subject]*subjectState
}

// subjectState is what the planner keeps of a subject.
type subjectState struct {
	hosts       int // number that was sent last, or that was listed at the start
	orderState  orderState
	firstSeenAt time.Duration
	recentNeeds []sample // numbers that the demand asked for within DownDelay, falling; the oldest first
}

// standing is what is known of the number of a subject.
type orderState int

const (
	noOrderSent orderState = iota // as listed when the subject was first planned: nothing was sent so far
	inDoubt                       // sent, but not known to be accepted: that number or an earlier one is in force
	accepted                      // in force
)

// sample is a number of hosts that the demand asked for at a time.
type sample struct {
	at    time.Duration
	hosts int
}

// NewPlanner returns a planner that has ordered nothing. The parameters must pass Params.Check.
func NewPlanner(params Params) *Planner {
	return &Planner{params: params, subjects: map[Subject]*subjectState{}}
}

// Plan takes the demand of a subject and returns the number of hosts to order; ok is false if no order is due. Until Ordered is called,
// an order stays due:
//   - the first one of a subject, at once if more hosts than listed are needed, else once the demand was seen for DownDelay;
//   - after OrderInDoubt, the number that should be in force;
//   - after Ordered, a number that differs: a higher one at once, as is one that brings the number within new bounds, and a lower one
//     after DownDelay.
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

// clamp returns the number of hosts within the bounds that is next to a number.
func (d Demand) clamp(hosts int) int { return max(d.Min, min(hosts, d.Max)) }

// wanted returns the number of hosts that a demand asks for.
func (p *Planner) hostsNeeded(demand Demand) int {
	needed := math.Ceil(demand.Concurrency / (float64(max(1, demand.Slots)) * p.params.TargetUtilization))
	return demand.clamp(int(min(needed, math.MaxInt32)))
}

// add adds a sample and drops those before a time. Of the rest only those are kept that no later one reaches, so that the first one is
// the highest.
func (s *subjectState) addSample(newest sample, before time.Duration) {
	for len(s.recentNeeds) > 0 && s.recentNeeds[len(s.recentNeeds)-1].hosts <= newest.hosts {
		s.recentNeeds = s.recentNeeds[:len(s.recentNeeds)-1]
	}
	s.recentNeeds = append(s.recentNeeds, newest)
	for s.recentNeeds[0].at < before {
		s.recentNeeds = s.recentNeeds[1:]
	}
}

// Ordered notes that an order was accepted: its number is in force.
func (p *Planner) OrderAccepted(subject Subject, hosts int) { p.recordOrder(subject, hosts, accepted) }

// OrderInDoubt notes that an order was sent and may have taken effect or not. An order that did not leave is not noted.
func (p *Planner) OrderInDoubt(subject Subject, hosts int) { p.recordOrder(subject, hosts, inDoubt) }

// sent notes an order.
func (p *Planner) recordOrder(subject Subject, hosts int, standing orderState) {
	if state := p.subjects[subject]; state != nil {
		state.hosts, state.orderState = hosts, standing
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
