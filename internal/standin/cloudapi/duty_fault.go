package cloudapi

import (
	"net"
	"net/http"
	"time"
)

// DutyFaultKind is a kind of fault of the calls of duties.
type DutyFaultKind int

// The kinds of faults.
const (
	NoDutyFault     DutyFaultKind = iota
	DutyDown                      // status 500
	DutyBusy                      // status DutyFault.Status
	DutySilent                    // held without a decision until the fault is changed, or dropped when the caller disconnects
	DutyReset                     // a TCP reset instead of a decision
	DutySlow                      // DutyFault.Delay before the answer; the call is decided even if the caller disconnects
	DutyLostAnswers               // decided, then the connection is closed without an answer
)

// DutyFault is a fault of the calls of duties.
type DutyFault struct {
	Kind         DutyFaultKind
	Status       int           // of DutyBusy; 0 for 503
	Delay        time.Duration // of DutySlow
	DecidedFirst bool          // with DutySlow, the call is decided before the delay, not after it
}

// rejection returns the status by which the fault rejects calls, 0 if it does not.
func (f DutyFault) rejection() int {
	switch {
	case f.Kind == DutyDown:
		return http.StatusInternalServerError
	case f.Kind == DutyBusy && f.Status == 0:
		return http.StatusServiceUnavailable
	case f.Kind == DutyBusy:
		return f.Status
	}
	return 0
}

// SetDutyFault sets the fault of the calls of duties that arrive from now on. Calls that DutySilent held are carried out
// under the new fault.
func (p *Platform) SetDutyFault(f DutyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dutyFault = f
	close(p.dutyFaultChanged)
	p.dutyFaultChanged = make(chan struct{})
}

// awaitDutyFault returns the fault under which a call is carried out, once it is another than DutySilent. It returns
// false if the caller or the platform left before.
func (p *Platform) awaitDutyFault(r *http.Request) (DutyFault, bool) {
	for held := false; ; held = true {
		p.mu.Lock()
		fault, changed := p.dutyFault, p.dutyFaultChanged
		if silent := fault.Kind == DutySilent; silent != held {
			p.countHeld(silent)
		}
		p.mu.Unlock()
		if fault.Kind != DutySilent {
			return fault, true
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
		case <-p.closing:
		}
		p.mu.Lock()
		p.countHeld(false)
		p.mu.Unlock()
		return fault, false
	}
}

// countHeld counts a call that is held from now on, or is not any more. The caller has locked mu.
func (p *Platform) countHeld(held bool) {
	if held {
		p.dutiesHeld++
	} else {
		p.dutiesHeld--
	}
	p.notifyDuty()
}

// delay waits, and reports whether the platform is still open.
func (p *Platform) delay(d time.Duration) bool {
	select {
	case <-p.opts.After(d):
		return true
	case <-p.closing:
		return false
	}
}

// closeConn closes the connection of a request without an answer, by a TCP reset if reset is set.
func closeConn(w http.ResponseWriter, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // has the server close it
	}
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
