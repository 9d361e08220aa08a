package eventstream

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"larchrouter/internal/tier/budget"
)

// The model of resuming: a client asks for a stream, by several attempts if need be; each attempt is one answer, which a front makes
// of the runs of one or more hosts. Hosts break off anywhere, start anew, leave events out, reject or fail; the client may go, the
// front may be restarted in the middle. The front counts tokens in a ledger of the program's budget.

// planted is a fault of the front that the checks have to find.
type planted int

const (
	none planted = iota
	repeatsEvent
	skipsEvent
	passesPartOfEvent
	acceptsAnyRun
	sealOfSecondHost
	countsTwice
	forgetsContinuation
)

const (
	modelEventTokens = 2
	modelMaxAttempts = 2 // hosts for one answer
	modelTries       = 3 // attempts of the client
)

// run is what one host does with a request.
type run struct {
	seal     string
	rejects  bool // without running it
	text     string
	complete bool
}

// answer is what a client has got by one attempt.
type answer struct {
	seal     string
	text     string
	complete bool
	first    string // seal of the host that gave the first byte
}

// model is one drawn course.
type model struct {
	random *rand.Rand
	fault  planted
	events int
	runs   int
	ledger budget.Ledger
	handed int // tokens that the client has got, in all attempts
	trace  []string
}

func (m *model) logf(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf(format, args...))
}

// eventText returns an event, whose data differ between runs.
func (m *model) eventText(id, run int) string {
	version := ""
	if m.random.IntN(9) == 0 {
		version = "versions:" + strconv.Itoa(run) + "\n"
	}
	return fmt.Sprintf("%sid: %d\ndata: piece %d of run %d\n\n", version, id, id, run)
}

// host runs a request that goes on behind the event last. Only a continuation may be none: what the first host of an answer leaves
// out, no front can know.
func (m *model) host(last int, continuation bool) run {
	m.runs++
	r := run{seal: fmt.Sprint("seal-", m.runs), complete: true}
	first := last + 1
	switch n := m.random.IntN(12); {
	case n == 0:
		return run{rejects: true}
	case n == 1:
		return run{seal: r.seal} // breaks off at once
	case n == 2 && continuation:
		first = 1 // starts anew
	case n == 3 && continuation && last+2 <= m.events:
		first = last + 2 // leaves an event out
	case n == 4:
		r.text = ": comment\n\n"
	}
	for id := first; id <= m.events; id++ {
		r.text += m.eventText(id, m.runs)
	}
	if m.random.IntN(3) > 0 {
		r.text, r.complete = r.text[:m.random.IntN(len(r.text)+1)], false
	}
	return r
}

// attempt serves one attempt of the client, which has everything up to the event last and resumes behind it.
func (m *model) attempt(number, last int) (a answer, gone bool) {
	turn := fmt.Sprint("t", number)
	m.ledger.Add(budget.Entry{Turn: turn, Tokens: m.events * modelEventTokens})
	start := ""
	if last > 0 {
		start = strconv.Itoa(last)
	}
	splicer := NewSplicer(start, false, Limits{})
	counted := 0
	defer func() {
		used := splicer.Parser().Count() * modelEventTokens
		switch m.fault {
		case countsTwice:
			used += counted
		case forgetsContinuation:
			if counted > 0 {
				used = counted
			}
		}
		m.handed += strings.Count(a.text, "data: ") * modelEventTokens
		m.ledger.Add(budget.Entry{Turn: turn, Tokens: used, Settled: true})
	}()
	for hosts := 0; hosts < modelMaxAttempts; hosts++ {
		r := m.host(m.lastForHost(splicer), splicer.continuation)
		if m.fault == acceptsAnyRun || m.fault == repeatsEvent || m.fault == skipsEvent {
			splicer.continuation = false
		}
		m.logf("%s: host %+v", turn, r)
		if r.rejects {
			continue
		}
		if a.text == "" {
			a.seal, a.first = r.seal, r.seal
		} else if m.fault == sealOfSecondHost {
			a.seal = r.seal
		}
		ended, gone := m.pass(splicer, r, &a)
		if gone || ended && r.complete {
			a.complete = ended && r.complete && !gone
			return a, gone
		}
		if _, ok := splicer.LastEventID(); !ok {
			return a, false
		}
		counted = splicer.Parser().Count() * modelEventTokens
		splicer.BeginRun()
	}
	return a, false
}

// lastForHost returns the event behind which the next host is to go on.
func (m *model) lastForHost(s *Splicer) int {
	id, _ := s.LastEventID()
	last, _ := strconv.Atoi(id)
	switch {
	case m.fault == repeatsEvent && last > 0:
		last--
	case m.fault == skipsEvent && last > 0:
		last++
	}
	return last
}

// pass passes a run on in pieces. ended reports that it came to its end without a fault; gone that the client or the front went.
func (m *model) pass(s *Splicer, r run, a *answer) (ended, gone bool) {
	text := r.text
	for len(text) > 0 {
		n := 1 + m.random.IntN(min(len(text), 40))
		b, err := s.Write([]byte(text[:n]))
		if err != nil {
			m.logf("not taken: %v", err)
			return false, false
		}
		a.text += string(b)
		if text = text[n:]; m.random.IntN(200) == 0 {
			m.logf("the client goes, or the front")
			return false, true
		}
	}
	if !r.complete {
		if m.fault == passesPartOfEvent {
			a.text += string(s.pending.bytes[s.returned:])
		}
		return false, false
	}
	rest, err := s.Finish()
	a.text += string(rest)
	return err == nil, false
}

// check returns the breach of a rule by an answer to an attempt that goes on behind the event last, "" if there is none.
func (m *model) check(a answer, last int) string {
	if a.seal != a.first {
		return "MIXED: the seal of another host"
	}
	next := last + 1
	rest := a.text
	for rest != "" {
		event, behind, complete := strings.Cut(rest, "\n\n")
		if rest = behind; strings.HasPrefix(event, ":") {
			continue
		}
		if !complete {
			return fmt.Sprintf("ORDER: a part of an event: %q", event)
		}
		var id, piece, run int
		if strings.HasPrefix(event, "versions:") {
			_, event, _ = strings.Cut(event, "\n")
		}
		if n, _ := fmt.Sscanf(event, "id: %d\ndata: piece %d of run %d", &id, &piece, &run); n != 3 || id != next || piece != id {
			return fmt.Sprintf("ORDER: %q for event %d", event, next)
		}
		next++
	}
	if a.complete && next != m.events+1 {
		return fmt.Sprintf("ORDER: complete before event %d of %d", next, m.events)
	}
	return ""
}

// play plays a course and returns the first breach.
func (m *model) play() string {
	last := 0
	for number := 1; number <= modelTries; number++ {
		a, gone := m.attempt(number, last)
		m.logf("t%d gets %+v", number, a)
		if breach := m.check(a, last); breach != "" {
			return breach
		}
		if sum := m.ledger.Sum(); sum != m.handed || m.ledger.Open() > 0 {
			return fmt.Sprintf("BUDGET: %d tokens are counted, the client has %d", sum, m.handed)
		}
		if a.complete {
			return ""
		}
		if gone || m.random.IntN(2) == 0 { // the client asks from the start, or resumes
			last = 0
		} else {
			last += strings.Count(a.text, "data: ")
		}
	}
	return ""
}

func newModel(seed uint64, fault planted) *model {
	random := rand.New(rand.NewPCG(seed, 7))
	return &model{random: random, fault: fault, events: 1 + random.IntN(6)}
}

// TestDrawnCoursesOfResuming plays 2,000 courses, or as many as RESUME_COURSES says, from a seed that it prints.
func TestDrawnCoursesOfResuming(t *testing.T) {
	courses, first := uint64(2000), uint64(1)
	if n, err := strconv.ParseUint(os.Getenv("RESUME_COURSES"), 10, 64); err == nil {
		courses = n
	}
	t.Logf("%d courses from seed %d", courses, first)
	for seed := first; seed < first+courses; seed++ {
		m := newModel(seed, none)
		if breach := m.play(); breach != "" {
			t.Fatalf("seed %d: %s\n%s", seed, breach, strings.Join(m.trace, "\n"))
		}
	}
}

func TestDrawnCoursesFindPlantedFaults(t *testing.T) {
	for name, fault := range map[string]planted{"an event repeated": repeatsEvent, "an event skipped": skipsEvent,
		"part of an event": passesPartOfEvent, "any run accepted": acceptsAnyRun, "seal of the second host": sealOfSecondHost,
		"budget counted twice": countsTwice, "budget forgotten": forgetsContinuation} {
		found := ""
		for seed := uint64(1); seed <= 500 && found == ""; seed++ {
			found = newModel(seed, fault).play()
		}
		if found == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
