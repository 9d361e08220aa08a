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
	"larchrouter/internal/relay/front/httpapi"
	"larchrouter/internal/relay/journal"
)

const (
	maxBody  = 64 << 10
	maxName  = 200            // bytes of an id or a key
	maxLeft  = 24 * time.Hour // a longer deadline is a mistake
	comeBack = time.Second    // advice where the decisions give none
	// A client leaves after 400 ms; what is looked at later than this would only be withdrawn again.
	lookWithin = 300 * time.Millisecond
	// A client is owed an answer or a close in 3 s from connecting, however little it sends.
	requestIn = 2 * time.Second // for a request to come in whole
	answerIn  = 5 * time.Second // for its answer to be written
	idleIn    = 3 * time.Second // for a client's idle connection; some are kept for good
	growBody  = 4 << 10         // first buffer for a body
)

// intake is a message that waits for the answer whether it is taken on.
type intake struct {
	entry *journal.Entry
	class int
	came  time.Duration
	due   time.Duration
	ctx   context.Context // of the client's request
	reply chan answer
}

type answer struct {
	status int
	after  time.Duration // Retry-After
	text   string
	passOn bool // to the process that has taken this one's place
}

func (r *Relay) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /up", r.doors.ServeUp)
	mux.HandleFunc("POST /api", r.serveAPI)
	if r.alone != nil {
		mux.HandleFunc("GET /api/{id...}", r.serveEnd)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if status, text := unframed(req); status != 0 {
			w.Header().Set("Connection", "close") // what follows on it may be part of this body
			http.Error(w, text, status)
			return
		}
		if r.heir.Load() != nil {
			r.passOn(w, req)
			return
		}
		mux.ServeHTTP(w, req)
	})
}

// unframed tells what is wrong with the stated length of a request; it guards against another
// hidden in the body. Clients state Content-Length. net/http drops it where Transfer-Encoding
// stands beside it, and drops Transfer-Encoding from HTTP/1.0.
func unframed(req *http.Request) (status int, text string) {
	switch {
	case !req.ProtoAtLeast(1, 1):
		return http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"
	case len(req.TransferEncoding) > 0:
		return http.StatusBadRequest, "Transfer-Encoding is not taken"
	case req.ContentLength > maxBody:
		return http.StatusRequestEntityTooLarge, "body is over 64 KiB"
	}
	return 0, ""
}

func (r *Relay) serveAPI(w http.ResponseWriter, req *http.Request) {
	came := r.now()
	in, status, err := r.read(req, came)
	if err != nil {
		unread(w, status, err)
		return
	}
	defer r.reading.Add(-int64(cap(in.entry.Body)))
	httpapi.RequestRead(req.Context())
	var a answer
	select {
	case r.intakes <- in:
		a = r.await(in)
	default: // it would be looked at too late for its client
		r.busy.Add(1)
		a = answer{status: http.StatusServiceUnavailable, after: comeBack, text: "busy"}
	}
	if a.passOn {
		r.forward(w, req, in.entry.Body)
		return
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

// await is the loop's answer. What was decided before the loop's end counts, and may have been taken on; of what is
// not decided by then nothing is known, and nothing will be.
func (r *Relay) await(in *intake) answer {
	select {
	case a := <-in.reply:
		return a
	case <-r.over:
	}
	select {
	case a := <-in.reply:
		return a
	default:
		return answer{status: http.StatusServiceUnavailable, after: comeBack, text: "stopping"}
	}
}

// unread answers a request that read or bodyOf did not take.
func unread(w http.ResponseWriter, status int, err error) {
	if errors.Is(err, errNoRoom) {
		w.Header().Set("Retry-After", "1")
	}
	if errors.Is(err, errNoRoom) || errors.Is(err, errBody) {
		w.Header().Set("Connection", "close") // the rest of the body is not waited for
	}
	http.Error(w, err.Error(), status)
}

// read checks a request; its error is the client's.
func (r *Relay) read(req *http.Request, came time.Duration) (*intake, int, error) {
	bad := func(text string) (*intake, int, error) { return nil, http.StatusBadRequest, errors.New(text) }
	e := &journal.Entry{ID: req.Header.Get("X-Request-Id"), Class: req.Header.Get("X-Class"),
		Key: req.Header.Get("Idempotency-Key")}
	if !isName(e.ID) {
		return bad("X-Request-Id is missing or malformed")
	}
	classes := r.classes.Load()
	class, ok := classes.current[e.Class]
	if !ok {
		return bad("X-Class is missing or unknown")
	}
	effect := classes.all[class].Effect
	if e.Effect = 1 + int(effect); e.Key != "" && !isName(e.Key) || e.Key == "" && effect == choice.Keyed {
		return bad("Idempotency-Key is missing or malformed")
	}
	if r.alone != nil {
		return r.readAlone(req, e, class, came)
	}
	if classes.all[class].Ordered {
		if e.Order = orderOf(req); e.Order != "" && !isName(e.Order) {
			return bad("the key of the order is malformed")
		}
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
	return r.readRest(req, e, class, came, ms)
}

// readRest reads the body, and makes the intake.
func (r *Relay) readRest(req *http.Request, e *journal.Entry, class int, came time.Duration, ms int64) (_ *intake, status int, err error) {
	if e.Body, status, err = r.bodyOf(req); err != nil {
		return nil, status, err
	}
	left := time.Duration(ms) * time.Millisecond
	e.Due = time.Now().Add(left - (r.now() - came)).UnixMilli()
	return &intake{entry: e, class: class, came: came, due: came + left, ctx: req.Context(), reply: make(chan answer, 1)}, 0, nil
}

// bodyOf reads a request's body. It counts as being read until its capacity is taken off r.reading.
func (r *Relay) bodyOf(req *http.Request) (body []byte, status int, err error) {
	switch body, err = r.readBody(req.Body, int(req.ContentLength)); {
	case err == nil:
		return body, 0, nil
	case errors.Is(err, errNoRoom):
		return nil, http.StatusServiceUnavailable, err
	}
	return nil, http.StatusBadRequest, errBody
}

var (
	errNoRoom = errors.New("no room")
	errBody   = errors.New("body could not be read")
)

// readBody reads a body of a stated length. Its buffer grows as bytes come, within what bodies
// being read may hold together, so that lengths that are only stated take no memory.
func (r *Relay) readBody(from io.Reader, size int) ([]byte, error) {
	var body []byte
	for len(body) < size {
		if len(body) == cap(body) {
			grown := min(size, max(growBody, 4*cap(body)))
			if more := int64(grown - cap(body)); r.reading.Add(more) > r.bodies {
				r.reading.Add(-int64(grown))
				return nil, errNoRoom
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := io.ReadFull(from, body[len(body):cap(body)])
		if body = body[:len(body)+n]; err != nil {
			r.reading.Add(-int64(cap(body)))
			return nil, err
		}
	}
	return body, nil
}

// isName tells whether text can stand in a header and in a line of /receive-many.
func isName(s string) bool {
	return s != "" && len(s) <= maxName && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// orderCookie has the key of the order, as clients send it. The protocol page does not name it, as no class of that
// deployment keeps one; it is what the platform's clients were seen to send (docs/questions.md).
const orderCookie = "thread"

// orderOf is the key of the order that a request names; empty for none.
func orderOf(req *http.Request) string {
	if c, err := req.Cookie(orderCookie); err == nil {
		return c.Value
	}
	return ""
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
	case r.heir.Load() != nil:
		in.reply <- answer{passOn: true}
	case in.ctx.Err() != nil: // its client has left; its handler waits, and holds one of the clients' connections
		in.reply <- refuse
	case r.held[id] != nil && !r.held[id].Same(in.entry), r.past.has(id) && !r.past.is(in.entry):
		// Another client's message: it must not pass for the one that has this id.
		in.reply <- answer{status: http.StatusConflict, text: "X-Request-Id is in use"}
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
	case !r.knows(in.entry.Dest):
		in.reply <- answer{status: http.StatusNotFound, text: "unknown destination"}
	case r.alone != nil && !r.alone.book.AcceptsMessages():
		r.alone.count.turned()
		refuse.text = "the relay is being drained"
		in.reply <- refuse
	case r.now()-in.came > lookWithin:
		r.busy.Add(1)
		refuse.text = "busy"
		in.reply <- refuse
	case r.stopped || r.set.MaxHeld > 0 && len(r.held) >= r.set.MaxHeld || r.owed >= maxOwed ||
		r.bytes+int64(len(in.entry.Body)) > r.bodies:
		if r.alone != nil {
			r.alone.count.turned()
		}
		in.reply <- refuse
	default:
		m := &message{Entry: in.entry, class: in.class, due: in.due, fresh: []*intake{in}}
		r.hold(m)
		r.fresh = append(r.fresh, m)
		r.events = append(r.events, choice.Arrival{ID: id, Class: in.class, Dest: in.entry.Dest, Left: in.due - r.now(), Key: in.entry.Order})
	}
}

// withdraw ends a message whose client left unanswered: it may hand it in again under
// another id. One that was sent, or came twice, goes on; its id may still be in use.
func (r *Relay) withdraw(id string) {
	if m := r.held[id]; m != nil && m.Tries == 0 && !m.twice {
		r.events = append(r.events, choice.Withdrawn{ID: id})
		r.record(journal.Record{Op: journal.OpForget, ID: id})
		r.free(m)
	}
}

// recent is a bounded memory of messages that have ended.
type recent struct {
	most int
	sums map[string]ended
	ring []slot
	next int
	puts uint64
}

// ended is a message in the memory, slot where it stands in the order of those. A slot whose number is another's than its
// id has in the memory is empty: the id was removed, and perhaps put again.
type (
	ended struct {
		sum uint32
		put uint64
	}
	slot struct {
		id  string
		put uint64
	}
)

func (s *recent) has(id string) bool { _, ok := s.sums[id]; return ok }

func (s *recent) is(e *journal.Entry) bool { return s.sums[e.ID].sum == e.Checksum() }

func (s *recent) add(e *journal.Entry) {
	s.put(strings.Clone(e.ID), e.Checksum()) // what a header gave may hold on to all of the head
}

func (s *recent) holds(in slot) bool { e, ok := s.sums[in.id]; return ok && e.put == in.put }

// each tells of all that it remembers, the oldest first.
func (s *recent) each(tell func(id string, sum uint32)) {
	for _, part := range [...][]slot{s.ring[s.next:], s.ring[:s.next]} {
		for _, in := range part {
			if s.holds(in) {
				tell(in.id, s.sums[in.id].sum)
			}
		}
	}
}

func (s *recent) put(id string, sum uint32) {
	if s.sums == nil {
		s.sums = map[string]ended{}
	}
	if e, again := s.sums[id]; again {
		s.sums[id] = ended{sum, e.put}
		return
	}
	s.puts++
	s.sums[id] = ended{sum, s.puts}
	if len(s.ring) < s.most {
		s.ring = append(s.ring, slot{id, s.puts})
		return
	}
	if old := s.ring[s.next]; s.holds(old) {
		delete(s.sums, old.id)
	}
	s.ring[s.next] = slot{id, s.puts}
	s.next = (s.next + 1) % len(s.ring)
}

// remove forgets one.
func (s *recent) remove(id string) { delete(s.sums, id) }
