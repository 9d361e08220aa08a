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

var errGone = errors.New("the caller closed the connection")

// Event is the data of the event with an id, from 1, of an attempt's stream.
func Event(attempt string, id int) string { return fmt.Sprintf("%s says %d", attempt, id) }

// Body is the answer of a tool to an attempt, of so many bytes at least.
func Body(attempt string, size int) []byte {
	b := []byte("done for " + attempt + "\n")
	return append(b, strings.Repeat(".", max(0, size-len(b)))...)
}

const noise = "\x00\x01 no answer at all\r\n\r\n"

// work is one run.
type work struct {
	h       *Host
	c       *conn
	req     *http.Request
	run     *Run
	fault   Fault
	changed <-chan struct{}
	header  string
	release func() // gives the slot back; nil once that is done
	keep    bool   // the connection
}

// run works on a request, if it gets a slot.
func (h *Host) run(c *conn, req *http.Request, body []byte, id string) bool {
	f, changed := h.take()
	if f.Kind == Full || h.opts.CacheTokens > 0 && size(req) > h.opts.CacheTokens {
		return h.reject(c, id, http.StatusServiceUnavailable)
	}
	ctx, stop := h.watch(c, req)
	defer stop()
	release, ok := h.admit(ctx, req)
	if !ok {
		return h.reject(c, id, http.StatusServiceUnavailable)
	}
	h.mu.Lock()
	h.number++
	seal := fmt.Sprintf("%s.%d", h.opts.ID, h.number)
	fresh := 0
	if h.opts.Model != "" {
		if all := parts(req.Header.Get("X-Prompt-Prefix")); len(all) > 0 {
			fresh = h.cache.read(h.opts.Model, all)
		} else {
			fresh, _ = tokens(req.Header.Get("X-Token-Usage"))
		}
		h.cache.hold(size(req))
	}
	h.mu.Unlock()
	r := h.ledger.begin(Run{Host: h.opts.ID, Service: h.opts.Service, Attempt: id, Method: req.Method, URI: req.RequestURI,
		Header: req.Header, Body: body, Read: fresh})
	w := &work{h: h, c: c, req: req, run: r, fault: f, changed: changed, release: release,
		header: attempt(id) + "X-Host-Seal: " + seal + "\r\n"}
	if f.Kind == Surplus {
		c.tee = new(bytes.Buffer)
	}
	w.do(ctx)
	if c.tee != nil && r.End == Whole {
		c.surplus = c.tee.Bytes()
	}
	c.tee = nil
	return w.keep
}

// end notes how the run ended and gives its slot back: before the last bytes are written, so that who has them finds
// both done.
func (w *work) end(e End) {
	w.h.ledger.note(func() { w.run.End = e })
	if w.release == nil {
		return
	}
	w.release()
	w.release = nil
	if w.h.opts.Model != "" {
		w.h.mu.Lock()
		w.h.cache.hold(-size(w.req))
		w.h.mu.Unlock()
	}
}

func (w *work) do(ctx context.Context) {
	switch {
	case w.fault.Kind == Lose:
		w.end(Cut)
	case w.fault.Kind == Noise:
		w.end(Cut)
		w.c.write([]byte(noise))
	case w.fault.Kind == Fail:
		w.end(Failed)
		w.keep = w.h.answer(w.c, http.StatusInternalServerError, w.header, nil)
	case w.h.opts.Model != "":
		w.stream(ctx)
	default:
		w.call(ctx)
	}
}

// stop ends a run whose context has ended; begun if something of the answer was written.
func (w *work) stop(ctx context.Context, begun bool) {
	switch {
	case errors.Is(context.Cause(ctx), errGone):
		w.end(Dropped)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && !begun:
		w.end(Failed)
		w.keep = w.h.answer(w.c, http.StatusGatewayTimeout, w.header, nil)
	default:
		w.end(Cut)
	}
}

// whole ends a run with the last bytes of its answer.
func (w *work) whole(last []byte, keep bool) {
	w.end(Whole)
	w.c.write(last)
	if w.keep = keep; w.fault.Kind == Extra {
		w.c.write([]byte(noise))
	}
	if w.c.err != nil {
		w.end(Dropped)
	}
}

// silent waits where the fault says so, after so many events.
func (w *work) silent(ctx context.Context, events int) bool {
	if w.fault.Kind == Silence && w.fault.After == events {
		select {
		case <-w.changed:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (w *work) call(ctx context.Context) {
	if !after(ctx, w.h.opts.Work) || !w.silent(ctx, w.fault.After) {
		w.stop(ctx, false)
		return
	}
	body := Body(w.run.Attempt, w.h.opts.Size)
	head, keep := w.h.head(http.StatusOK, w.header, len(body), w.fault.Kind == Leave)
	if w.fault.Kind == Break {
		w.end(Cut)
		w.c.write(append(head, body[:min(w.fault.After, len(body)-1)]...))
		return
	}
	w.whole(append(head, body...), keep)
}

func (w *work) stream(ctx context.Context) {
	o := w.h.opts
	_, most := tokens(w.req.Header.Get("X-Token-Usage"))
	count := (most + o.EventTokens - 1) / o.EventTokens
	if o.Events > 0 && (o.Events < count || count == 0) {
		count = o.Events
	}
	count = max(1, count)
	version, keep := 0, true
	for id := 1; id <= count; id++ {
		wait := o.Step
		if id == 1 {
			wait = o.First + o.PerToken*time.Duration(w.run.Read)
		}
		if !after(ctx, wait) || !w.silent(ctx, id-1) {
			w.stop(ctx, id > 1)
			return
		}
		if w.fault.Kind == Break && w.fault.After == id-1 {
			w.end(Cut)
			return
		}
		w.h.mu.Lock()
		now := w.h.version
		w.h.mu.Unlock()
		data := Event(w.run.Attempt, id)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
		var b []byte
		if id == 1 {
			b, keep = w.h.head(http.StatusOK, w.header+"Content-Type: text/event-stream\r\n", -1, w.fault.Kind == Leave)
		} else if now != version {
			event = fmt.Sprintf("versions:%d\n%s", now, event)
		}
		version = now
		w.h.ledger.note(func() { w.run.Events = append(w.run.Events, data) })
		w.c.write(fmt.Appendf(b, "%x\r\n%s\r\n", len(event), event))
		if w.c.err != nil {
			w.end(Dropped)
			return
		}
	}
	if w.fault.Kind == Break { // just ahead of its end
		w.end(Cut)
		return
	}
	if !w.silent(ctx, count) {
		w.stop(ctx, true)
		return
	}
	w.whole([]byte("0\r\n\r\n"), keep)
}
