package cloudapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	usageBody = `{"window_no":7,"server_counts":{"hule930":412,"fida11":3}}`
	scaleBody = `{"target_service":"draft","zone_name":"pier","desired":2}`
)

// dutyRequest returns the request of a call.
func dutyRequest(ctx context.Context, p *Platform, duty, holder, token, body string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr()+"/"+duty, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	for name, value := range map[string]string{holderHeader: holder, fenceHeader: token} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req
}

// send sends a request, and returns the status.
func send(req *http.Request) (status int, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// call makes a call, and returns the status.
func call(t *testing.T, p *Platform, duty, holder, token, body string) int {
	t.Helper()
	status, err := send(dutyRequest(t.Context(), p, duty, holder, token, body))
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// callLater makes a call that need not end, and returns a channel that gets the status, 0 if there was none.
func callLater(ctx context.Context, t *testing.T, p *Platform, duty, holder, token, body string) <-chan int {
	statuses := make(chan int, 1)
	var sent sync.WaitGroup
	sent.Go(func() {
		status, err := send(dutyRequest(ctx, p, duty, holder, token, body))
		if err != nil {
			status = 0
		}
		statuses <- status
	})
	t.Cleanup(sent.Wait)
	return statuses
}

// outcomes returns "STATUS:APPLIED" of each recorded call.
func outcomes(p *Platform) string {
	var all []string
	for _, c := range p.DutyCalls() {
		all = append(all, fmt.Sprintf("%d:%v", c.Status, c.Applied))
	}
	return strings.Join(all, " ")
}

// waitDuty waits for a number of decided and held calls.
func waitDuty(t *testing.T, p *Platform, decided, held int) {
	t.Helper()
	met := func(calls []DutyCall, n int) bool { return len(calls) == decided && n == held }
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	if err := p.WaitDutyCalls(ctx, met); err != nil {
		t.Fatalf("no %d calls decided and %d held: %v", decided, held, p.DutyCalls())
	}
}

func TestDutyCallIsRecorded(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	p := platform(t, Options{Now: c.Now})
	want(t, "status of usage", call(t, p, "usage", "front-1", "12", usageBody), 200)
	c.advance(time.Second)
	want(t, "status of scale", call(t, p, "scale", "front-2", "13", scaleBody), 200)
	calls := p.DutyCalls()
	want(t, "calls", len(calls), 2)
	report := UsageReport{7, map[string]int64{"hule930": 412, "fida11": 3}}
	want(t, "usage", fmt.Sprintf("%+v", calls[0].Body), fmt.Sprintf("%+v", report))
	want(t, "scale", calls[1].Body, DutyBody(ScaleOrder{"draft", "pier", 2}))
	want(t, "first", calls[0].String(), "usage usage by front-1, token 12, status 200 at "+time.Unix(100, 0).Format(time.RFC3339Nano))
	want(t, "second", calls[1].String(), "scale draft/pier by front-2, token 13, status 200 at "+time.Unix(101, 0).Format(time.RFC3339Nano))
	want(t, "received", calls[1].Received, calls[1].At)
	calls[0].Status = 1
	want(t, "outcomes after a change of the copy", outcomes(p), "200:true 200:true")
}

func TestMalformedDutyCalls(t *testing.T) {
	p := platform(t, Options{FenceChecks: true})
	for name, c := range map[string]struct{ duty, holder, token, body string }{
		"no holder":           {"usage", "", "12", usageBody},
		"no token":            {"usage", "front-1", "", usageBody},
		"token with sign":     {"usage", "front-1", "-1", usageBody},
		"token with fraction": {"usage", "front-1", "1.5", usageBody},
		"token too large":     {"usage", "front-1", "9223372036854775808", usageBody},
		"no JSON":             {"usage", "front-1", "99", "{"},
		"two values":          {"usage", "front-1", "99", usageBody + usageBody},
		"no body":             {"usage", "front-1", "99", ""},
		"large body":          {"usage", "front-1", "99", usageBody + strings.Repeat(" ", maxDutyBody)},
		"no window":           {"usage", "front-1", "99", `{"server_counts":{}}`},
		"negative window":     {"usage", "front-1", "99", `{"window_no":-1,"server_counts":{}}`},
		"window in text":      {"usage", "front-1", "99", `{"window_no":"7","server_counts":{}}`},
		"no counts":           {"usage", "front-1", "99", `{"window_no":7}`},
		"counts are null":     {"usage", "front-1", "99", `{"window_no":7,"server_counts":null}`},
		"negative count":      {"usage", "front-1", "99", `{"window_no":7,"server_counts":{"fida11":-1}}`},
		"count is null":       {"usage", "front-1", "99", `{"window_no":7,"server_counts":{"fida11":null}}`},
		"count in text":       {"usage", "front-1", "99", `{"window_no":7,"server_counts":{"fida11":"1"}}`},
		"counts in a list":    {"usage", "front-1", "99", `{"window_no":7,"server_counts":[]}`},
		"no service":          {"scale", "front-1", "99", `{"zone_name":"pier","desired":2}`},
		"empty zone":          {"scale", "front-1", "99", `{"target_service":"draft","zone_name":"","desired":2}`},
		"no desired":          {"scale", "front-1", "99", `{"target_service":"draft","zone_name":"pier"}`},
		"negative desired":    {"scale", "front-1", "99", `{"target_service":"draft","zone_name":"pier","desired":-1}`},
		"fraction desired":    {"scale", "front-1", "99", `{"target_service":"draft","zone_name":"pier","desired":1.5}`},
	} {
		t.Run(name, func(t *testing.T) {
			want(t, "status", call(t, p, c.duty, c.holder, c.token, c.body), 400)
			calls := p.DutyCalls()
			last := calls[len(calls)-1]
			want(t, "record", fmt.Sprintf("%s %q %q %v %d %v", last.Duty, last.Holder, last.Subject, last.Body, last.Status, last.Applied),
				fmt.Sprintf("%s %q \"\" <nil> 400 false", c.duty, c.holder))
		})
	}
	twice := dutyRequest(t.Context(), p, "usage", "front-1", "99", usageBody)
	twice.Header.Add(fenceHeader, "99")
	status, err := send(twice)
	want(t, "two tokens", fmt.Sprint(status, err), "400 <nil>")
	want(t, "malformed calls raise no fence", call(t, p, "usage", "front-1", "1", usageBody), 200)
	want(t, "nor of scale", call(t, p, "scale", "front-1", "1", scaleBody), 200)
	want(t, "empty counts", call(t, p, "usage", "front-1", "1", `{"window_no":8,"server_counts":{}}`), 200)
	status, _ = send(dutyRequest(t.Context(), p, "instances", "front-1", "1", usageBody))
	want(t, "POST /instances", status, 405)
}

func TestFenceChecks(t *testing.T) {
	scale := func(service, zone string) string {
		return fmt.Sprintf(`{"target_service":%q,"zone_name":%q,"desired":1}`, service, zone)
	}
	steps := []struct {
		duty, token, body string
		checked           int // the status with fence checks
	}{
		{"usage", "5", usageBody, 200},
		{"usage", "5", usageBody, 200},
		{"usage", "4", usageBody, 409},
		{"usage", "4", `{"window_no":8,"server_counts":{}}`, 409}, // all windows are one subject
		{"scale", "4", scale("draft", "pier"), 200},               // another duty
		{"scale", "6", scale("draft", "pier"), 200},
		{"scale", "5", scale("draft", "pier"), 409},
		{"scale", "5", scale("draft", "hill"), 200}, // another zone
		{"scale", "5", scale("proof", "pier"), 200}, // another service
		{"usage", "6", usageBody, 200},
		{"usage", "5", usageBody, 409},
	}
	for _, checks := range []bool{true, false} {
		p := platform(t, Options{FenceChecks: checks})
		for i, s := range steps {
			status := 200
			if checks {
				status = s.checked
			}
			want(t, fmt.Sprintf("status of step %d with checks %v", i, checks), call(t, p, s.duty, "front-1", s.token, s.body), status)
			last := p.DutyCalls()[i]
			want(t, "applied", last.Applied, status == 200)
		}
	}
}

func TestDutyRate(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	p := platform(t, Options{Rate: 1, DutyRate: 2, FenceChecks: true, Now: c.Now})
	want(t, "first", call(t, p, "usage", "front-1", "1", usageBody), 200)
	want(t, "second", call(t, p, "scale", "front-2", "1", scaleBody), 200)
	want(t, "over the rate", call(t, p, "usage", "front-3", "9", usageBody), 429)
	status, _ := list(t, p, "")
	want(t, "the list has a rate of its own", status, 200)
	status, _ = list(t, p, "")
	want(t, "and is over it", status, 429)
	c.advance(500 * time.Millisecond)
	want(t, "later; the rejected call raised no fence", call(t, p, "usage", "front-1", "1", usageBody), 200)
	want(t, "over the rate again", call(t, p, "usage", "front-1", "1", "{"), 429)
	want(t, "record", outcomes(p), "200:true 200:true 429:false 200:true 429:false")
}

func TestDutyFaultsThatReject(t *testing.T) {
	for name, c := range map[string]struct {
		fault  DutyFault
		down   bool // for all calls
		status int
	}{
		"down":         {DutyFault{Kind: DutyDown}, false, 500},
		"all down":     {DutyFault{}, true, 500},
		"busy":         {DutyFault{Kind: DutyBusy}, false, 503},
		"busy by rate": {DutyFault{Kind: DutyBusy, Status: 429}, false, 429},
	} {
		t.Run(name, func(t *testing.T) {
			p := platform(t, Options{FenceChecks: true})
			p.SetDutyFault(c.fault)
			p.SetDown(c.down)
			want(t, "status", call(t, p, "usage", "front-1", "9", usageBody), c.status)
			want(t, "status of a malformed call", call(t, p, "usage", "front-1", "9", ""), c.status)
			status, _ := list(t, p, "")
			want(t, "the list is up", status == 200, !c.down)
			p.SetDutyFault(DutyFault{})
			p.SetDown(false)
			want(t, "the rejected call raised no fence", call(t, p, "usage", "front-2", "8", usageBody), 200)
			want(t, "record", outcomes(p), fmt.Sprintf("%d:false %[1]d:false 200:true", c.status))
		})
	}
}

func TestSilentPlatformHoldsCalls(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	p := platform(t, Options{Now: c.Now})
	p.SetDutyFault(DutyFault{Kind: DutySilent})
	stays := callLater(t.Context(), t, p, "usage", "front-1", "1", usageBody)
	waitDuty(t, p, 0, 1)
	ctx, leave := context.WithCancel(t.Context())
	leaves := callLater(ctx, t, p, "scale", "front-2", "1", scaleBody)
	waitDuty(t, p, 0, 2)
	leave()
	want(t, "status of the caller that left", <-leaves, 0)
	waitDuty(t, p, 1, 1)
	p.SetDutyFault(DutyFault{Kind: DutySilent}) // holds on
	c.advance(time.Minute)
	p.SetDutyFault(DutyFault{})
	want(t, "status of the caller that stayed", <-stays, 200)
	want(t, "record", outcomes(p), "0:false 200:true")
	got := p.DutyCalls()[1]
	want(t, "time held", got.At.Sub(got.Received), time.Minute)
}

func TestSilentPlatformIsReleasedIntoAnotherFault(t *testing.T) {
	p := platform(t, Options{})
	p.SetDutyFault(DutyFault{Kind: DutySilent})
	status := callLater(t.Context(), t, p, "usage", "front-1", "1", usageBody)
	waitDuty(t, p, 0, 1)
	p.SetDutyFault(DutyFault{Kind: DutyDown})
	want(t, "status", <-status, 500)
	waitDuty(t, p, 1, 0)
}

func TestDutyFaultsThatCloseConnection(t *testing.T) {
	for name, c := range map[string]struct {
		kind   DutyFaultKind
		err    error
		record string
		next   int // status of a lower token
	}{
		"reset":        {DutyReset, syscall.ECONNRESET, "0:false", 200},
		"lost answers": {DutyLostAnswers, io.EOF, "200:true", 409},
	} {
		t.Run(name, func(t *testing.T) {
			p := platform(t, Options{FenceChecks: true})
			p.SetDutyFault(DutyFault{Kind: c.kind})
			status, err := send(dutyRequest(t.Context(), p, "usage", "front-1", "9", usageBody))
			want(t, "status", status, 0)
			want(t, fmt.Sprintf("error %v is %v", err, c.err), errors.Is(err, c.err), true)
			want(t, "record", outcomes(p), c.record)
			p.SetDutyFault(DutyFault{})
			want(t, "status of a lower token", call(t, p, "usage", "front-2", "8", usageBody), c.next)
		})
	}
}

// timers has the timers of a platform end when a test sends on a channel.
type timers struct {
	started chan time.Duration
	end     chan time.Time
}

func newTimers() *timers { return &timers{make(chan time.Duration, 10), make(chan time.Time)} }

func (ts *timers) after(d time.Duration) <-chan time.Time {
	ts.started <- d
	return ts.end
}

func TestSlowPlatform(t *testing.T) {
	for _, first := range []bool{false, true} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("decided first %v, caller leaves %v", first, leaves), func(t *testing.T) {
				ts := newTimers()
				p := platform(t, Options{After: ts.after})
				p.SetDutyFault(DutyFault{Kind: DutySlow, Delay: time.Hour, DecidedFirst: first})
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				status := callLater(ctx, t, p, "usage", "front-1", "1", usageBody)
				want(t, "delay", <-ts.started, time.Hour)
				want(t, "decided during the delay", len(p.DutyCalls()) == 1, first)
				if leaves {
					leave()
					want(t, "status", <-status, 0)
				}
				ts.end <- time.Time{}
				if !leaves {
					want(t, "status", <-status, 200)
				}
				waitDuty(t, p, 1, 0)
				want(t, "record", outcomes(p), "200:true")
			})
		}
	}
}

func TestCloseEndsHeldAndDelayedCalls(t *testing.T) {
	ts := newTimers()
	p := platform(t, Options{After: ts.after})
	var statuses []<-chan int
	for i, f := range []DutyFault{{Kind: DutySlow}, {Kind: DutySlow, DecidedFirst: true}, {Kind: DutySilent}} {
		p.SetDutyFault(f)
		statuses = append(statuses, callLater(t.Context(), t, p, "usage", "front-1", fmt.Sprint(i), usageBody))
		if f.Kind == DutySlow {
			<-ts.started
		}
	}
	waitDuty(t, p, 1, 1)
	p.Close()
	for _, status := range statuses {
		want(t, "status", <-status, 0)
	}
	want(t, "calls", len(p.DutyCalls()), 3)
	p.Close()
}

func TestDutyFaultsAreSetDuringCalls(t *testing.T) {
	p := platform(t, Options{FenceChecks: true})
	const callers, each = 4, 20
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := range each {
				_, _ = send(dutyRequest(t.Context(), p, "usage", fmt.Sprint("front-", i), fmt.Sprint(n), usageBody))
			}
		})
	}
	done := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for kind := NoDutyFault; ; kind = (kind + 1) % (DutyLostAnswers + 1) {
			select {
			case <-done:
				p.SetDutyFault(DutyFault{})
				return
			default:
				p.SetDutyFault(DutyFault{Kind: kind, DecidedFirst: kind%2 == 0})
			}
		}
	})
	wg.Wait()
	close(done)
	faults.Wait()
	waitDuty(t, p, callers*each, 0)
	highest := int64(0)
	for _, c := range p.DutyCalls() {
		if c.Applied && c.Token < highest {
			t.Fatalf("%v was applied below token %d", c, highest)
		}
		if c.Applied {
			highest = c.Token
		}
	}
}

func TestWaitDutyCallsEndsWithContext(t *testing.T) {
	p := platform(t, Options{})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	want(t, "error", p.WaitDutyCalls(ctx, func([]DutyCall, int) bool { return false }), context.Canceled)
}
