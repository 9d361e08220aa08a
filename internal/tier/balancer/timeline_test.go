package balancer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/discovery"
)

var start = time.Unix(1000, 0)

// parseHost parses a host of a list: "name zone capacity", then optionally "draining" and the warm-up time in ms. The
// service is the part of the name before the dash.
func parseHost(text string) discovery.Host {
	fields := strings.Fields(text)
	service, _, _ := strings.Cut(fields[0], "-")
	h := discovery.Host{ID: fields[0], Service: service, Zone: fields[1], Phase: discovery.Ready}
	h.Capacity, _ = strconv.Atoi(fields[2])
	for _, option := range fields[3:] {
		if option == "draining" {
			h.Phase = discovery.Draining
		} else {
			h.WarmupMs, _ = strconv.Atoi(option)
		}
	}
	return h
}

// parseHosts parses a list of hosts, separated by commas.
func parseHosts(text string) (hosts []discovery.Host) {
	for one := range strings.SplitSeq(text, ",") {
		if one = strings.TrimSpace(one); one != "" {
			hosts = append(hosts, parseHost(one))
		}
	}
	return hosts
}

// outcomes by their names in timelines.
var outcomes = map[string]Outcome{"success": Success, "at-capacity": AtCapacity, "connect-failed": ConnectFailed,
	"response-broken": ResponseBroken, "timed-out": TimedOut, "misdirected": Misdirected, "inconclusive": Inconclusive}

// runTimeline runs a timeline for a relay in zone z, one event per line: "MS EVENT", and the expected result after an arrow.
//
//	hosts LIST                    the host list; the hosts closed by it
//	pick [k=v ...]                a call: service (default "a"), program, prefix, tried (ids joined by +), hostqueue, contended; its host
//	end HOST OUTCOME              the end of a call
//	load HOST RUNNING/WAITING     a load report
//	close HOST, keepalive HOST    a response closed its connection, or did not
//	inflight SERVICE              calls in flight
//	capacity SERVICE              capacity and load
func runTimeline(t *testing.T, maxInFlight int, timeline string) {
	t.Helper()
	r := &timelineRun{Balancer: New("z", maxInFlight, 7), known: map[string]*Host{}}
	for n, line := range strings.Split(strings.TrimSpace(timeline), "\n") {
		line, expected, _ := strings.Cut(line, "->")
		at, line, _ := strings.Cut(strings.TrimSpace(line), " ")
		ms, err := strconv.Atoi(at)
		if err != nil {
			t.Fatalf("line %d: %v", n+1, err)
		}
		event, arguments, _ := strings.Cut(strings.TrimSpace(line), " ")
		got, ok := r.run(start.Add(time.Duration(ms)*time.Millisecond), event, arguments)
		if !ok {
			t.Fatalf("line %d: no event %q", n+1, event)
		}
		if expected = strings.TrimSpace(expected); got != expected {
			t.Fatalf("line %d: %q gives %q, want %q", n+1, line, got, expected)
		}
	}
}

// timelineRun is the state of a timeline.
type timelineRun struct {
	*Balancer
	known map[string]*Host // by id, also after they are unlisted
}

// run runs an event and returns its result. It reports whether there is such an event.
func (r *timelineRun) run(now time.Time, event, arguments string) (result string, ok bool) {
	fields := strings.Fields(arguments)
	switch event {
	case "hosts":
		var closed []string
		for _, h := range r.UpdateHosts(parseHosts(arguments), now) {
			closed = append(closed, h.ID)
		}
		slices.Sort(closed)
		for _, listed := range parseHosts(arguments) {
			r.known[listed.ID] = r.Lookup(listed.ID)
		}
		return strings.Join(closed, " "), true
	case "pick":
		h := r.Pick(parsePickInfo(fields), now)
		if h == nil {
			return "none", true
		}
		r.CallStarted(h)
		return h.ID, true
	case "end":
		r.CallEnded(r.known[fields[0]], outcomes[fields[1]], now)
	case "load":
		running, waiting, _ := strings.Cut(fields[1], "/")
		runningCalls, _ := strconv.Atoi(running)
		waitingCalls, _ := strconv.Atoi(waiting)
		r.ReportLoad(r.known[fields[0]], runningCalls, waitingCalls, now)
	case "close", "keepalive":
		r.ObserveClose(r.known[fields[0]], event == "close", now)
	case "inflight":
		return fmt.Sprint(r.InFlight(fields[0])), true
	case "capacity":
		capacity, load := r.Capacity(fields[0], now)
		return fmt.Sprintf("%.1f %.1f", capacity, load), true
	default:
		return "", false
	}
	return "", true
}

func parsePickInfo(fields []string) PickInfo {
	info := PickInfo{Service: "a"}
	for _, field := range fields {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "service":
			info.Service = value
		case "program":
			info.Program = value
		case "prefix":
			info.PromptPrefix = value
		case "tried":
			info.Tried = strings.Split(value, "+")
		case "hostqueue":
			info.AllowHostQueue = true
		case "contended":
			info.Contended = true
		}
	}
	return info
}

func TestBalancerTimelines(t *testing.T) {
	for name, c := range map[string]struct {
		maxInFlight int
		timeline    string
	}{
		"least loaded host is picked": {99, `
			0 hosts a-1 z 4, a-2 z 9
			0 pick -> a-2
			0 pick -> a-2
			0 pick -> a-1
			0 pick -> a-2
			0 inflight a -> 4
			5 capacity a -> 13.0 4.0
			9 end a-1 success
			9 pick -> a-1`},
		"capacity, and host queue on request": {99, `
			0 hosts a-1 z 2
			0 pick -> a-1
			0 pick -> a-1
			0 pick -> none
			0 pick hostqueue -> a-1
			0 pick hostqueue -> none
			1 end a-1 success
			1 pick -> none
			2 end a-1 success
			2 pick -> a-1`},
		"own zone until its utilization is higher by the penalty": {99, `
			0 hosts a-1 z 15, a-2 y 15
			0 pick -> a-1
			0 pick -> a-1
			0 pick -> a-2
			0 pick -> a-1
			0 pick -> a-2`},
		"reported load fades": {99, `
			0 hosts a-1 z 8, a-2 z 8
			0 pick tried=a-2 -> a-1
			0 load a-1 5/2
			0 end a-1 success
			1 pick -> a-2
			1 pick -> a-2
			1 pick -> a-2
			1 capacity a -> 16.0 9.0
			1 end a-2 success
			1 end a-2 success
			1 end a-2 success
			1999 pick tried=a-2 -> a-1
			2001 capacity a -> 16.0 1.0`},
		"reported load counts own calls once": {99, `
			0 hosts a-1 z 8
			0 pick -> a-1
			0 pick -> a-1
			0 load a-1 2/0
			0 capacity a -> 8.0 2.0
			0 load a-1 6/1
			0 capacity a -> 8.0 7.0`},
		"backoff after at-capacity": {99, `
			0 hosts a-1 z 8, a-2 z 4
			0 pick -> a-1
			0 end a-1 at-capacity
			1 pick -> a-2
			1 pick -> a-2
			1 pick -> a-2
			1 pick -> a-2
			1 pick -> none
			39 pick -> none
			1900 pick -> a-1`},
		"draining and unlisted hosts get no calls": {99, `
			0 hosts a-1 z 4, a-2 z 4
			0 pick tried=a-1 -> a-2
			1 hosts a-1 z 4, a-2 z 4 draining -> a-2
			1 pick tried=a-1 -> a-1
			2 hosts a-1 z 4 draining, a-2 z 4 draining -> a-1
			2 pick -> none
			3 hosts a-2 z 4 draining
			3 pick hostqueue -> none
			4 hosts a-2 z 4
			4 pick -> a-2
			5 hosts -> a-2
			5 pick -> none
			6 inflight a -> 3
			6 end a-2 success
			6 end a-2 success
			6 end a-1 success
			6 inflight a -> 0`},
		"new incarnation at the same address is not ejected": {99, `
			0 hosts a-1 z 4
			0 pick -> a-1
			0 end a-1 connect-failed
			1 hosts a-1 z 4, a-9 z 4
			1 pick -> a-9
			2 hosts a-9 z 4 -> a-1
			2 pick -> a-9`},
		"ejection after connect failures backs off exponentially": {99, `
			0 hosts a-1 z 4, a-2 z 90
			0 pick tried=a-2 -> a-1
			0 end a-1 connect-failed
			1 pick tried=a-2 -> a-1
			1 end a-1 inconclusive
			249 pick tried=x -> a-2
			249 end a-2 success
			251 pick tried=a-2 -> a-1
			251 end a-1 connect-failed
			740 pick -> a-2
			752 pick tried=a-2 -> a-1
			752 end a-1 success`},
		"ejection after three time-outs in a row": {999, `
			0 hosts a-1 z 900, a-2 z 9
			0 pick -> a-1
			0 end a-1 timed-out
			0 pick -> a-1
			0 end a-1 timed-out
			0 pick -> a-1
			1 end a-1 success
			2 pick -> a-1
			2 end a-1 timed-out
			2 pick -> a-1
			2 end a-1 timed-out
			2 pick -> a-1
			2 end a-1 timed-out
			2 pick -> a-2
			251 pick -> a-2
			252 pick -> a-1`},
		"ejection after two broken responses in a row": {999, `
			0 hosts a-1 z 900, a-2 z 9
			0 pick -> a-1
			0 end a-1 response-broken
			0 pick -> a-1
			0 end a-1 inconclusive
			9 pick -> a-1
			9 end a-1 response-broken
			9 pick -> a-2`},
		"old failures are forgotten": {999, `
			0 hosts a-1 z 900, a-2 z 9
			0 pick -> a-1
			0 end a-1 response-broken
			10002 pick -> a-1
			10002 end a-1 response-broken
			10002 pick -> a-1`},
		"ejection after misdirected response": {99, `
			0 hosts a-1 z 90, a-2 z 1
			0 pick -> a-1
			0 end a-1 misdirected
			1 pick -> a-2
			2 end a-2 success
			4999 pick -> a-2
			4999 end a-2 success
			5001 pick -> a-1`},
		"ejected hosts are picked if there is no other": {99, `
			0 hosts a-1 z 4, a-2 z 4
			0 pick tried=a-2 -> a-1
			0 pick tried=a-1 -> a-2
			0 end a-1 connect-failed
			0 end a-2 success
			1 pick -> a-2
			1 end a-2 connect-failed
			2 pick tried=a-2 -> a-1
			2 pick tried=a-1+a-2 -> a-2`},
		"slow start": {99, `
			0 hosts a-1 z 8 2000
			0 capacity a -> 4.0 0.0
			1000 capacity a -> 6.0 0.0
			2000 capacity a -> 8.0 0.0`},
		"host that closes repeatedly is avoided": {99, `
			0 hosts a-1 z 90, a-2 z 9
			0 close a-1
			0 pick -> a-1
			1 keepalive a-1
			1 close a-1
			1 pick -> a-1
			2 close a-1
			2 pick -> a-2
			2001 pick -> a-2
			2002 pick -> a-1
			2003 close a-1
			2003 pick -> a-2
			2004 hosts a-1 z 90 -> a-2
			2004 pick -> a-1`},
		"services are independent": {99, `
			0 hosts a-1 z 1, b-1 z 1
			0 pick service=b -> b-1
			0 pick service=b -> none
			0 pick service=c -> none
			0 pick -> a-1`},
		"in-flight calls are bounded": {3, `
			0 hosts a-1 z 8, a-2 z 8, b-1 z 8
			0 pick tried=a-2 -> a-1
			0 pick tried=a-1 -> a-2
			0 pick service=b -> b-1
			0 pick -> none
			0 pick hostqueue -> none
			1 end b-1 success
			1 pick tried=a-2 -> a-1`},
		"host share of in-flight calls is bounded": {8, `
			0 hosts a-1 z 99, a-2 z 99
			0 pick tried=a-2 -> a-1
			0 pick tried=a-2 -> a-1
			0 pick tried=a-2 -> a-1
			0 pick tried=a-2 -> a-1
			0 pick tried=a-2 contended -> none
			0 pick tried=a-2 -> a-1
			0 pick tried=a-2 -> none
			0 pick -> a-2
			0 pick contended -> a-2
			0 pick -> a-2
			0 pick -> none`},
		"single host may have all in-flight calls": {4, `
			0 hosts a-1 z 99
			0 pick -> a-1
			0 pick -> a-1
			0 pick -> a-1
			0 pick contended -> a-1
			0 pick -> none`},
		"affinity with bounded load": {99, `
			0 hosts a-1 z 9, a-2 z 9, a-3 z 9, a-4 y 9
			0 pick program=x -> a-3
			0 pick program=x -> a-3
			0 pick program=y -> a-2
			0 pick program=x -> a-3
			0 pick program=x -> a-3
			0 pick program=x -> a-3
			0 pick program=x -> a-3
			0 pick program=x -> a-2
			0 pick program=x tried=a-2 -> a-1
			1 end a-3 success
			1 pick program=x -> a-3`},
		"affinity with a single host": {99, `
			0 hosts a-1 z 10
			0 pick program=x -> a-1
			0 pick program=y -> a-1
			0 pick prefix=z -> a-1`},
	} {
		t.Run(name, func(t *testing.T) { runTimeline(t, c.maxInFlight, c.timeline) })
	}
}
