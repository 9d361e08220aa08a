package eventstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

func numbered(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// Runs are joined behind the last complete event, or not at all.
func TestSplicerJoinsRuns(t *testing.T) {
	for name, c := range map[string]struct {
		after  string   // Last-Event-Id of the request
		runs   []string // all but the last break off
		want   string
		lastID string // behind which the last run went on
		fails  bool   // the last run is no continuation
	}{
		"one run":                        {"", []string{numbered(1, 3)}, numbered(1, 3), "", false},
		"between two events":             {"", []string{numbered(1, 2), numbered(3, 5)}, numbered(1, 5), "2", false},
		"inside an event":                {"", []string{numbered(1, 2) + "id: 3\ndata: pi", numbered(3, 5)}, numbered(1, 5), "2", false},
		"inside the empty line":          {"", []string{numbered(1, 2) + "id: 3\ndata: x\n", numbered(3, 5)}, numbered(1, 5), "2", false},
		"before the first event":         {"", []string{"id: 1\nda", numbered(1, 2)}, numbered(1, 2), "", false},
		"behind the last event":          {"", []string{numbered(1, 3), ""}, numbered(1, 3), "3", false},
		"twice":                          {"", []string{numbered(1, 1), numbered(2, 2), numbered(3, 4)}, numbered(1, 4), "2", false},
		"a comment first":                {"", []string{numbered(1, 1), ": hello\n\n" + numbered(2, 2)}, numbered(1, 1) + ": hello\n\n" + numbered(2, 2), "1", false},
		"a change of version first":      {"", []string{numbered(1, 1), "versions: 4\n" + numbered(2, 2)}, numbered(1, 1) + "versions: 4\n" + numbered(2, 2), "1", false},
		"a request that resumes":         {"4", []string{numbered(5, 6), numbered(7, 8)}, numbered(5, 8), "6", false},
		"a request that resumes, at 0":   {"4", []string{"", numbered(5, 8)}, numbered(5, 8), "4", false},
		"the new run starts anew":        {"", []string{numbered(1, 2), numbered(1, 5)}, numbered(1, 2), "2", true},
		"the new run leaves an event":    {"", []string{numbered(1, 2), numbered(4, 5)}, numbered(1, 2), "2", true},
		"the new run has no ids":         {"", []string{numbered(1, 2), "data: x\n\n"}, numbered(1, 2), "2", true},
		"the new run's end is no event":  {"", []string{numbered(1, 2), "id: 9\ndata: x"}, numbered(1, 2), "2", true},
		"the new run's end is an event":  {"", []string{numbered(1, 2), "id: 3\ndata: x"}, numbered(1, 2) + "id: 3\ndata: x", "2", false},
		"line ends with carriage return": {"", []string{"id: 1\r\ndata: x\r\n\r\nid", "id: 2\ndata: y\n\n"}, "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n", "1", false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, 2, 3, 5, 8, 4 << 10} {
				s := NewSplicer(c.after, false, Limits{})
				out, lastID, err := splice(t, s, c.runs, piece)
				if out != c.want || lastID != c.lastID && len(c.runs) > 1 {
					t.Errorf("in pieces of %d: %q behind %q, want %q behind %q", piece, out, lastID, c.want, c.lastID)
				}
				if errors.Is(err, ErrNoContinuation) != c.fails {
					t.Errorf("in pieces of %d: error %v", piece, err)
				}
			}
		})
	}
}

// A run that continues another one is not held back without end.
func TestSplicerBoundsFirstEventOfContinuation(t *testing.T) {
	runs := []string{numbered(1, 2), "id: 3\ndata: " + strings.Repeat("x", maxPendingBytes)}
	out, _, err := splice(t, NewSplicer("", false, Limits{}), runs, 4<<10)
	if out != runs[0] || !errors.Is(err, ErrNoContinuation) {
		t.Errorf("%d bytes came, error %v", len(out), err)
	}
}

// splice passes runs through a splicer in pieces.
func splice(t interface{ Fatalf(string, ...any) }, s *Splicer, runs []string, piece int) (out, lastID string, err error) {
	for i, run := range runs {
		if i > 0 {
			var ok bool
			if lastID, ok = s.LastEventID(); !ok {
				t.Fatalf("run %d cannot be continued", i)
			}
			s.BeginRun()
		}
		for len(run) > 0 {
			n := min(piece, len(run))
			b, err := s.Write([]byte(run[:n]))
			if err != nil {
				return out, lastID, err
			}
			out += string(b)
			run = run[n:]
		}
	}
	rest, err := s.Finish()
	return out + string(rest), lastID, err
}

// A stream whose events have no rising numbers, or one event that is too long to hold, is passed on and cannot be continued.
func TestSplicerPassesOnWhatCannotBeContinued(t *testing.T) {
	for name, text := range map[string]string{
		"no ids":      "data: x\n\ndata: y\n\n",
		"names":       "id: a\ndata: x\n\n",
		"gap":         numbered(1, 2) + numbered(4, 4),
		"repeated":    numbered(1, 2) + numbered(2, 2),
		"long":        "id: 1\ndata: " + strings.Repeat("x", maxPendingBytes+8<<10) + "\n\n",
		"long, twice": strings.Repeat("id: 1\ndata: "+strings.Repeat("x", maxPendingBytes+8<<10)+"\n\n", 2),
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSplicer("", true, Limits{})
			if out, _, err := splice(t, s, []string{text}, 4<<10); err != nil || out != text {
				t.Errorf("%d bytes of %d came, error %v", len(out), len(text), err)
			}
			if _, ok := s.LastEventID(); ok {
				t.Error("it could be continued")
			}
			if want := strings.Count(text, "data:"); s.Parser().Count() != want {
				t.Errorf("%d events, want %d", s.Parser().Count(), want)
			}
		})
	}
}

// A stream without a break passes unchanged, for all piece boundaries.
func TestSplicerKeepsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"\n", "\r\n", "id: 1\n", "id: 2\n", "data: x\n", "data:\r\n", ": c\n", "versions: 2\n", "\r"})
		text := strings.Join(rapid.SliceOf(line).Draw(t, "lines"), "")
		out, _, err := splice(t, NewSplicer("", false, Limits{}), []string{text}, rapid.IntRange(1, 9).Draw(t, "piece"))
		if err != nil || out != text {
			t.Fatalf("%q becomes %q, error %v", text, out, err)
		}
	})
}
