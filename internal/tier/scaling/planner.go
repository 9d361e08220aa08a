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
	ordered   int // number of hosts that was ordered last, or that was listed at the start
	seenSince time.Duration
	wanted    []sample // numbers that the demand asked for within DownDelay, falling; the oldest first
}

// sample is a number of hosts that the demand asked for at a time.
type sample struct {
	at    time.Duration
	hosts int
}

// NewPlanner returns a planner that has ordered nothing. The parameters must pass Params.Check.
func NewPlanner(params Params) *Planner {
	return &Planner{params: params, subjects: map[Subject]*subjectState{}}
}

// Plan takes the demand of a subject and returns the number of hosts to order; ok is false if the number in force stays. The order is
// taken as made once Ordered is called.
func (p *Planner) Plan(now time.Duration, subject Subject, demand Demand) (hosts int, ok bool) {
	state := p.subjects[subject]
	if state == nil {
		state = &subjectState{ordered: demand.Hosts, seenSince: now}
		p.subjects[subject] = state
	}
	wanted := p.wanted(demand)
	state.add(sample{now, wanted}, now-p.params.DownDelay)
	switch {
	case wanted > state.ordered:
		return wanted, true
	case now-state.seenSince < p.params.DownDelay:
		return 0, false
	}
	if peak := max(demand.Min, min(state.wanted[0].hosts, demand.Max)); peak < state.ordered {
		return peak, true
	}
	return 0, false
}

// wanted returns the number of hosts that a demand asks for.
func (p *Planner) wanted(demand Demand) int {
	needed := math.Ceil(demand.Concurrency / (float64(max(1, demand.Slots)) * p.params.TargetUtilization))
	return max(demand.Min, min(int(min(needed, math.MaxInt32)), demand.Max))
}

// add adds a sample and drops those before a time. Of the rest only those are kept that no later one reaches, so that the first one is
// the highest.
func (s *subjectState) add(newest sample, before time.Duration) {
	for len(s.wanted) > 0 && s.wanted[len(s.wanted)-1].hosts <= newest.hosts {
		s.wanted = s.wanted[:len(s.wanted)-1]
	}
	s.wanted = append(s.wanted, newest)
	for s.wanted[0].at < before {
		s.wanted = s.wanted[1:]
	}
}

// Ordered notes that an order was made for a subject and took effect.
func (p *Planner) Ordered(subject Subject, hosts int) {
	if state := p.subjects[subject]; state != nil {
		state.ordered = hosts
	}
}

// InForce returns the number of hosts that was ordered last for a subject, or that was listed when it was first planned; ok is false
// if the subject is not known.
func (p *Planner) InForce(subject Subject) (hosts int, ok bool) {
	state := p.subjects[subject]
	if state == nil {
		return 0, false
	}
	return state.ordered, true
}
