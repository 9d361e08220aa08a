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

// span is when a caller began to ask and had the answer, from the start of a history.
type span struct{ began, ended time.Duration }

// observedPut is one sending of a configuration. Status 0, 307 and 5xx prove nothing.
type observedPut struct {
	span
	node        int
	baseVersion int64
	version     int64
	body        string
	status      int
	text        string
}

// observedRead is one reading with a clear answer, from the operators' interface or from the feed. Version 0 is none.
type observedRead struct {
	span
	where   string
	feed    bool // from the feed, which may lag behind readings, but not behind what was acknowledged
	version int64
	body    string
}

// observedActivation is a version that a follower began to act on.
type observedActivation struct {
	at       time.Duration
	follower string
	began    time.Duration // of the follower's start
	version  int64
}

// history is what the callers of core nodes saw, to be checked against what the nodes promise. It is safe for concurrent use.
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

// newest is the newest version that was acknowledged so far, with the body; 0 for none.
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

// acknowledged is the newest version that had been acknowledged before a time.
func (h *history) acknowledged(before time.Duration) (version int64) {
	for _, o := range h.puts {
		if o.status == http.StatusOK && o.ended < before {
			version = max(version, o.version)
		}
	}
	return version
}

func (o *observedPut) rejected() bool { return o.status >= 400 && o.status < 500 }

// check returns every promise that the history shows broken, as text.
func (h *history) check() (broken []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	broken = append(broken, h.checkAcknowledgements()...)
	broken = append(broken, h.checkRejections()...)
	broken = append(broken, h.checkReads()...)
	broken = append(broken, h.checkFollowers()...)
	slices.Sort(broken)
	return slices.Compact(broken)
}

// checkOrders: two changes on one version are never both acknowledged; none that was acknowledged is ever refused.
func (h *history) checkAcknowledgements() (broken []string) {
	won := map[int64]observedPut{}
	for _, o := range h.puts {
		if o.status != http.StatusOK {
			continue
		}
		if other, some := won[o.baseVersion]; some && other.body != o.body {
			broken = append(broken, fmt.Sprintf("BOTH: versions %d and %d were both acknowledged on %d",
				min(other.version, o.version), max(other.version, o.version), o.baseVersion))
		}
		won[o.baseVersion] = o
	}
	for _, o := range h.puts {
		if w, some := won[o.baseVersion]; o.rejected() && some && w.body == o.body {
			broken = append(broken, fmt.Sprintf("REFUSED: version %d on %d was acknowledged, and refused by node %d at %v: %d %s",
				o.version, o.baseVersion, o.node, o.ended, o.status, o.text))
		}
	}
	return broken
}

// checkRejections: callers send valid changes on versions that were in force, so that only another change on the same
// version is a ground for a refusal.
func (h *history) checkRejections() (broken []string) {
	for _, o := range h.puts {
		if !o.rejected() {
			continue
		}
		ground := slices.ContainsFunc(h.puts, func(other observedPut) bool {
			return other.baseVersion == o.baseVersion && other.body != o.body && other.began < o.ended && !other.rejected()
		})
		if o.status != http.StatusPreconditionFailed || !ground {
			broken = append(broken, fmt.Sprintf("GROUNDLESS: version %d on %d was refused by node %d at %v, with no other change on %d: %d %s",
				o.version, o.baseVersion, o.node, o.ended, o.baseVersion, o.status, o.text))
		}
	}
	return broken
}

// checkReads: no reading is older than what was acknowledged, or read, before it began; all read what was sent and not refused.
func (h *history) checkReads() (broken []string) {
	refused, sent := map[string]bool{}, map[string]bool{}
	for _, o := range h.puts {
		sent[o.body] = true
		refused[o.body] = refused[o.body] || o.rejected()
	}
	for _, r := range h.reads {
		if least := h.acknowledged(r.began); r.version < least {
			broken = append(broken, fmt.Sprintf("OLD: %s returned version %d to a call of %v, after %d was acknowledged",
				r.where, r.version, r.began, least))
		}
		if r.version > 0 && !sent[r.body] {
			broken = append(broken, fmt.Sprintf("OTHER: %s returned a version %d that nobody sent", r.where, r.version))
		}
		if refused[r.body] {
			broken = append(broken, fmt.Sprintf("INFORCE: %s returned version %d, which was refused", r.where, r.version))
		}
	}
	return append(broken, h.checkReadMonotonicity()...)
}

// checkReadMonotonicity: a reading that began after another had ended is not older.
func (h *history) checkReadMonotonicity() (broken []string) {
	reads := slices.DeleteFunc(slices.Clone(h.reads), func(r observedRead) bool { return r.feed })
	byEnd := slices.SortedFunc(slices.Values(reads), func(a, b observedRead) int { return int(a.ended - b.ended) })
	byBegin := slices.SortedFunc(slices.Values(reads), func(a, b observedRead) int { return int(a.began - b.began) })
	least, next := int64(0), 0
	for _, r := range byBegin {
		for ; next < len(byEnd) && byEnd[next].ended < r.began; next++ {
			least = max(least, byEnd[next].version)
		}
		if r.version < least {
			broken = append(broken, fmt.Sprintf("BACK: %s returned version %d to a call of %v, after %d had been read",
				r.where, r.version, r.began, least))
		}
	}
	return broken
}

// checkFollowers: what a follower acts on never goes back, and is not older than what was acknowledged before it began.
func (h *history) checkFollowers() (broken []string) {
	last := map[string]int64{}
	for _, a := range h.activations {
		before, some := last[a.follower]
		if least := h.acknowledged(a.began); !some && a.version < least {
			broken = append(broken, fmt.Sprintf("OLD: follower %s began with version %d, after %d was acknowledged",
				a.follower, a.version, least))
		}
		if a.version < before {
			broken = append(broken, fmt.Sprintf("BACK: follower %s acted on version %d after %d", a.follower, a.version, before))
		}
		last[a.follower] = a.version
	}
	return broken
}

// played makes a history of lines "ORDER began-ended on version body status", "READ began-ended version body",
// "FEED began-ended version body", "ACT at follower began version"; times in ms.
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
		case "ORDER":
			_, err = fmt.Sscanf(line, "ORDER %d-%d %d %d %s %d", &a, &b, &o.baseVersion, &o.version, &o.body, &o.status)
			o.span = span{ms(a), ms(b)}
			h.addPut(o)
		case "READ", "FEED":
			_, err = fmt.Sscanf(line, f[0]+" %d-%d %d %s", &a, &b, &o.version, &o.body)
			h.addRead(observedRead{span{ms(a), ms(b)}, "a node", f[0] == "FEED", o.version, o.body})
		case "ACT":
			_, err = fmt.Sscanf(line, "ACT %d %s %d %d", &a, &s.follower, &b, &s.version)
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
		"all is well": {`ORDER 0-10 0 1 a 200
			ORDER 5-12 0 1 a 200
			READ 11-20 1 a
			ORDER 20-30 1 2 b 200
			ORDER 20-31 1 3 c 412
			ORDER 22-40 1 2 b 503
			READ 25-29 1 a
			READ 25-28 2 b
			READ 29-35 2 b
			FEED 29-35 1 a
			ACT 15 f 11 1
			ACT 35 f 11 2`, ""},
		"both acknowledged":                {"ORDER 0-10 0 1 a 200\nORDER 0-10 0 2 b 200", "BOTH"},
		"one number, two bodies":           {"ORDER 0-10 0 1 a 200\nORDER 0-10 0 1 b 200", "BOTH"},
		"sent again and refused":           {"ORDER 0-10 0 1 a 200\nORDER 20-30 0 1 a 412\nORDER 11-12 0 2 b 0", "REFUSED"},
		"refused, then acknowledged":       {"ORDER 0-10 0 1 a 412\nORDER 20-30 0 1 a 200\nORDER 0-12 0 2 b 0", "REFUSED"},
		"refused on a version in force":    {"ORDER 0-10 0 1 a 200\nORDER 20-30 1 2 b 412", "GROUNDLESS"},
		"valid and called invalid":         {"ORDER 0-10 0 1 a 200\nORDER 20-30 1 2 b 400", "GROUNDLESS"},
		"lost to one that came later":      {"ORDER 0-10 0 1 a 412\nORDER 20-30 0 2 b 200", "GROUNDLESS"},
		"read older than acknowledged":     {"ORDER 0-10 0 1 a 200\nORDER 20-30 1 2 b 200\nREAD 31-40 1 a", "OLD"},
		"none read after the first":        {"ORDER 0-10 0 1 a 200\nREAD 31-40 0 -", "OLD"},
		"fed older than acknowledged":      {"ORDER 0-10 0 1 a 200\nORDER 20-30 1 2 b 200\nFEED 31-40 1 a", "OLD"},
		"reads go back":                    {"ORDER 0-10 0 1 a 200\nORDER 20-90 1 2 b 0\nREAD 31-40 2 b\nREAD 41-42 1 a", "BACK"},
		"read of what nobody sent":         {"ORDER 0-10 0 1 a 200\nREAD 31-40 1 x", "OTHER"},
		"read of what was refused":         {"ORDER 0-10 0 1 a 503\nORDER 0-10 0 2 b 412\nREAD 31-40 2 b", "INFORCE"},
		"follower goes back":               {"ORDER 0-10 0 1 a 200\nORDER 20-30 1 2 b 200\nACT 15 f 11 2\nACT 16 f 11 1", "BACK"},
		"follower begins with what is old": {"ORDER 0-10 0 1 a 200\nORDER 20-30 1 2 b 200\nACT 45 f 40 1", "OLD"},
	} {
		t.Run(name, func(t *testing.T) {
			broken := parseHistory(t, one.text).check()
			if one.want == "" {
				if len(broken) > 0 {
					t.Fatal(broken)
				}
				return
			}
			if !slices.ContainsFunc(broken, func(b string) bool { return strings.HasPrefix(b, one.want) }) {
				t.Fatalf("found %v, wanted %s", broken, one.want)
			}
		})
	}
}

// versionOf returns the version in a configuration.
func versionOf(body string) int64 { return gjson.Get(body, "config_version").Int() }
