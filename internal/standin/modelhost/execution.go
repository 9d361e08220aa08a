package modelhost

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

var errClientClosed = errors.New("the caller closed the connection")

// Event is the data of the event with an id, from 1, of an attempt's stream.
func Event(attempt string, id int) string { return fmt.Sprintf("%s says %d", attempt, id) }

// ToolBody is the answer of a tool to an attempt, of so many bytes at least.
func ToolBody(attempt string, size int) []byte {
	b := []byte("done for " + attempt + "\n")
	return append(b, strings.Repeat(".", max(0, size-len(b)))...)
}

const garbage = "\x00\x01 no answer at all\r\n\r\n"

// execution is one run.
type execution struct {
	host         *Host
	conn         *conn
	request      *http.Request
	run          *Run
	fault        Fault
	faultChanged <-chan struct{}
	header       string
	release      func() // gives the slot back; nil once that is done
	keepAlive    bool   // the connection
}

// execute works on a request, if it gets a slot.
func (h *Host) execute(c *conn, req *http.Request, body []byte, id string) bool {
	f, changed := h.nextFault()
	if f.Kind == Overloaded || h.opts.CacheTokens > 0 && requestTokens(req) > h.opts.CacheTokens {
		return h.reject(c, id, http.StatusServiceUnavailable)
	}
	ctx, stop := h.requestContext(c, req)
	defer stop()
	release, ok := h.admit(ctx, req)
	if !ok {
		return h.reject(c, id, http.StatusServiceUnavailable)
	}
	h.mu.Lock()
	h.runCount++
	seal := fmt.Sprintf("%s.%d", h.opts.ID, h.runCount)
	fresh := 0
	if h.opts.Model != "" {
		if all := parsePrompt(req.Header.Get("X-Prompt-Prefix")); len(all) > 0 {
			fresh = h.cache.prefill(h.opts.Model, all)
		} else {
			fresh, _ = parseTokenUsage(req.Header.Get("X-Token-Usage"))
		}
		h.cache.reserve(requestTokens(req))
	}
	h.mu.Unlock()
	r := h.runLog.add(Run{Host: h.opts.ID, Service: h.opts.Service, Attempt: id, Method: req.Method, URI: req.RequestURI,
		Header: req.Header, Body: body, PrefillTokens: fresh})
	w := &execution{host: h, conn: c, request: req, run: r, fault: f, faultChanged: changed, release: release,
		header: attemptHeader(id) + "X-Host-Seal: " + seal + "\r\n"}
	if f.Kind == DuplicateResponse {
		c.recorded = new(bytes.Buffer)
	}
	w.do(ctx)
	if c.recorded != nil && r.Outcome == Completed {
		c.duplicate = c.recorded.Bytes()
	}
	c.recorded = nil
	return w.keepAlive
}

// finish notes how the run ended and gives its slot back: before the last bytes are written, so that who has them finds
// both done.
func (w *execution) finish(e Outcome) {
	w.host.runLog.update(func() { w.run.Outcome = e })
	if w.release == nil {
		return
	}
	w.release()
	w.release = nil
	if w.host.opts.Model != "" {
		w.host.mu.Lock()
		w.host.cache.reserve(-requestTokens(w.request))
		w.host.mu.Unlock()
	}
}

func (w *execution) do(ctx context.Context) {
	switch {
	case w.fault.Kind == DropConnection:
		w.finish(Aborted)
	case w.fault.Kind == Garbage:
		w.finish(Aborted)
		w.conn.write([]byte(garbage))
	case w.fault.Kind == InternalError:
		w.finish(Failed)
		w.keepAlive = w.host.respond(w.conn, http.StatusInternalServerError, w.header, nil)
	case w.host.opts.Model != "":
		w.stream(ctx)
	default:
		w.call(ctx)
	}
}

// interrupt ends a run whose context has ended; begun if something of the answer was written.
func (w *execution) interrupt(ctx context.Context, begun bool) {
	switch {
	case context.Cause(ctx) == errClientClosed:
		w.finish(Canceled)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && !begun:
		w.finish(Failed)
		w.keepAlive = w.host.respond(w.conn, http.StatusGatewayTimeout, w.header, nil)
	default:
		w.finish(Aborted)
	}
}

// complete ends a run with the last bytes of its answer.
func (w *execution) complete(last []byte, keep bool) {
	w.finish(Completed)
	w.conn.write(last)
	if w.keepAlive = keep; w.fault.Kind == TrailingBytes {
		w.conn.write([]byte(garbage))
	}
	if w.conn.err != nil {
		w.finish(Canceled)
	}
}

// stall waits where the fault says so, after so many events.
func (w *execution) stall(ctx context.Context, events int) bool {
	if w.fault.Kind == Stall && w.fault.After == events {
		select {
		case <-w.faultChanged:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (w *execution) call(ctx context.Context) {
	if !sleep(ctx, w.host.opts.CallDuration) || !w.stall(ctx, w.fault.After) {
		w.interrupt(ctx, false)
		return
	}
	body := ToolBody(w.run.Attempt, w.host.opts.ResponseBytes)
	head, keep := w.host.responseHead(http.StatusOK, w.header, len(body), w.fault.Kind == CloseConnection)
	if w.fault.Kind == Abort {
		w.finish(Aborted)
		w.conn.write(append(head, body[:min(w.fault.After, len(body)-1)]...))
		return
	}
	w.complete(append(head, body...), keep)
}

func (w *execution) stream(ctx context.Context) {
	o := w.host.opts
	_, most := parseTokenUsage(w.request.Header.Get("X-Token-Usage"))
	count := (most + o.EventTokens - 1) / o.EventTokens
	if o.Events > 0 && (o.Events < count || count == 0) {
		count = o.Events
	}
	count = max(1, count)
	version, keep := 0, true
	for id := 1; id <= count; id++ {
		wait := o.EventInterval
		if id == 1 {
			wait = o.FirstEventDelay + o.PrefillPerToken*time.Duration(w.run.PrefillTokens)
		}
		if !sleep(ctx, wait) || !w.stall(ctx, id-1) {
			w.interrupt(ctx, id > 1)
			return
		}
		if w.fault.Kind == Abort && w.fault.After == id-1 {
			w.finish(Aborted)
			return
		}
		w.host.mu.Lock()
		now := w.host.version
		w.host.mu.Unlock()
		data := Event(w.run.Attempt, id)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
		var b []byte
		if id == 1 {
			b, keep = w.host.responseHead(http.StatusOK, w.header+"Content-Type: text/event-stream\r\n", -1, w.fault.Kind == CloseConnection)
		} else if now != version {
			event = fmt.Sprintf("versions:%d\n%s", now, event)
		}
		version = now
		w.host.runLog.update(func() { w.run.Events = append(w.run.Events, data) })
		w.conn.write(fmt.Appendf(b, "%x\r\n%s\r\n", len(event), event))
		if w.conn.err != nil {
			w.finish(Canceled)
			return
		}
	}
	if w.fault.Kind == Abort { // just ahead of its end
		w.finish(Aborted)
		return
	}
	if !w.stall(ctx, count) {
		w.interrupt(ctx, true)
		return
	}
	w.complete([]byte("0\r\n\r\n"), keep)
}
