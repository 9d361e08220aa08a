package feed

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/process"
)

func TestOutageLoggerLogsOnceForEachOutage(t *testing.T) {
	var output bytes.Buffer
	w := outageLogger{log: process.NewLogger(&output)}
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	lines := func(text string) int { return strings.Count(output.String(), text) }
	for outage := range 2 {
		began := time.Duration(outage) * time.Minute
		w.noteFailure(errors.New("connection refused"))
		w.noteUnusable(at(began), []string{"10.0.0.1:7"})
		w.noteUnusable(at(began+outageLogDelay-time.Millisecond), nil)
		if lines("no usable core node") != outage {
			t.Fatalf("logged before %v: %s", outageLogDelay, &output)
		}
		w.noteUnusable(at(began+outageLogDelay), []string{"10.0.0.1:7"})
		w.noteUnusable(at(began+2*outageLogDelay), []string{"10.0.0.1:7"})
		if lines("no usable core node") != outage+1 || lines("connection refused") != outage+1 || lines("10.0.0.1:7") != outage+1 {
			t.Fatalf("outage %d: %s", outage, &output)
		}
		w.noteUsable(at(began + 3*outageLogDelay))
		w.noteUsable(at(began + 4*outageLogDelay))
		if lines("core node usable again") != outage+1 {
			t.Fatalf("end of outage %d: %s", outage, &output)
		}
	}
	w.noteUnusable(at(time.Hour), nil)
	w.noteUsable(at(time.Hour + time.Second))
	if lines("msg=") != 4 {
		t.Errorf("a short outage is logged: %s", &output)
	}
}

// A follower logs an outage of all its core nodes once, with their addresses, and the end of the outage once.
func TestFollowerLogsThatNoCoreNodeAnswers(t *testing.T) {
	var output bytes.Buffer
	runTimelineWithLog(t, "a+b", `
		ms     commits  a           b           front
		0      few      down,joins  down,joins  .
		9000   .        up          .           v0
		11000  .        .           .           v1`, process.NewLogger(&output), nil)
	text := output.String()
	if strings.Count(text, "no usable core node: the tables are not updated") != 1 || !strings.Contains(text, "a:7000") ||
		strings.Count(text, "core node usable again") != 1 {
		t.Errorf("log: %s", text)
	}
}
