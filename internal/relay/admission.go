package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/front/httpapi"
	"larchrouter/internal/relay/journal"
)

const (
	maxBody           = 64 << 10
	maxTokenBytes     = 200            // of an id or a key
	maxDeadline       = 24 * time.Hour // a longer deadline is malformed
	defaultRetryAfter = time.Second    // if the engine gives none
	// A client leaves after clientTimeout; a message admitted later than this would only be withdrawn again.
	maxAdmissionDelay = 300 * time.Millisecond
	// A client is owed a response or a close in 3 s from connecting, however little it sends.
	readTimeout     = 2 * time.Second // for a complete request
	writeTimeout    = 5 * time.Second // for its response to be written
	idleTimeout     = 3 * time.Second // of an idle connection; some clients never close theirs
	firstBodyBuffer = 4 << 10         // first buffer of a body
)

// admission is a message whose client waits for the response whether it is admitted.
type admission struct {
	entry     *journal.Entry
	class     int
	arrivedAt time.Duration
	deadline  time.Duration
	ctx       context.Context // of the client's request
	reply     chan response
}

// response is what a client's request is answered.
type response struct {
	status  int
	after   time.Duration // Retry-After
	text    string
	forward bool // the request goes to the successor
}

// handler serves the clients' requests, and those that an earlier owner forwards.
func (r *Relay) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /up", r.doors.ServeUp)
	mux.HandleFunc("POST /api", r.serveAPI)
	if r.standalone != nil {
		mux.HandleFunc("GET /api/{id...}", r.serveMessage)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if status, text := framingError(req); status != 0 {
			w.Header().Set("Connection", "close") // what follows on the connection may be part of this body
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

// serveAPI accepts a message, and answers once the loop has decided about it.
func (r *Relay) serveAPI(w http.ResponseWriter, req *http.Request) {
	arrivedAt := r.now()
	in, status, err := r.parseRequest(req, arrivedAt)
	if err != nil {
		rejectUnread(w, status, err)
		return
	}
	defer r.readingBytes.Add(-int64(cap(in.entry.Body)))
	httpapi.RequestRead(req.Context())
	var answer response
	select {
	case r.admissions <- in:
		answer = r.awaitResponse(in)
	default: // the loop would come to it too late for its client
		r.rejectedBusy.Add(1)
		answer = response{status: http.StatusServiceUnavailable, after: defaultRetryAfter, text: "busy"}
	}
	if answer.forward {
		r.forward(w, req, in.entry.Body)
		return
	}
	if answer.status == http.StatusAccepted && req.Context().Err() != nil {
		// The client left without a response and may submit the message again under another id.
		r.post(func() { r.withdraw(in.entry.ID) })
		return
	}
	if answer.after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(answer.after.Seconds(), 'f', 3, 64))
	}
	if answer.status == http.StatusAccepted {
		w.WriteHeader(answer.status)
		return
	}
	http.Error(w, answer.text, answer.status)
}

// awaitResponse returns the loop's response. A response from before the loop's end counts, and its message may be admitted;
// after the loop's end there is none.
func (r *Relay) awaitResponse(in *admission) response {
	select {
	case answer := <-in.reply:
		return answer
	case <-r.loopDone:
	}
	select {
	case answer := <-in.reply:
		return answer
	default:
		return response{status: http.StatusServiceUnavailable, after: defaultRetryAfter, text: "stopping"}
	}
}

// admit decides whether a message is admitted; the response 202 follows once the next step has recorded it.
func (r *Relay) admit(in *admission) {
	id := in.entry.ID
	refuse := response{status: http.StatusServiceUnavailable, after: defaultRetryAfter, text: "no room"}
	switch {
	case r.successor.Load() != nil:
		in.reply <- response{forward: true}
	case in.ctx.Err() != nil: // its client has left; its handler still waits, with one of the clients' connections
		in.reply <- refuse
	case r.pending[id] != nil && !r.pending[id].Same(in.entry), r.ended.has(id) && !r.ended.matches(in.entry):
		// Another client's message: it must not be taken for the one that has this id.
		in.reply <- response{status: http.StatusConflict, text: "X-Request-Id is in use"}
	case r.pending[id] != nil: // the client sent it again after its connection broke
		msg := r.pending[id]
		msg.resent = true
		if msg.waiting == nil {
			in.reply <- response{status: http.StatusAccepted}
		} else {
			msg.waiting = append(msg.waiting, in)
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
		msg := &message{Entry: in.entry, class: in.class, deadline: in.deadline, waiting: []*admission{in}}
		r.addPending(msg)
		r.admitted = append(r.admitted, msg)
		r.events = append(r.events, choice.Arrival{ID: id, Class: in.class, Dest: in.entry.Dest,
			Left: in.deadline - r.now(), Key: in.entry.Order})
	}
}

// withdraw ends a message whose client left before its response: it may submit the message again under another id. A
// message that was sent to a host, or submitted twice, stays, since its id may still be in use.
func (r *Relay) withdraw(id string) {
	if m := r.pending[id]; m != nil && m.Tries == 0 && !m.resent {
		r.events = append(r.events, choice.Withdrawn{ID: id})
		r.record(journal.Record{Op: journal.OpForget, ID: id})
		r.removePending(m)
	}
}
