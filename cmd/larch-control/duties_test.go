package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// newDutiesAPI starts a core node that responds to GET /api/duties with a status and a body, and returns its address.
func newDutiesAPI(t *testing.T, status int, body string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/duties", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const callCounts = `{"accepted":12,"refused":0,"busy":1,"invalid":0,"not_sent":2,"unknown":3}`

// holderBody is the state of a holder that has a late window.
const holderBody = `{"node":"core-2","head":"core-2","epoch":7,"held":true,"holder":"core-2","token":1048583,"left_ms":2400,"wait_ms":0,` +
	`"cause":"","step_age_ms":120,"clock_offset_ms":-35,` +
	`"usage_report":{"expected":true,"unacknowledged_windows":[{"window":41,"ended_ms":11200,"late":true},{"window":42,"ended_ms":6200,"late":false}],` +
	`"last_recorded_window":42,"last_acknowledged_window":40,"outcomes":` + callCounts + `,` +
	`"calls":[{"time":"2026-01-02T03:04:05.006Z","age_ms":90,"path":"/usage","token":1048583,"outcome":"accepted","body":"{\"window_no\":40}"}]},` +
	`"autoscale":{"expected":true,"fronts":4,"most_fronts":5,` +
	`"subjects":[{"service":"engine","zone":"pier","in_force":4,"listed":3,"min":1,"max":9,"in_flight":2.55}],` +
	`"outcomes":` + callCounts + `,"calls":[{"time":"2026-01-02T03:04:00.001Z","age_ms":5100,"path":"/scale","token":1048583,"outcome":"accepted",` +
	`"body":"{\"target_service\":\"engine\",\"zone_name\":\"pier\",\"desired\":4}"}]},"outcomes":` + callCounts + `}`

// inactiveBody returns the state of a node that runs no singleton tasks, with the cause.
func inactiveBody(head, cause, wait string) string {
	const none = `{"accepted":0,"refused":0,"busy":0,"invalid":0,"not_sent":0,"unknown":0}`
	return `{"node":"core-1","head":"` + head + `","epoch":7,"held":false,"holder":"","token":0,"left_ms":0,"wait_ms":` + wait +
		`,"cause":"` + cause + `","step_age_ms":0,"clock_offset_ms":0,` +
		`"usage_report":{"expected":false,"unacknowledged_windows":[],"last_recorded_window":0,"last_acknowledged_window":0,"outcomes":` + none +
		`,"calls":[]},"autoscale":{"expected":false,"fronts":0,"most_fronts":0,"subjects":[],"outcomes":` + none + `,"calls":[]},"outcomes":` + none + `}`
}

const holderTable = `core-2 runs the singleton tasks, but window 41 is late: the platform has not acknowledged it; see the calls and the log
answered by  core-2
head         core-2
epoch        7
lease        held by core-2, 2400 ms left unless it is renewed
token        1048583
clock        -35 ms to the tier's time
last look    120 ms ago

DUTY          EXPECTED  ACCEPTED  REFUSED  BUSY  INVALID  NOT SENT  UNKNOWN
usage_report  yes       12        0        1     0        2         3
autoscale     yes       12        0        1     0        2         3

last window recorded      42
last window acknowledged  40

WINDOW  ENDED         LATE
41      11200 ms ago  yes
42      6200 ms ago   no

fronts heard  4 of 5

SERVICE  ZONE  IN FORCE  LISTED  MIN  MAX  IN FLIGHT
engine   pier  4         3       1    9    2.5

CALL    TIME                      TOKEN    OUTCOME   BODY
/usage  2026-01-02T03:04:05.006Z  1048583  accepted  {"window_no":40}
/scale  2026-01-02T03:04:00.001Z  1048583  accepted  {"target_service":"engine","zone_name":"pier","desired":4}
`

// inactiveTable returns the output for inactiveBody below the first line.
func inactiveTable(head string) string {
	return "answered by  core-1\n" + "head         " + head + "\n" + `epoch        7
lease        not held
token        0
clock        +0 ms to the tier's time
last look    0 ms ago

DUTY          EXPECTED  ACCEPTED  REFUSED  BUSY  INVALID  NOT SENT  UNKNOWN
usage_report  no        0         0        0     0        0         0
autoscale     no        0         0        0     0        0         0
`
}

func TestDutiesCommandPrintsEachState(t *testing.T) {
	for _, c := range []struct {
		name, body, stdout string
	}{
		{"holder", holderBody, holderTable},
		{"not expected", inactiveBody("core-1", "not_expected", "0"),
			"no singleton tasks are configured: the settings of core-1 name none (cloud_api.address, cloud_api.duty_list)\n" + inactiveTable("core-1")},
		{"no view", inactiveBody("", "no_view", "0"),
			"core-1 knows no head: ask another core node; at the very first start, set bootstrap: true\n" + inactiveTable("")},
		{"not head", inactiveBody("core-2", "not_head", "0"),
			"the view is changing: core-1 is no longer the head, core-2 is; ask again\n" + inactiveTable("core-2")},
		{"head silent", inactiveBody("core-2", "head_silent", "0"),
			"state unknown: the head, core-2, does not respond to core-1; ask again in a second, then ask another core node\n" + inactiveTable("core-2")},
		{"refused", inactiveBody("core-1", "refused", "0"),
			"singleton tasks paused: the platform has refused token 0 of core-1, as it has seen a higher one; " +
				"look for another control plane that calls it, or for a core that was re-created with an older clock\n" + inactiveTable("core-1")},
		{"stopping", inactiveBody("core-1", "stopping", "0"),
			"singleton tasks paused: core-1 is stopping; the next head continues at once\n" + inactiveTable("core-1")},
		{"view changes", inactiveBody("core-1", "view_changes", "0"),
			"singleton tasks paused: the view is changing; ask again, and check larch-control status if this persists\n" + inactiveTable("core-1")},
		{"no majority", inactiveBody("core-1", "no_majority", "0"),
			"singleton tasks paused: no majority of the core nodes confirms core-1; bring enough of them back, or ask another node\n" + inactiveTable("core-1")},
		{"just started", inactiveBody("core-1", "just_started", "2500"),
			"singleton tasks paused for another 2.5 s: core-1 has just started; no action is needed\n" + inactiveTable("core-1")},
		{"earlier head", inactiveBody("core-1", "earlier_head", "2500"),
			"singleton tasks paused for another 2.5 s: core-1 waits for the lease of the previous head to expire; no action is needed\n" + inactiveTable("core-1")},
		{"lease lost", inactiveBody("core-1", "lease_lost", "2500"),
			"singleton tasks paused for another 2.5 s: core-1 lost the lease and has just regained it; no action is needed unless the head changes often\n" +
				inactiveTable("core-1")},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := newDutiesAPI(t, http.StatusOK, c.body)
			if printed, err := runCommand(t, "duties", "--at", addr); printed != c.stdout || err != nil {
				t.Errorf("%v, printed\n%s\nwant\n%s", err, printed, c.stdout)
			}
			if printed, err := runCommand(t, "duties", "--json", "--at", addr); printed != c.body+"\n" || err != nil {
				t.Errorf("%v, printed\n%s", err, printed)
			}
		})
	}
}

func TestDutiesCommandReportsErrorResponse(t *testing.T) {
	addr := newDutiesAPI(t, http.StatusServiceUnavailable, `{"message":"this node stops: ask another"}`)
	printed, err := runCommand(t, "duties", "--at", addr)
	if printed != "" || err == nil || err.Error() != "GET /api/duties: 503: this node stops: ask another" {
		t.Errorf("%v, printed %s", err, printed)
	}
}
