package modelhost

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"larchrouter/internal/ctxtime"
)

var errClientClosed = errors.New("the caller closed the connection")

// Event returns the data of an event of an attempt's stream. Ids count from 1.
func Event(attempt string, id int) string { return fmt.Sprintf("%s says %d", attempt, id) }

// ToolBody returns a tool's answer to an attempt, of at least size bytes.
func ToolBody(attempt string, size int) []byte {
	b := []byte("done for " + attempt + "\n")
	return append(b, strings.Repeat(".", max(0, size-len(b)))...)
}

const garbage = "\x00\x01 no answer at all\r\n\r\n"

// execution is a run in progress.
type execution struct {
	host         *Host
	conn         *conn
	request      *http.Request
	run          *Run
	fault        Fault
	faultChanged <-chan struct{}
	header       string // of the answer
	release      func() // releases the slot; nil after that
	keepAlive    bool   // the connection stays open

	// Of a stream, set by writeEvent.
	version         int  // of the weights at the last event
	streamKeepAlive bool // as the head of the answer says
}

// execute executes a request if it gets a slot, and answers it. It reports whether the connection stays open.
func (h *Host) execute(c *conn, req *http.Request, body []byte, id string) bool {
	fault, faultChanged := h.nextFault()
	if fault.Kind == Overloaded || h.opts.CacheTokens > 0 && requestTokens(req) > h.opts.CacheTokens {
		return h.reject(c, id, http.StatusServiceUnavailable)
	}
	ctx, stop := h.requestContext(c, req)
	defer stop()
	release, ok := h.admit(ctx, req)
	if !ok {
		return h.reject(c, id, http.StatusServiceUnavailable)
	}
	if fault.rejects() {
		h.rejectEndlessly(ctx, c, req, fault, faultChanged)
		release()
		return false
	}
	h.mu.Lock()
	h.runCount++
	seal := fmt.Sprintf("%s.%d", h.opts.ID, h.runCount)
	prefillTokens := 0
	if h.opts.Model != "" {
		if prompt := parsePrompt(req.Header.Get("X-Prompt-Prefix")); len(prompt) > 0 {
			prefillTokens = h.cache.prefill(h.opts.Model, prompt)
		} else {
			prefillTokens, _ = parseTokenUsage(req.Header.Get("X-Token-Usage"))
		}
		h.cache.reserve(requestTokens(req))
	}
	h.mu.Unlock()
	run := h.runLog.add(Run{Host: h.opts.ID, Service: h.opts.Service, Attempt: id, Method: req.Method, URI: req.RequestURI,
		Header: req.Header, Body: body, PrefillTokens: prefillTokens})
	e := &execution{host: h, conn: c, request: req, run: run, fault: fault, faultChanged: faultChanged, release: release,
		header: attemptHeader(id) + "X-Host-Seal: " + seal + "\r\n"}
	if fault.Kind == DuplicateResponse {
		c.recorded = new(bytes.Buffer)
	}
	e.do(ctx)
	if c.recorded != nil && run.Outcome == Completed {
		c.duplicate = c.recorded.Bytes()
	}
	c.recorded = nil
	return e.keepAlive
}

// finish records the outcome and releases the slot and the memory. It is called before the last bytes are written, so that
// a caller who has received them finds both done.
func (e *execution) finish(outcome Outcome) {
	e.host.runLog.update(func() { e.run.Outcome = outcome })
	if e.release == nil {
		return
	}
	e.release()
	e.release = nil
	if e.host.opts.Model != "" {
		e.host.mu.Lock()
		e.host.cache.reserve(-requestTokens(e.request))
		e.host.mu.Unlock()
	}
}

func (e *execution) do(ctx context.Context) {
	switch {
	case e.fault.Kind == DropConnection:
		e.finish(Aborted)
	case e.fault.Kind == Garbage:
		e.finish(Aborted)
		e.conn.write([]byte(garbage))
	case e.fault.Kind == InternalError:
		e.finish(Failed)
		e.keepAlive = e.host.respond(e.conn, http.StatusInternalServerError, e.header, nil)
	case e.fault.Kind == Endless:
		e.endless(ctx)
	case e.fault.Kind == LargeEvents:
		e.largeEvents()
	case e.host.opts.Model != "":
		e.stream(ctx)
	default:
		e.call(ctx)
	}
}

// interrupt ends a run whose context has ended. started: some of the answer was written.
func (e *execution) interrupt(ctx context.Context, started bool) {
	switch {
	case errors.Is(context.Cause(ctx), errClientClosed):
		e.finish(Canceled)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && !started:
		e.finish(Failed)
		e.keepAlive = e.host.respond(e.conn, http.StatusGatewayTimeout, e.header, nil)
	default:
		e.finish(Aborted)
	}
}

// complete ends a run with the last bytes of its answer.
func (e *execution) complete(last []byte, keepAlive bool) {
	e.finish(Completed)
	e.conn.write(last)
	if e.keepAlive = keepAlive; e.fault.Kind == TrailingBytes {
		e.conn.write([]byte(garbage))
	}
	if e.conn.err != nil {
		e.finish(Canceled)
	}
}

// stall waits, if the fault is to stall after this many events, until the fault is changed. It returns false if the
// context ends before.
func (e *execution) stall(ctx context.Context, events int) bool {
	if e.fault.Kind == Stall && e.fault.After == events {
		select {
		case <-e.faultChanged:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// call executes a call of a tool.
func (e *execution) call(ctx context.Context) {
	if !ctxtime.Sleep(ctx, e.host.opts.CallDuration) || !e.stall(ctx, e.fault.After) {
		e.interrupt(ctx, false)
		return
	}
	body := ToolBody(e.run.Attempt, e.host.opts.ResponseBytes)
	head, keepAlive := e.host.responseHead(http.StatusOK, e.header, len(body), e.fault.Kind == CloseConnection)
	if e.fault.Kind == Abort {
		e.finish(Aborted)
		e.conn.write(append(head, body[:min(e.fault.After, len(body)-1)]...))
		return
	}
	e.complete(append(head, body...), keepAlive)
}

// eventCount returns the number of events of the stream.
func (e *execution) eventCount() int {
	o := e.host.opts
	_, maxTokens := parseTokenUsage(e.request.Header.Get("X-Token-Usage"))
	count := (maxTokens + o.EventTokens - 1) / o.EventTokens
	if o.Events > 0 && (o.Events < count || count == 0) {
		count = o.Events
	}
	return max(1, count)
}

// stream executes a turn: a stream of events in chunks.
func (e *execution) stream(ctx context.Context) {
	o := e.host.opts
	count := e.eventCount()
	first := firstEvent(e.request.Header)
	e.host.runLog.update(func() { e.run.Skipped = first - 1 })
	if first > count { // there is nothing left but the end
		head, keepAlive := e.streamHead()
		e.streamKeepAlive = keepAlive
		e.conn.write(head)
	}
	for id := first; id <= count; id++ {
		delay := o.EventInterval
		if id == first {
			delay = o.FirstEventDelay + o.PrefillPerToken*time.Duration(e.run.PrefillTokens)
		}
		if !ctxtime.Sleep(ctx, delay) || !e.stall(ctx, id-1) {
			e.interrupt(ctx, id > first)
			return
		}
		if e.fault.Kind == Abort && e.fault.After == id-1 {
			e.finish(Aborted)
			return
		}
		e.writeEvent(id, id == first)
		if e.conn.err != nil {
			e.finish(Canceled)
			return
		}
	}
	if e.fault.Kind == Abort { // after the last event, before the end of the stream
		e.finish(Aborted)
		return
	}
	if !e.stall(ctx, count) {
		e.interrupt(ctx, true)
		return
	}
	e.complete([]byte("0\r\n\r\n"), e.streamKeepAlive)
}

// streamHead returns the head of a stream, and whether the connection stays open behind it.
func (e *execution) streamHead() (head []byte, keepAlive bool) {
	header := e.header + "Content-Type: text/event-stream\r\n"
	return e.host.responseHead(http.StatusOK, header, chunkedLength, e.fault.Kind == CloseConnection)
}

// firstEvent returns the id of the first event that a request asks for: the one behind Last-Event-Id.
func firstEvent(header http.Header) int {
	last, err := strconv.Atoi(header.Get("Last-Event-Id"))
	if err != nil || last < 0 {
		return 1
	}
	return last + 1
}

// writeEvent records and writes one event, the first one with the head of the answer. A later one has the version of the
// weights if that has changed since the event before.
func (e *execution) writeEvent(id int, first bool) {
	e.host.mu.Lock()
	version := e.host.version
	e.host.mu.Unlock()
	data := Event(e.run.Attempt, id)
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
	var b []byte
	if first {
		b, e.streamKeepAlive = e.streamHead()
	} else if version != e.version {
		event = fmt.Sprintf("versions:%d\n%s", version, event)
	}
	e.version = version
	e.host.runLog.update(func() { e.run.Events = append(e.run.Events, data) })
	e.conn.write(fmt.Appendf(b, "%x\r\n%s\r\n", len(event), event))
}
