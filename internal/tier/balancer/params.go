package balancer

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Params are the parameters of all policies. The zero value is not valid: start from DefaultParams. docs/design/019-decisions.md
// has what each mechanism is worth, measured without it.
type Params struct {
	Ejection  EjectionParams
	Load      LoadParams
	Selection SelectionParams
	Cost      CostParams
}

// EjectionParams are the parameters of outlier ejection and of the avoidance of hosts that shut down.
type EjectionParams struct {
	// Min is the time of the first ejection, doubled with each further failure in a row up to Max. 0 switches ejection off.
	Min, Max time.Duration
	// Misdirected is the time of the ejection after a 421 response.
	Misdirected time.Duration
	// ConnectFailed, ResponseBroken and TimedOut are the failures in a row from which on the outcome of that name ejects.
	ConnectFailed, ResponseBroken, TimedOut int
	// VerdictTTL is the time from a list that says that a host is ejected, beyond which that is ignored: the core ends its
	// verdicts earlier, unless it cannot. 0 ignores all.
	VerdictTTL time.Duration
	// FailureMemory is the time between two failures beyond which they are not in a row.
	FailureMemory time.Duration
	// Closes is the number of responses in a row that close their connection, from which on a host is taken to shut down;
	// it is avoided for CloseAvoidance.
	Closes         int
	CloseAvoidance time.Duration
}

// LoadParams are the parameters of the estimate of a host's load and of its capacity.
type LoadParams struct {
	// FadeTime is the time over which a reported load fades to none.
	FadeTime time.Duration
	// FullBackoff is the time without calls to a host that has rejected one as at capacity. 0 for none.
	FullBackoff time.Duration
	// SlowStartReduction is the share of its capacity, below 1, that a host lacks when it has just started. 0 for none.
	SlowStartReduction float64
	// ProbationReduction is the same for a host on probation.
	ProbationReduction float64
}

// SelectionParams are the parameters of the choice between hosts.
type SelectionParams struct {
	// Choices is the number of hosts of the own zone, and of the others, between which the least loaded is picked; they are
	// drawn at random, since all fronts see the same host as the least loaded one and its load only later. 0 for all hosts.
	Choices int
	// OtherZonePenalty is added to the utilization of a host in another zone. 0 for no preference.
	OtherZonePenalty float64
	// NewConnPenalty is added to the utilization of a host to which the front has no open connection: new ones are paid for, by
	// the host in the first place. 0 for no preference.
	NewConnPenalty float64
	// Affinity is bounded-load rendezvous hashing: a host gets calls by it below AffinityMaxLoad of its capacity, and
	// below AffinityLoadFactor times the mean load or AffinityMinBound calls, whichever is more. AffinityMaxLoad 0 switches
	// it off.
	AffinityMaxLoad, AffinityLoadFactor, AffinityMinBound float64
	// HostQueueShare is the share of its capacity that a host may have in its own queue, of calls that no host had a slot
	// for in time; at least one call. Below 0 it gets none.
	HostQueueShare float64
	// MaxHostShare is the share of the front's calls in flight that one of several hosts may have; ContendedHostShare the
	// same while other calls are queued.
	MaxHostShare, ContendedHostShare float64
}

// CostParams are the parameters of the cost model of generations.
type CostParams struct {
	// InitialBaseMs, InitialPerCallMs and InitialPerTokenMs are the model before the first observation, in milliseconds.
	InitialBaseMs, InitialPerCallMs, InitialPerTokenMs float64
	// LearningRate is the step of an observation, from 0 for none to 1.
	LearningRate float64
	// MaxResidualMs bounds the effect of one observation, such as a stall.
	MaxResidualMs float64
	// MinPerCallMs and MinPerTokenMs are bounds of what is learnt: a host with more calls is never the better one for it,
	// nor one with less of the prompt in its cache.
	MinPerCallMs, MinPerTokenMs float64
	// SharedPrefixTTL is the time for which a shared prefix that was sent to a host is taken to be in its cache. 0 switches
	// the term off.
	SharedPrefixTTL time.Duration
	// MaxSharedPrefixes is the number of shared prefixes of a host from which on old ones are dropped.
	MaxSharedPrefixes int
	// OtherZoneMs is the cost of a host in another zone: traffic between zones is paid for.
	OtherZoneMs float64
	// NewConnMs is the cost of a host to which the front has no open connection.
	NewConnMs float64
	// OthersLoadHalfLife is the time in which the estimate of others' calls at a host moves half the way from its last
	// report to the mean over all hosts.
	OthersLoadHalfLife time.Duration
	// JitterCalls is the most of random calls added to each host, so that fronts with the same view choose differently.
	JitterCalls float64
}

// DefaultParams returns the parameters in service.
func DefaultParams() Params {
	return Params{
		Ejection: EjectionParams{Min: 250 * time.Millisecond, Max: 4 * time.Second, Misdirected: 5 * time.Second,
			ConnectFailed: 1, ResponseBroken: 2, TimedOut: 3, VerdictTTL: 8 * time.Second, FailureMemory: 10 * time.Second,
			Closes: 2, CloseAvoidance: 2 * time.Second},
		Load: LoadParams{FadeTime: 2 * time.Second, FullBackoff: 40 * time.Millisecond, SlowStartReduction: 0.5, ProbationReduction: 0.5},
		Selection: SelectionParams{Choices: 2, OtherZonePenalty: 0.1, NewConnPenalty: 0.2, AffinityMaxLoad: 0.7, AffinityLoadFactor: 1.5, AffinityMinBound: 6,
			HostQueueShare: 0.25, MaxHostShare: 3.0 / 4, ContendedHostShare: 1.0 / 2},
		Cost: CostParams{InitialBaseMs: 60, InitialPerCallMs: 8, InitialPerTokenMs: 0.03, LearningRate: 0.05, MaxResidualMs: 300,
			MinPerCallMs: 0.5, MinPerTokenMs: 0.001, SharedPrefixTTL: 20 * time.Second, MaxSharedPrefixes: 256, OtherZoneMs: 15, NewConnMs: 15,
			OthersLoadHalfLife: 1500 * time.Millisecond, JitterCalls: 1},
	}
}

// Check returns an error for parameters that make no sense, with the field and the remedy.
func (p *Params) Check() error {
	e, l, s, c := &p.Ejection, &p.Load, &p.Selection, &p.Cost
	for _, rule := range []struct {
		ok     bool
		remedy string
	}{
		{e.Min >= 0 && e.Max >= e.Min, "Ejection: give 0 <= Min <= Max"},
		{e.Misdirected >= 0 && e.FailureMemory >= 0 && e.VerdictTTL >= 0 && e.CloseAvoidance >= 0, "Ejection: give times of 0 or above"},
		{min(e.ConnectFailed, e.ResponseBroken, e.TimedOut, e.Closes) >= 1, "Ejection: give thresholds of 1 or above"},
		{l.FadeTime > 0 && l.FullBackoff >= 0, "Load: give a FadeTime above 0 and a FullBackoff of 0 or above"},
		{min(l.SlowStartReduction, l.ProbationReduction) >= 0 && max(l.SlowStartReduction, l.ProbationReduction) < 1,
			"Load.SlowStartReduction, ProbationReduction: give shares from 0 to below 1"},
		{s.Choices >= 0 && s.OtherZonePenalty >= 0 && s.NewConnPenalty >= 0 && s.AffinityMaxLoad >= 0 && s.AffinityLoadFactor >= 0 && s.AffinityMinBound >= 0,
			"Selection: give penalties and bounds of 0 or above"},
		{s.ContendedHostShare > 0 && s.ContendedHostShare <= s.MaxHostShare && s.MaxHostShare <= 1,
			"Selection: give 0 < ContendedHostShare <= MaxHostShare <= 1"},
		{c.LearningRate >= 0 && c.LearningRate <= 1, "Cost.LearningRate: give a share from 0 to 1"},
		{min(c.InitialBaseMs, c.InitialPerCallMs, c.InitialPerTokenMs, c.MaxResidualMs, c.MinPerCallMs, c.MinPerTokenMs,
			c.OtherZoneMs, c.NewConnMs, c.JitterCalls) >= 0, "Cost: give costs of 0 or above"},
		{c.SharedPrefixTTL >= 0 && c.OthersLoadHalfLife > 0 && c.MaxSharedPrefixes >= 0,
			"Cost: give a SharedPrefixTTL and MaxSharedPrefixes of 0 or above, an OthersLoadHalfLife above 0"},
	} {
		if !rule.ok {
			return errors.Newf("balancer parameters: %s", rule.remedy)
		}
	}
	return nil
}
