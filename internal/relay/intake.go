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
	maxBody           = 64 << 10
	maxTokenBytes     = 200            // bytes of an id or a key
	maxDeadline       = 24 * time.Hour // a longer deadline is a mistake
	defaultRetryAfter = time.Second    // advice where the decisions give none
	// A client leaves after 400 ms; what is looked at later than this would only be withdrawn again.
	maxAdmissionDelay = 300 * time.Millisecond
	// A client is owed an answer or a close in 3 s from connecting, however little it sends.
	readTimeout     = 2 * time.Second // for a request to come in whole
	writeTimeout    = 5 * time.Second // for its answer to be written
	idleTimeout     = 3 * time.Second // for a client's idle connection; some are kept for good
	firstBodyBuffer = 4 << 10         // first buffer for a body
)

// admission is a message that waits for the answer whether it is taken on.
type admission struct {
	entry     *journal.Entry
	class     int
	arrivedAt time.Duration
	deadline  time.Duration
	ctx       context.Context // of the client's request
	reply     chan response
}

type response struct {
	status  int
	after   time.Duration // Retry-After
	text    string
	forward bool // to the process that has taken this one's place
}

func (r *Relay) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /up", r.doors.ServeUp)
	mux.HandleFunc("POST /api", r.serveAPI)
	if r.standalone != nil {
		mux.HandleFunc("GET /api/{id...}", r.serveMessage)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if status, text := framingError(req); status != 0 {
			w.Header().Set("Connection", "close") // what follows on it may be part of this body
			http.Error(w, text, status)
			return
		}
		if r.successor.Load() != nil {
			r.forwardToSuccessor(w, req)
			return
		}
		mux.ServeHTTP(w, req)
	})
}

// framingError tells what is wrong with the stated length of a request; it guards against another
// hidden in the body. Clients state Content-Length. net/http drops it where Transfer-Encoding
// stands beside it, and drops Transfer-Encoding from HTTP/1.0.
func framingError(req *http.Request) (status int, text string) {
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
	in, status, err := r.parseRequest(req, came)
	if err != nil {
		rejectUnread(w, status, err)
		return
	}
	defer r.readingBytes.Add(-int64(cap(in.entry.Body)))
	httpapi.RequestRead(req.Context())
	var a response
	select {
	case r.admissions <- in:
		a = r.awaitResponse(in)
	default: // it would be looked at too late for its client
		r.rejectedBusy.Add(1)
		a = response{status: http.StatusServiceUnavailable, after: defaultRetryAfter, text: "busy"}
	}
	if a.forward {
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

// awaitResponse is the loop's answer. What was decided before the loop's end counts, and may have been taken on; of what is
// not decided by then nothing is known, and nothing will be.
func (r *Relay) awaitResponse(in *admission) response {
	select {
	case a := <-in.reply:
		return a
	case <-r.loopDone:
	}
	select {
	case a := <-in.reply:
		return a
	default:
		return response{status: http.StatusServiceUnavailable, after: defaultRetryAfter, text: "stopping"}
	}
}

// rejectUnread answers a request that read or bodyOf did not take.
func rejectUnread(w http.ResponseWriter, status int, err error) {
	if errors.Is(err, errNoBodyMemory) {
		w.Header().Set("Retry-After", "1")
	}
	if errors.Is(err, errNoBodyMemory) || errors.Is(err, errBody) {
		w.Header().Set("Connection", "close") // the rest of the body is not waited for
	}
	http.Error(w, err.Error(), status)
}

// parseRequest checks a request; its error is the client's.
func (r *Relay) parseRequest(req *http.Request, came time.Duration) (*admission, int, error) {
	bad := func(text string) (*admission, int, error) { return nil, http.StatusBadRequest, errors.New(text) }
	e := &journal.Entry{ID: req.Header.Get("X-Request-Id"), Class: req.Header.Get("X-Class"),
		Key: req.Header.Get("Idempotency-Key")}
	if !validToken(e.ID) {
		return bad("X-Request-Id is missing or malformed")
	}
	classes := r.classes.Load()
	class, ok := classes.current[e.Class]
	if !ok {
		return bad("X-Class is missing or unknown")
	}
	effect := classes.all[class].Effect
	if e.Effect = 1 + int(effect); e.Key != "" && !validToken(e.Key) || e.Key == "" && effect == choice.Keyed {
		return bad("Idempotency-Key is missing or malformed")
	}
	if r.standalone != nil {
		return r.parseStandaloneRequest(req, e, class, came)
	}
	if classes.all[class].Ordered {
		if e.Order = parseOrderKey(req); e.Order != "" && !validToken(e.Order) {
			return bad("the key of the order is malformed")
		}
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return bad("X-Deadline-Ms is missing or malformed")
	}
	dest, ok := parseDestination(req.Header.Get("X-Addressing"))
	if !ok {
		return bad("X-Addressing is missing or malformed")
	}
	e.Dest = dest
	return r.newAdmission(req, e, class, came, ms)
}

// newAdmission reads the body, and makes the intake.
func (r *Relay) newAdmission(req *http.Request, e *journal.Entry, class int, came time.Duration, ms int64) (_ *admission, status int, err error) {
	if e.Body, status, err = r.readRequestBody(req); err != nil {
		return nil, status, err
	}
	left := time.Duration(ms) * time.Millisecond
	e.Due = time.Now().Add(left - (r.now() - came)).UnixMilli()
	return &admission{entry: e, class: class, arrivedAt: came, deadline: came + left, ctx: req.Context(), reply: make(chan response, 1)}, 0, nil
}

// readRequestBody reads a request's body. It counts as being read until its capacity is taken off r.reading.
func (r *Relay) readRequestBody(req *http.Request) (body []byte, status int, err error) {
	switch body, err = r.readBody(req.Body, int(req.ContentLength)); {
	case err == nil:
		return body, 0, nil
	case errors.Is(err, errNoBodyMemory):
		return nil, http.StatusServiceUnavailable, err
	}
	return nil, http.StatusBadRequest, errBody
}

var (
	errNoBodyMemory = errors.New("no room")
	errBody         = errors.New("body could not be read")
)

// readBody reads a body of a stated length. Its buffer grows as bytes come, within what bodies
// being read may hold together, so that lengths that are only stated take no memory.
func (r *Relay) readBody(from io.Reader, size int) ([]byte, error) {
	var body []byte
	for len(body) < size {
		if len(body) == cap(body) {
			grown := min(size, max(firstBodyBuffer, 4*cap(body)))
			if more := int64(grown - cap(body)); r.readingBytes.Add(more) > r.maxBodyBytes {
				r.readingBytes.Add(-int64(grown))
				return nil, errNoBodyMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := io.ReadFull(from, body[len(body):cap(body)])
		if body = body[:len(body)+n]; err != nil {
			r.readingBytes.Add(-int64(cap(body)))
			return nil, err
		}
	}
	return body, nil
}

// validToken tells whether text can stand in a header and in a line of /receive-many.
func validToken(s string) bool {
	return s != "" && len(s) <= maxTokenBytes && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// orderCookie has the key of the order, as clients send it. The protocol page does not name it, as no class of that
// deployment keeps one; it is what the platform's clients were seen to send (docs/questions.md).
const orderCookie = "thread"

// parseOrderKey is the key of the order that a request names; empty for none.
func parseOrderKey(req *http.Request) string {
	if c, err := req.Cookie(orderCookie); err == nil {
		return c.Value
	}
	return ""
}

// parseDestination reads the number of the destination.
func parseDestination(s string) (int, bool) {
	for part := range strings.FieldsFuncSeq(s, func(c rune) bool { return c == ';' || c == ',' || c == ' ' }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.Atoi(v)
			return n, err == nil && n >= 0
		}
	}
	return 0, false
}

// admit decides with the next Step whether a message is taken on.
func (r *Relay) admit(in *admission) {
	id := in.entry.ID
	refuse := response{status: http.StatusServiceUnavailable, after: defaultRetryAfter, text: "no room"}
	switch {
	case r.successor.Load() != nil:
		in.reply <- response{forward: true}
	case in.ctx.Err() != nil: // its client has left; its handler waits, and holds one of the clients' connections
		in.reply <- refuse
	case r.pending[id] != nil && !r.pending[id].Same(in.entry), r.ended.has(id) && !r.ended.matches(in.entry):
		// Another client's message: it must not pass for the one that has this id.
		in.reply <- response{status: http.StatusConflict, text: "X-Request-Id is in use"}
	case r.pending[id] != nil: // the client sent it again after its connection broke
		m := r.pending[id]
		m.resent = true
		if m.waiting == nil {
			in.reply <- response{status: http.StatusAccepted}
		} else {
			m.waiting = append(m.waiting, in)
		}
	case r.ended.has(id):
		in.reply <- response{status: http.StatusAccepted}
	case !r.knownDestination(in.entry.Dest):
		in.reply <- response{status: http.StatusNotFound, text: "unknown destination"}
	case r.standalone != nil && !r.standalone.drains.AcceptsMessages():
		r.standalone.counters.countRejected()
		refuse.text = "the relay is being drained"
		in.reply <- refuse
	case r.now()-in.arrivedAt > maxAdmissionDelay:
		r.rejectedBusy.Add(1)
		refuse.text = "busy"
		in.reply <- refuse
	case r.stopped || r.settings.MaxHeld > 0 && len(r.pending) >= r.settings.MaxHeld || r.pendingNotices >= maxPendingNotices ||
		r.pendingBytes+int64(len(in.entry.Body)) > r.maxBodyBytes:
		if r.standalone != nil {
			r.standalone.counters.countRejected()
		}
		in.reply <- refuse
	default:
		m := &message{Entry: in.entry, class: in.class, deadline: in.deadline, waiting: []*admission{in}}
		r.addPending(m)
		r.admitted = append(r.admitted, m)
		r.events = append(r.events, choice.Arrival{ID: id, Class: in.class, Dest: in.entry.Dest, Left: in.deadline - r.now(), Key: in.entry.Order})
	}
}

// withdraw ends a message whose client left unanswered: it may hand it in again under
// another id. One that was sent, or came twice, goes on; its id may still be in use.
func (r *Relay) withdraw(id string) {
	if m := r.pending[id]; m != nil && m.Tries == 0 && !m.resent {
		r.events = append(r.events, choice.Withdrawn{ID: id})
		r.record(journal.Record{Op: journal.OpForget, ID: id})
		r.removePending(m)
	}
}

// endedMessages is a bounded memory of messages that have ended.
type endedMessages struct {
	capacity     int
	byID         map[string]endedMessage
	ring         []endedSlot
	next         int
	lastSequence uint64
}

// endedMessage is a message in the memory, endedSlot where it stands in the order of those. A endedSlot whose number is another's than its
// id has in the memory is empty: the id was removed, and perhaps put again.
type (
	endedMessage struct {
		checksum uint32
		sequence uint64
	}
	endedSlot struct {
		id       string
		sequence uint64
	}
)

func (s *endedMessages) has(id string) bool { _, ok := s.byID[id]; return ok }

func (s *endedMessages) matches(e *journal.Entry) bool { return s.byID[e.ID].checksum == e.Checksum() }

func (s *endedMessages) add(e *journal.Entry) {
	s.put(strings.Clone(e.ID), e.Checksum()) // what a header gave may hold on to all of the head
}

func (s *endedMessages) isCurrent(in endedSlot) bool {
	e, ok := s.byID[in.id]
	return ok && e.sequence == in.sequence
}

// each tells of all that it remembers, the oldest first.
func (s *endedMessages) each(tell func(id string, sum uint32)) {
	for _, part := range [...][]endedSlot{s.ring[s.next:], s.ring[:s.next]} {
		for _, in := range part {
			if s.isCurrent(in) {
				tell(in.id, s.byID[in.id].checksum)
			}
		}
	}
}

func (s *endedMessages) put(id string, sum uint32) {
	if s.byID == nil {
		s.byID = map[string]endedMessage{}
	}
	if e, again := s.byID[id]; again {
		s.byID[id] = endedMessage{sum, e.sequence}
		return
	}
	s.lastSequence++
	s.byID[id] = endedMessage{sum, s.lastSequence}
	if len(s.ring) < s.capacity {
		s.ring = append(s.ring, endedSlot{id, s.lastSequence})
		return
	}
	if old := s.ring[s.next]; s.isCurrent(old) {
		delete(s.byID, old.id)
	}
	s.ring[s.next] = endedSlot{id, s.lastSequence}
	s.next = (s.next + 1) % len(s.ring)
}

// remove forgets one.
func (s *endedMessages) remove(id string) { delete(s.byID, id) }
