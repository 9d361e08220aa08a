package modelhost

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"larchrouter/internal/ctxtime"
)

// Form is what a host sends with the fault Endless: bytes that never end.
type Form string

// The forms of endless responses.
const (
	EndlessHeaderLine     Form = "one header line"
	EndlessHeaderLines    Form = "header lines"
	EndlessInterim        Form = "interim responses"
	EndlessSizeJunk       Form = "junk where the size of a chunk is due"
	EndlessChunk          Form = "one chunk"
	EndlessTinyChunks     Form = "chunks of one byte"
	EndlessLength         Form = "a huge announced length"
	EndlessWithoutLength  Form = "a body without a length"
	EndlessTrailer        Form = "a trailer"
	EndlessLine           Form = "one line of a stream"
	EndlessDataLines      Form = "data lines without an empty line"
	EndlessComments       Form = "comments"
	EndlessEmptyLines     Form = "empty lines"
	EndlessNumbers        Form = "events without data"
	EndlessEvents         Form = "events"
	EndlessEventsInChunk  Form = "events in one chunk"
	EndlessEventsInLength Form = "events in a huge announced length"
	EndlessTinyEvents     Form = "events in chunks of one byte"
	EndlessJunk           Form = "chunks of junk without a line feed"
)

// Forms are all forms of endless responses.
var Forms = []Form{EndlessHeaderLine, EndlessHeaderLines, EndlessInterim, EndlessSizeJunk, EndlessChunk, EndlessTinyChunks, EndlessLength,
	EndlessWithoutLength, EndlessTrailer, EndlessLine, EndlessDataLines, EndlessComments, EndlessEmptyLines, EndlessNumbers, EndlessEvents,
	EndlessEventsInChunk, EndlessEventsInLength, EndlessTinyEvents, EndlessJunk}

const (
	endlessBlock = 32 << 10         // bytes that are written at once, about
	endlessTime  = 30 * time.Second // after which an endless response is broken off, so that no test runs on
	changeAfter  = 64 << 10         // bytes of the first form, where Fault.Then follows
	hugeLength   = 1 << 40          // bytes
	hugeChunk    = "ffffffffff\r\n" // the size of a chunk
)

// framing is how the bytes of an endless response are framed.
type framing int

const (
	inHead      framing = iota // ahead of the end of the head
	inChunks                   // each block is a chunk
	inOneChunk                 // the blocks are the beginning of one chunk
	inLength                   // the head announces hugeLength
	untilClosed                // the head announces nothing
	asChunks                   // the blocks have the form of chunks, or should have
)

// framingOf returns the framing of a form.
func framingOf(form Form) framing {
	switch form {
	case EndlessHeaderLine, EndlessHeaderLines, EndlessInterim:
		return inHead
	case EndlessSizeJunk, EndlessTinyChunks, EndlessTinyEvents, EndlessTrailer:
		return asChunks
	case EndlessChunk, EndlessEventsInChunk:
		return inOneChunk
	case EndlessLength, EndlessEventsInLength:
		return inLength
	case EndlessWithoutLength:
		return untilClosed
	}
	return inChunks
}

// endless writes a response that does not end until the caller closes the connection, the host is closed or the fault changed.
type endless struct {
	*execution
	form  Form
	first int // number of the next event
}

// endless executes a request with the fault Endless. Streams begin with Fault.After proper events.
func (e *execution) endless(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, endlessTime)
	defer stop()
	w := &endless{execution: e, form: e.fault.Form, first: firstEvent(e.request.Header)}
	e.host.runLog.update(func() { e.run.Endless = true })
	defer e.finish(Aborted)
	begun := w.begin(ctx)
	if then := e.fault.Then; then != "" {
		if begun = w.write(ctx, begun, changeAfter); !begun {
			return
		}
		w.form = then
	}
	w.write(ctx, begun, hugeLength)
}

// largeEvents executes a turn of large events, which it does not record.
func (e *execution) largeEvents() {
	head, keepAlive := e.streamHead()
	e.conn.write(head)
	data := strings.Repeat("x", e.fault.EventBytes)
	for id := 1; id <= e.fault.After && e.conn.err == nil; id++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
		e.conn.write(fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event))
	}
	e.complete([]byte("0\r\n\r\n"), keepAlive)
}

// rejectEndlessly rejects a request with an answer that never ends.
func (h *Host) rejectEndlessly(ctx context.Context, c *conn, req *http.Request, fault Fault, faultChanged <-chan struct{}) {
	h.mu.Lock()
	h.rejected++
	h.mu.Unlock()
	id := req.Header.Get("X-Attempt-Id")
	e := &execution{host: h, conn: c, request: req, run: &Run{Attempt: id}, fault: fault, faultChanged: faultChanged,
		header: attemptHeader(id) + "X-Not-Executed: 1\r\n"}
	e.endless(ctx)
}

// begin writes the proper events ahead of the endless part. begun reports that there were some, so that the body is in chunks.
func (w *endless) begin(ctx context.Context) (begun bool) {
	if w.host.opts.Model == "" {
		return false
	}
	for range w.fault.After {
		if !ctxtime.Sleep(ctx, w.host.opts.EventInterval) {
			break
		}
		w.writeEvent(w.first, !begun)
		w.first++
		begun = true
	}
	return begun
}

// write writes up to so many bytes of the form; it returns false once the response is over.
func (w *endless) write(ctx context.Context, begun bool, most int) bool {
	framing := framingOf(w.form)
	if !begun {
		w.conn.write(w.endlessHead(framing))
	} else if framing == inOneChunk || framing == inLength || framing == untilClosed {
		w.conn.write([]byte(hugeChunk))
	}
	if w.form == EndlessTrailer {
		w.conn.write([]byte("0\r\n"))
	}
	for written := 0; written < most; {
		block := w.block()
		if framing == inChunks || framing == inHead && begun {
			block = fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)
		}
		w.conn.write(block)
		written += len(block)
		if w.conn.err != nil || w.over(ctx) || !ctxtime.Sleep(ctx, w.fault.Pause) {
			return false
		}
	}
	return true
}

// over reports whether the host is to break the response off.
func (w *endless) over(ctx context.Context) bool {
	select {
	case <-w.faultChanged:
		return true
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

// endlessHead returns the head of the response, up to where the endless part begins.
func (w *endless) endlessHead(framing framing) []byte {
	var b bytes.Buffer
	if w.form != EndlessInterim {
		status := w.fault.status()
		fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), w.header)
		if w.host.opts.Model != "" {
			b.WriteString("Content-Type: text/event-stream\r\nVersions: 1\r\n")
		}
	}
	switch framing {
	case inHead:
		if w.form == EndlessHeaderLine {
			b.WriteString("X-Endless: ")
		}
		return b.Bytes()
	case inLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", hugeLength)
	case untilClosed:
		b.WriteString("Connection: close\r\n\r\n")
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	}
	if framing == inOneChunk {
		b.WriteString(hugeChunk)
	}
	return b.Bytes()
}

// block returns the next bytes, without the frame of a chunk. With a pause it is one line, event or chunk.
func (w *endless) block() []byte {
	unit := w.unit()
	switch {
	case w.fault.Pause > 0:
		return unit
	case !w.hasEvents():
		return bytes.Repeat(unit, max(1, endlessBlock/len(unit)))
	}
	for len(unit) < endlessBlock {
		unit = append(unit, w.unit()...)
	}
	return unit
}

// hasEvents reports whether the form has events, each of which has a number of its own.
func (w *endless) hasEvents() bool {
	switch w.form {
	case EndlessEvents, EndlessEventsInChunk, EndlessEventsInLength, EndlessTinyEvents:
		return true
	}
	return false
}

// unit returns the next line, event, chunk or byte.
func (w *endless) unit() []byte {
	switch w.form {
	case EndlessHeaderLines, EndlessTrailer:
		return []byte("X-Endless: x\r\n")
	case EndlessInterim:
		return []byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
	case EndlessTinyChunks:
		return []byte("1\r\nx\r\n")
	case EndlessDataLines:
		return []byte("data: x\n")
	case EndlessComments:
		return []byte(": still here\n\n")
	case EndlessEmptyLines:
		return []byte("\n")
	case EndlessNumbers:
		return []byte("id: 1\n\n")
	case EndlessEvents, EndlessEventsInChunk, EndlessEventsInLength:
		return w.event()
	case EndlessTinyEvents:
		var b []byte
		for _, c := range w.event() {
			b = append(b, '1', '\r', '\n', c, '\r', '\n')
		}
		return b
	case EndlessLine:
		return []byte("data: " + strings.Repeat("x", 58))
	}
	return []byte(strings.Repeat("x", 64))
}

// event returns the next event, which is as those of a proper stream are.
func (w *endless) event() []byte {
	id := w.first
	w.first++
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", id, Event(w.execution.run.Attempt, id))
}
