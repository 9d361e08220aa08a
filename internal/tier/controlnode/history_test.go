package controlnode

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"
)

// span is the interval of a call, from its start to its answer, since the start of a history.
type span struct{ began, ended time.Duration }

// observedPut is one attempt to put a configuration. Status 0, 307 and 5xx prove nothing about its outcome.
type observedPut struct {
	span
	node        int
	baseVersion int64
	version     int64
	body        string
	status      int
	text        string
}

// observedRead is one read with a definite answer, from the operator API or from the feed. Version 0 means no
// configuration.
type observedRead struct {
	span
	where   string
	feed    bool // from the feed, which may lag behind reads, but not behind acknowledged puts
	version int64
	body    string
}

// observedActivation records that a follower has activated a version.
type observedActivation struct {
	at       time.Duration
	follower string
	began    time.Duration // when the follower started
	version  int64
}

// history records what callers of core nodes observed, to check it against the guarantees of the nodes. It is safe for
// concurrent use.
type history struct {
	begin time.Time

	mu          sync.Mutex
	puts        []observedPut
	reads       []observedRead
	activations []observedActivation
}

func newHistory() *history { return &history{begin: time.Now()} }

func (h *history) now() time.Duration { return time.Since(h.begin) }

func (h *history) addPut(o observedPut) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.puts = append(h.puts, o)
}

func (h *history) addRead(r observedRead) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, r)
}

func (h *history) addActivation(a observedActivation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activations = append(h.activations, a)
}

// newestAcknowledged returns the newest version that was acknowledged so far, with its body; 0 for none.
func (h *history) newestAcknowledged() (version int64, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.puts {
		if o.status == http.StatusOK && o.version > version {
			version, body = o.version, o.body
		}
	}
	return version, body
}

// acknowledged returns the newest version that was acknowledged before a time.
func (h *history) acknowledged(before time.Duration) (version int64) {
	for _, o := range h.puts {
		if o.status == http.StatusOK && o.ended < before {
			version = max(version, o.version)
		}
	}
	return version
}

func (o *observedPut) rejected() bool { return o.status >= 400 && o.status < 500 }

// check returns a text for each violation of a guarantee in the history.
func (h *history) check() (violations []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations = append(violations, h.checkAcknowledgements()...)
	violations = append(violations, h.checkRejections()...)
	violations = append(violations, h.checkReads()...)
	violations = append(violations, h.checkFollowers()...)
	slices.Sort(violations)
	return slices.Compact(violations)
}

// checkAcknowledgements checks that no two changes with the same base version are both acknowledged, and that no change
// that was acknowledged is ever rejected.
func (h *history) checkAcknowledgements() (violations []string) {
	acked := map[int64]observedPut{}
	for _, o := range h.puts {
		if o.status != http.StatusOK {
			continue
		}
		if other, found := acked[o.baseVersion]; found && other.body != o.body {
			violations = append(violations, fmt.Sprintf("CONFLICT: versions %d and %d, both based on version %d, were acknowledged",
				min(other.version, o.version), max(other.version, o.version), o.baseVersion))
		}
		acked[o.baseVersion] = o
	}
	for _, o := range h.puts {
		if w, found := acked[o.baseVersion]; o.rejected() && found && w.body == o.body {
			violations = append(violations, fmt.Sprintf("ACKED-REJECTED: version %d based on %d was acknowledged, and rejected by node %d at %v: %d %s",
				o.version, o.baseVersion, o.node, o.ended, o.status, o.text))
		}
	}
	return violations
}

// checkRejections checks that rejections are justified: callers send valid changes whose base version was current, so a
// change may only be rejected because of another change with the same base version.
func (h *history) checkRejections() (violations []string) {
	for _, o := range h.puts {
		if !o.rejected() {
			continue
		}
		justified := slices.ContainsFunc(h.puts, func(other observedPut) bool {
			return other.baseVersion == o.baseVersion && other.body != o.body && other.began < o.ended && !other.rejected()
		})
		if o.status != http.StatusPreconditionFailed || !justified {
			violations = append(violations, fmt.Sprintf("UNJUSTIFIED: version %d based on %d was rejected by node %d at %v without another change based on %d: %d %s",
				o.version, o.baseVersion, o.node, o.ended, o.baseVersion, o.status, o.text))
		}
	}
	return violations
}

// checkReads checks that no read is older than what was acknowledged, or read, before it began, and that each read
// returns a configuration that was sent and not rejected.
func (h *history) checkReads() (violations []string) {
	rejected, sent := map[string]bool{}, map[string]bool{}
	for _, o := range h.puts {
		sent[o.body] = true
		rejected[o.body] = rejected[o.body] || o.rejected()
	}
	for _, r := range h.reads {
		if least := h.acknowledged(r.began); r.version < least {
			violations = append(violations, fmt.Sprintf("STALE: %s returned version %d to a call of %v, after %d was acknowledged",
				r.where, r.version, r.began, least))
		}
		if r.version > 0 && !sent[r.body] {
			violations = append(violations, fmt.Sprintf("UNSENT: %s returned a version %d that was never sent", r.where, r.version))
		}
		if rejected[r.body] {
			violations = append(violations, fmt.Sprintf("REJECTED-READ: %s returned version %d, which was rejected", r.where, r.version))
		}
	}
	return append(violations, h.checkReadMonotonicity()...)
}

// checkReadMonotonicity checks that a read that began after another one had ended is not older.
func (h *history) checkReadMonotonicity() (violations []string) {
	reads := slices.DeleteFunc(slices.Clone(h.reads), func(r observedRead) bool { return r.feed })
	byEnd := slices.SortedFunc(slices.Values(reads), func(a, b observedRead) int { return int(a.ended - b.ended) })
	byBegin := slices.SortedFunc(slices.Values(reads), func(a, b observedRead) int { return int(a.began - b.began) })
	least, next := int64(0), 0
	for _, r := range byBegin {
		for ; next < len(byEnd) && byEnd[next].ended < r.began; next++ {
			least = max(least, byEnd[next].version)
		}
		if r.version < least {
			violations = append(violations, fmt.Sprintf("REGRESSION: %s returned version %d to a call of %v, after %d had been read",
				r.where, r.version, r.began, least))
		}
	}
	return violations
}

// checkFollowers checks that the versions that a follower activates never decrease, and that the first is not older than
// what was acknowledged before the follower started.
func (h *history) checkFollowers() (violations []string) {
	last := map[string]int64{}
	for _, a := range h.activations {
		before, found := last[a.follower]
		if least := h.acknowledged(a.began); !found && a.version < least {
			violations = append(violations, fmt.Sprintf("STALE: follower %s started with version %d, after %d was acknowledged",
				a.follower, a.version, least))
		}
		if a.version < before {
			violations = append(violations, fmt.Sprintf("REGRESSION: follower %s activated version %d after %d", a.follower, a.version, before))
		}
		last[a.follower] = a.version
	}
	return violations
}

// parseHistory parses a history of lines "PUT began-ended base_version version body status",
// "READ began-ended version body", "FEED began-ended version body" and "ACTIVATE at follower began version"; times are
// in ms.
func parseHistory(t *testing.T, text string) *history {
	t.Helper()
	h := newHistory()
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		var a, b int64
		var o observedPut
		var s observedActivation
		var err error
		switch f[0] {
		case "PUT":
			_, err = fmt.Sscanf(line, "PUT %d-%d %d %d %s %d", &a, &b, &o.baseVersion, &o.version, &o.body, &o.status)
			o.span = span{ms(a), ms(b)}
			h.addPut(o)
		case "READ", "FEED":
			_, err = fmt.Sscanf(line, f[0]+" %d-%d %d %s", &a, &b, &o.version, &o.body)
			h.addRead(observedRead{span{ms(a), ms(b)}, "a node", f[0] == "FEED", o.version, o.body})
		case "ACTIVATE":
			_, err = fmt.Sscanf(line, "ACTIVATE %d %s %d %d", &a, &s.follower, &b, &s.version)
			s.at, s.began = ms(a), ms(b)
			h.addActivation(s)
		}
		if err != nil {
			t.Fatal(line, err)
		}
	}
	return h
}

func TestHistoryCheckDetectsViolations(t *testing.T) {
	for name, one := range map[string]struct{ text, want string }{
		"no violation": {`PUT 0-10 0 1 a 200
			PUT 5-12 0 1 a 200
			READ 11-20 1 a
			PUT 20-30 1 2 b 200
			PUT 20-31 1 3 c 412
			PUT 22-40 1 2 b 503
			READ 25-29 1 a
			READ 25-28 2 b
			READ 29-35 2 b
			FEED 29-35 1 a
			ACTIVATE 15 f 11 1
			ACTIVATE 35 f 11 2`, ""},
		"two changes of one base acknowledged": {"PUT 0-10 0 1 a 200\nPUT 0-10 0 2 b 200", "CONFLICT"},
		"one version with two bodies":          {"PUT 0-10 0 1 a 200\nPUT 0-10 0 1 b 200", "CONFLICT"},
		"acknowledged, then rejected":          {"PUT 0-10 0 1 a 200\nPUT 20-30 0 1 a 412\nPUT 11-12 0 2 b 0", "ACKED-REJECTED"},
		"rejected, then acknowledged":          {"PUT 0-10 0 1 a 412\nPUT 20-30 0 1 a 200\nPUT 0-12 0 2 b 0", "ACKED-REJECTED"},
		"rejected with a current base version": {"PUT 0-10 0 1 a 200\nPUT 20-30 1 2 b 412", "UNJUSTIFIED"},
		"valid but answered as invalid":        {"PUT 0-10 0 1 a 200\nPUT 20-30 1 2 b 400", "UNJUSTIFIED"},
		"rejected for a later change":          {"PUT 0-10 0 1 a 412\nPUT 20-30 0 2 b 200", "UNJUSTIFIED"},
		"read older than acknowledged":         {"PUT 0-10 0 1 a 200\nPUT 20-30 1 2 b 200\nREAD 31-40 1 a", "STALE"},
		"empty read after the first put":       {"PUT 0-10 0 1 a 200\nREAD 31-40 0 -", "STALE"},
		"feed older than acknowledged":         {"PUT 0-10 0 1 a 200\nPUT 20-30 1 2 b 200\nFEED 31-40 1 a", "STALE"},
		"reads regress":                        {"PUT 0-10 0 1 a 200\nPUT 20-90 1 2 b 0\nREAD 31-40 2 b\nREAD 41-42 1 a", "REGRESSION"},
		"read of an unsent configuration":      {"PUT 0-10 0 1 a 200\nREAD 31-40 1 x", "UNSENT"},
		"read of a rejected configuration":     {"PUT 0-10 0 1 a 503\nPUT 0-10 0 2 b 412\nREAD 31-40 2 b", "REJECTED-READ"},
		"follower regresses":                   {"PUT 0-10 0 1 a 200\nPUT 20-30 1 2 b 200\nACTIVATE 15 f 11 2\nACTIVATE 16 f 11 1", "REGRESSION"},
		"follower starts with a stale version": {"PUT 0-10 0 1 a 200\nPUT 20-30 1 2 b 200\nACTIVATE 45 f 40 1", "STALE"},
	} {
		t.Run(name, func(t *testing.T) {
			violations := parseHistory(t, one.text).check()
			if one.want == "" {
				if len(violations) > 0 {
					t.Fatal(violations)
				}
				return
			}
			if !slices.ContainsFunc(violations, func(b string) bool { return strings.HasPrefix(b, one.want) }) {
				t.Fatalf("found %v, want %s", violations, one.want)
			}
		})
	}
}

// versionOf returns the version in a configuration.
func versionOf(body string) int64 { return gjson.Get(body, "config_version").Int() }
