package cloudapi

import (
	"context"
	"net/http"
	"slices"
)

// dutySubject is what fencing tokens are compared for.
type dutySubject struct{ duty, subject string }

// DutyCalls returns the calls of duties, in the order in which they were decided.
func (p *Platform) DutyCalls() []DutyCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.duties)
}

// WaitDutyCalls waits until a condition is met about the decided calls and the number of calls that DutySilent holds. It
// returns the error of the context if that ends before.
func (p *Platform) WaitDutyCalls(ctx context.Context, met func(decided []DutyCall, held int) bool) error {
	for {
		p.mu.Lock()
		decided, held, changed := slices.Clone(p.duties), p.dutiesHeld, p.dutiesChanged
		p.mu.Unlock()
		if met(decided, held) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notifyDuty wakes those who wait for calls. The caller has locked mu.
func (p *Platform) notifyDuty() {
	close(p.dutiesChanged)
	p.dutiesChanged = make(chan struct{})
}

// serveDuty returns the handler of a duty.
func (p *Platform) serveDuty(duty string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		received := p.opts.Now()
		call, malformed := parseDutyCall(r, duty)
		call.Received = received
		fault, ok := p.awaitDutyFault(r)
		slow := fault.Kind == DutySlow
		switch {
		case fault.Kind == DutyReset:
			p.drop(call)
			closeConn(w, true)
			return
		case !ok, slow && !fault.DecidedFirst && !p.delay(fault.Delay):
			p.drop(call)
			closeConn(w, false)
			return
		}
		status := p.decide(call, malformed, fault)
		if fault.Kind == DutyLostAnswers || slow && fault.DecidedFirst && !p.delay(fault.Delay) {
			closeConn(w, false)
			return
		}
		writeDutyAnswer(w, status, malformed)
	}
}

func writeDutyAnswer(w http.ResponseWriter, status int, malformed error) {
	switch {
	case status == http.StatusOK:
		w.WriteHeader(status)
	case status == http.StatusBadRequest && malformed != nil:
		http.Error(w, malformed.Error(), status)
	default:
		http.Error(w, http.StatusText(status), status)
	}
}

// drop records a call that gets no decision.
func (p *Platform) drop(call DutyCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call.At = p.opts.Now()
	p.recordDuty(call)
}

// decide decides and records a call, applies it if it is accepted, and returns its status.
func (p *Platform) decide(call DutyCall, malformed error, fault DutyFault) int {
	p.settling.Lock()
	defer p.settling.Unlock()
	p.settle()
	p.mu.Lock()
	defer p.mu.Unlock()
	call.At = p.opts.Now()
	call.Status = p.dutyStatus(call, malformed, fault)
	call.Applied = call.Status == http.StatusOK
	if order, ok := call.Body.(ScaleOrder); ok && call.Applied {
		p.applyScale(order, call.At)
	}
	p.recordDuty(call)
	return call.Status
}

// recordDuty appends a call to the record. The caller has locked mu.
func (p *Platform) recordDuty(call DutyCall) {
	p.duties = append(p.duties, call)
	p.notifyDuty()
}

// dutyStatus returns the status of a call, and raises the highest token that was seen. The caller has locked mu.
func (p *Platform) dutyStatus(call DutyCall, malformed error, fault DutyFault) int {
	switch rejection := fault.rejection(); {
	case !p.dutyRate.allow(call.At):
		return http.StatusTooManyRequests
	case p.down:
		return http.StatusInternalServerError
	case rejection != 0:
		return rejection
	case malformed != nil:
		return http.StatusBadRequest
	}
	key := dutySubject{call.Duty, call.Subject}
	highest := p.fences[key]
	p.fences[key] = max(highest, call.Token)
	if p.opts.FenceChecks && call.Token < highest {
		return http.StatusConflict
	}
	return http.StatusOK
}
