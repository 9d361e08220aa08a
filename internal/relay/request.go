package relay

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/journal"
)

// framingError returns the status and text for a request whose stated length is unusable, and status 0 for others. It
// guards against a request hidden in the body of another. Clients state Content-Length; net/http drops it if the request
// also has Transfer-Encoding, and drops Transfer-Encoding from HTTP/1.0.
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

// rejectUnread answers a request that parseRequest or readRequestBody did not accept.
func rejectUnread(w http.ResponseWriter, status int, err error) {
	if errors.Is(err, errNoBodyMemory) {
		w.Header().Set("Retry-After", "1")
	}
	if errors.Is(err, errNoBodyMemory) || errors.Is(err, errBody) {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	http.Error(w, err.Error(), status)
}

// parseRequest checks a request and reads its body. The error is the client's, with the status to answer.
func (r *Relay) parseRequest(req *http.Request, arrivedAt time.Duration) (*admission, int, error) {
	bad := func(text string) (*admission, int, error) { return nil, http.StatusBadRequest, errors.New(text) }
	entry := &journal.Entry{ID: req.Header.Get("X-Request-Id"), Class: req.Header.Get("X-Class"),
		Key: req.Header.Get("Idempotency-Key")}
	if !validToken(entry.ID) {
		return bad("X-Request-Id is missing or malformed")
	}
	classes := r.classes.Load()
	class, ok := classes.current[entry.Class]
	if !ok {
		return bad("X-Class is missing or unknown")
	}
	effect := classes.all[class].Effect
	if entry.Effect = 1 + int(effect); entry.Key != "" && !validToken(entry.Key) || entry.Key == "" && effect == choice.Keyed {
		return bad("Idempotency-Key is missing or malformed")
	}
	if r.standalone != nil {
		return r.parseStandaloneRequest(req, entry, class, arrivedAt)
	}
	if classes.all[class].Ordered {
		if entry.Order = parseOrderKey(req); entry.Order != "" && !validToken(entry.Order) {
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
	entry.Dest = dest
	return r.newAdmission(req, entry, class, arrivedAt, ms)
}

// parseStandaloneRequest reads what a client of a standalone relay states further: the partner's name, and optionally a
// deadline.
func (r *Relay) parseStandaloneRequest(
	req *http.Request, entry *journal.Entry, class int, arrivedAt time.Duration,
) (*admission, int, error) {
	settings, dir := r.classes.Load().all[class], r.standalone.directory.Load()
	bad := func(status int, text string) (*admission, int, error) { return nil, status, errors.New(text) }
	partner := dir.byName[req.Header.Get("X-Partner")]
	if number, ok := parseDestination(req.Header.Get("X-Addressing")); partner == nil && ok && req.Header.Get("X-Partner") == "" {
		partner = dir.byNumber[number]
	}
	switch {
	case partner == nil:
		return bad(http.StatusNotFound, "X-Partner is missing, or no partner of the operator's file")
	case !slices.Contains(partner.Classes, settings.Name):
		return bad(http.StatusBadRequest, "partner "+partner.Name+" takes no messages of class "+settings.Name)
	}
	ms := settings.Deadline.Milliseconds()
	if text := req.Header.Get("X-Deadline-Ms"); text != "" {
		var err error
		if ms, err = strconv.ParseInt(text, 10, 64); err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return bad(http.StatusBadRequest, "X-Deadline-Ms is malformed")
		}
	}
	// They are kept for long and must not retain the whole header.
	entry.ID, entry.Key, entry.Class = strings.Clone(entry.ID), strings.Clone(entry.Key), settings.Name
	entry.Dest, entry.Partner = partner.Number, partner.Name
	entry.TakenAt, entry.Bytes = time.Now().UnixMilli(), int(req.ContentLength)
	return r.newAdmission(req, entry, class, arrivedAt, ms)
}

// newAdmission reads the body and makes the admission. Ms is the time that the client gives the message, in milliseconds.
func (r *Relay) newAdmission(
	req *http.Request, e *journal.Entry, class int, arrivedAt time.Duration, ms int64,
) (_ *admission, status int, err error) {
	if e.Body, status, err = r.readRequestBody(req); err != nil {
		return nil, status, err
	}
	left := time.Duration(ms) * time.Millisecond
	e.Due = time.Now().Add(left - (r.now() - arrivedAt)).UnixMilli()
	return &admission{entry: e, class: class, arrivedAt: arrivedAt, deadline: arrivedAt + left, ctx: req.Context(),
		reply: make(chan response, 1)}, 0, nil
}

// readRequestBody reads a request's body. Its capacity counts in readingBytes until the caller subtracts it.
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

// readBody reads a body of a stated length. The buffer grows as bytes arrive, within the memory for bodies being read, so
// that a length that is only stated takes no memory.
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
		count, err := io.ReadFull(from, body[len(body):cap(body)])
		if body = body[:len(body)+count]; err != nil {
			r.readingBytes.Add(-int64(cap(body)))
			return nil, err
		}
	}
	return body, nil
}

// validToken reports whether text can stand in a header and in a line of /receive-many.
func validToken(s string) bool {
	return s != "" && len(s) <= maxTokenBytes && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// orderCookie is the cookie with the order key. The protocol page does not name it, since no class of that deployment is
// ordered; it is what the platform's clients were seen to send (docs/questions.md).
const orderCookie = "thread"

// parseOrderKey returns the order key of a request; empty for none.
func parseOrderKey(req *http.Request) string {
	if c, err := req.Cookie(orderCookie); err == nil {
		return c.Value
	}
	return ""
}

// parseDestination returns the number of the destination in an X-Addressing header.
func parseDestination(s string) (int, bool) {
	for part := range strings.FieldsFuncSeq(s, func(c rune) bool { return c == ';' || c == ',' || c == ' ' }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.Atoi(v)
			return n, err == nil && n >= 0
		}
	}
	return 0, false
}
