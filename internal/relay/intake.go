package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
)

const (
	maxBody  = 64 << 10
	maxName  = 200              // bytes of an id or a key
	maxLeft  = 24 * time.Hour   // a longer deadline is a mistake
	comeBack = time.Second      // advice where the decisions give none
	headerIn = 5 * time.Second  // for a request to come in whole
	idleIn   = 60 * time.Second // for a client's idle connection
)

// intake is a message that waits for the answer whether it is taken on.
type intake struct {
	entry *entry
	class int
	due   time.Duration
	ctx   context.Context // of the client's request
	reply chan answer
}

type answer struct {
	status int
	after  time.Duration // Retry-After
	text   string
}

func (r *Relay) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /up", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /api", r.serveAPI)
	return mux
}

func (r *Relay) serveAPI(w http.ResponseWriter, req *http.Request) {
	came := r.now()
	in, status, err := r.read(w, req, came)
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	r.post(func() { r.take(in) })
	var a answer
	select {
	case a = <-in.reply:
	case <-r.quit:
		a = answer{status: http.StatusServiceUnavailable, after: comeBack, text: "stopping"}
	}
	if a.status == http.StatusAccepted && req.Context().Err() != nil {
		// The client left without an answer and may hand the message in again under another id.
		r.post(func() { r.withdraw(in.entry.ID) })
		return
	}
	if a.after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.after.Seconds(), 'f', 3, 64))
	}
	if a.status == http.StatusAccepted {
		w.WriteHeader(a.status)
		return
	}
	http.Error(w, a.text, a.status)
}

// read checks a request; its error is the client's.
func (r *Relay) read(w http.ResponseWriter, req *http.Request, came time.Duration) (*intake, int, error) {
	bad := func(text string) (*intake, int, error) { return nil, http.StatusBadRequest, errors.New(text) }
	e := &entry{ID: req.Header.Get("X-Request-Id"), Class: req.Header.Get("X-Class"),
		Key: req.Header.Get("Idempotency-Key")}
	if !isName(e.ID) {
		return bad("X-Request-Id is missing or malformed")
	}
	class := -1
	for i, k := range r.set.Classes {
		if k.Name == e.Class {
			class = i
		}
	}
	if class < 0 {
		return bad("X-Class is missing or unknown")
	}
	if e.Key != "" && !isName(e.Key) || e.Key == "" && r.set.Classes[class].Effect == choice.Keyed {
		return bad("Idempotency-Key is missing or malformed")
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxLeft.Milliseconds() {
		return bad("X-Deadline-Ms is missing or malformed")
	}
	dest, ok := destOf(req.Header.Get("X-Addressing"))
	if !ok {
		return bad("X-Addressing is missing or malformed")
	}
	e.Dest = dest
	e.Body, err = io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, http.StatusRequestEntityTooLarge, errors.New("body is over 64 KiB")
	}
	if err != nil {
		return bad("body could not be read")
	}
	left := time.Duration(ms) * time.Millisecond
	e.Due = time.Now().Add(left - (r.now() - came)).UnixMilli()
	return &intake{entry: e, class: class, due: came + left, ctx: req.Context(), reply: make(chan answer, 1)}, 0, nil
}

// isName tells whether text can stand in a header and in a line of /receive-many.
func isName(s string) bool {
	return s != "" && len(s) <= maxName && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// destOf reads the number of the destination.
func destOf(s string) (int, bool) {
	for part := range strings.FieldsFuncSeq(s, func(c rune) bool { return c == ';' || c == ',' || c == ' ' }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.Atoi(v)
			return n, err == nil && n >= 0
		}
	}
	return 0, false
}

// take decides with the next Step whether a message is taken on.
func (r *Relay) take(in *intake) {
	id := in.entry.ID
	refuse := answer{status: http.StatusServiceUnavailable, after: comeBack, text: "no room"}
	switch {
	case in.ctx.Err() != nil: // nobody waits for the answer any more
	case r.held[id] != nil: // the client sent it again after its connection broke
		m := r.held[id]
		m.twice = true
		if m.fresh == nil {
			in.reply <- answer{status: http.StatusAccepted}
		} else {
			m.fresh = append(m.fresh, in)
		}
	case r.past.has(id):
		in.reply <- answer{status: http.StatusAccepted}
	case !r.dests[in.entry.Dest]:
		in.reply <- answer{status: http.StatusNotFound, text: "unknown destination"}
	case r.stopped || r.set.MaxHeld > 0 && len(r.held) >= r.set.MaxHeld || r.owed >= maxOwed:
		in.reply <- refuse
	default:
		m := &message{entry: in.entry, class: in.class, due: in.due, fresh: []*intake{in}}
		r.held[id] = m
		r.fresh = append(r.fresh, m)
		r.events = append(r.events, choice.Arrival{ID: id, Class: in.class, Dest: in.entry.Dest, Left: in.due - r.now()})
	}
}

// withdraw ends a message whose client left unanswered: it may hand it in again under
// another id. One that was sent, or came twice, goes on; its id may still be in use.
func (r *Relay) withdraw(id string) {
	if m := r.held[id]; m != nil && m.Tries == 0 && !m.twice {
		r.events = append(r.events, choice.Withdrawn{ID: id})
		r.record(record{Op: opEnd, ID: id})
		m.over = true
		delete(r.held, id)
	}
}

// recent is a bounded memory of ids.
type recent struct {
	ids  map[string]bool
	ring []string
	next int
}

func (s *recent) has(id string) bool { return s.ids[id] }

func (s *recent) add(id string) {
	if s.ids == nil {
		s.ids, s.ring = map[string]bool{}, make([]string, 4096)
	}
	delete(s.ids, s.ring[s.next])
	s.ring[s.next] = id
	s.ids[id] = true
	s.next = (s.next + 1) % len(s.ring)
}
