package admission

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Params are the parameters of a Queue and of the time that calls wait in it. Start from DefaultParams.
type Params struct {
	// OldestInterval is the number of admissions of which one goes to the entry that has waited longest, whatever its
	// priority, so that no priority starves. 0 for none.
	OldestInterval uint64
	// MinClassShare is the share of the admission rate of all calls that each class is due, below 1. 0 for none.
	MinClassShare float64
	// QueueTargetShare is the share of the latency target for which a call may wait for a slot, less RejectionMargin.
	QueueTargetShare float64
	// RejectionMargin is the time that a rejection takes to reach the client.
	RejectionMargin time.Duration
	// MinQueueTimeout is the least time for which a call may wait, whatever its target.
	MinQueueTimeout time.Duration
}

// DefaultParams returns the parameters in service.
func DefaultParams() Params {
	return Params{OldestInterval: 6, MinClassShare: 0.4, QueueTargetShare: 0.25, RejectionMargin: 12 * time.Millisecond,
		MinQueueTimeout: 5 * time.Millisecond}
}

// Check returns an error for parameters that make no sense, with the field and the remedy.
func (p *Params) Check() error {
	switch {
	case !(p.MinClassShare >= 0 && p.MinClassShare < 1):
		return errors.New("admission parameters: MinClassShare: give a share from 0 to below 1")
	case !(p.QueueTargetShare >= 0 && p.QueueTargetShare <= 1):
		return errors.New("admission parameters: QueueTargetShare: give a share from 0 to 1")
	case p.RejectionMargin < 0 || p.MinQueueTimeout < 0:
		return errors.New("admission parameters: RejectionMargin, MinQueueTimeout: give times of 0 or above")
	}
	return nil
}

// QueueTimeout returns how long a call may wait for a slot before it is offered to a host's own queue or rejected: a share of the
// latency target less the time for the rejection, at least MinQueueTimeout, at most the time remaining until the deadline of
// the call.
func (p *Params) QueueTimeout(target, remaining time.Duration) time.Duration {
	timeout := time.Duration(p.QueueTargetShare*float64(target)) - p.RejectionMargin
	return min(max(timeout, p.MinQueueTimeout), remaining)
}
