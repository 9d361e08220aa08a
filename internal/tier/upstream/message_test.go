package upstream

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

func TestBodySizes(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok(l.body); return true })
	for i, sizes := range [][]int{{}, {0}, {1}, {10, 5}, {maxJoinedBody, 1}, {1 << 20, 3, 200 << 10}} {
		r, all := get(fmt.Sprint(i)), ""
		for i, n := range sizes {
			p := strings.Repeat(string(rune('a'+i)), n)
			r.Body = append(r.Body, []byte(p))
			all += p
		}
		_, body, err := make1(s.Host, r, patient)
		want(t, "error", err, nil)
		if body != all {
			t.Errorf("parts of %v: %d bytes came back, not the %d that were sent", sizes, len(body), len(all))
		}
	}
	want(t, "connections", s.conns.Load(), 1)
}

func TestReportedLoad(t *testing.T) {
	for header, c := range map[string]struct {
		running, waiting, slots int
		ok                      bool
	}{"3,0,8": {3, 0, 8, true}, " 3, 2 ,8": {3, 2, 8, true}, "": {}, "3,1": {}, "x,1,2": {}, "-1,0,8": {}} {
		a := &Response{Header: http.Header{"X-Host-Load": {header}}}
		running, waiting, slots, ok := a.ReportedLoad()
		if want(t, "ok by "+header, ok, c.ok); c.ok {
			want(t, "running", running, c.running)
			want(t, "waiting", waiting, c.waiting)
			want(t, "slots", slots, c.slots)
		}
	}
}

// Hop-by-hop fields are dropped; those that decide what runs are passed on, whatever Connection names.
func TestIsHopByHop(t *testing.T) {
	named := []string{"x-mine, Keep-Alive", "x-attempt-id,Budget,program,previous"}
	for name, dropped := range map[string]bool{"Connection": true, "X-Mine": true, "Transfer-Encoding": true, "Content-Length": true,
		"X-Target-Instance": true, "X-Attempt-Id": false, "Budget": false, "Program": false, "Previous": false, "X-Model": false} {
		want(t, name+" dropped", IsHopByHop(name, named), dropped)
	}
}
