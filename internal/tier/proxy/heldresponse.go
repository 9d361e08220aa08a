package proxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/membudget"
	"larchrouter/internal/tier/upstream"
)

const (
	maxHeldResponse = 256 << 10 // bytes of a response up to which it can still be replaced by a retry
	heldPartSize    = 32 << 10  // bytes

	// evictedWriteTimeout is the time in which a client must take each part of a response that has given way to others.
	evictedWriteTimeout = 300 * time.Millisecond
)

// errGaveWay reports that the client did not read its response while others needed the memory.
var errGaveWay = errors.New("the client did not read its response while others needed the memory")

// heldState says what the serving goroutine does with a heldResponse, and so what giveWay has to do.
type heldState int

const (
	heldIdle    heldState = iota // nothing is held
	heldReading                  // the host is read: what is held is passed on at once
	heldPassing                  // the same, and passOn writes to the client
	heldWriting                  // the client is written to: its connection is closed
)

// heldResponse holds the beginning of a host's response until the response is complete or longer than maxHeldResponse, so that a retry
// can replace it if it breaks off. All but the first part is drawn from an account of its own, which may have to give way at any time
// while it is open (see heldState). From then on the response is relayed as it comes, to a client that takes it in time. A long
// response keeps its account to its end, for the bytes that the kernel holds for a client that does not read them.
//
// The goroutine that serves the request owns it. giveWay and passOn run on others; mu guards what they share. mu is not held while
// the budget is used, which calls giveWay.
type heldResponse struct {
	request *request
	first   []byte             // buffer of the first part
	account *membudget.Account // nil while nothing is drawn
	long    longResponse       // of the attempt whose response is held
	unread  []byte             // of the host, read after giveWay and not passed on
	readErr error              // the error that came with it

	mu       sync.Mutex
	state    heldState
	response *upstream.Response
	parts    [][]byte      // what is held; the host is read into the space behind the last part
	size     int           // bytes of parts
	headSent bool          // the client has the head
	evicted  bool          // giveWay was called while something was held
	passed   chan struct{} // closed once passOn has ended; nil unless it was started
	passErr  error         // of passOn
}

// newHeldResponse returns a held response with a buffer for its first part. The caller releases it.
func (r *request) newHeldResponse(buffer []byte) *heldResponse {
	return &heldResponse{request: r, first: buffer[:0]}
}

// read holds a response until its end (io.EOF), an error, or as many bytes as may be held (nil). After an error nothing is held, and
// another response may be read; else the client is written to next.
func (h *heldResponse) read(attempt *attempt) error {
	response := attempt.Response
	h.long = longResponse{request: h.request, attempt: attempt}
	h.mu.Lock()
	h.state, h.response, h.parts, h.size = heldReading, response, [][]byte{h.first}, 0
	h.mu.Unlock()
	for {
		space := h.space()
		if space == nil {
			return nil
		}
		n, err := response.Read(space)
		broken := err != nil && !errors.Is(err, io.EOF)
		if !h.add(n, broken) {
			h.unread, h.readErr = space[:n], err
			return nil
		}
		if broken {
			h.releaseAccount()
		}
		if err != nil {
			h.long.close()
			return err
		}
		h.long.wait()
	}
}

// space returns where the next bytes of the host are to be read, or nil if no more may be held.
func (h *heldResponse) space() []byte {
	space, size, ok := h.rest()
	if !ok || len(space) > 0 {
		return space
	}
	if size > maxHeldResponse || !h.drawPart(size) {
		return nil
	}
	return h.addPart()
}

// rest returns the space behind the last part and the bytes held. ok is false if what was held has given way.
func (h *heldResponse) rest() (space []byte, size int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != heldReading {
		return nil, 0, false
	}
	last := h.parts[len(h.parts)-1]
	return last[len(last):cap(last)], h.size, true
}

// drawPart draws one more part and, with the first of them, the bytes that are held already.
func (h *heldResponse) drawPart(size int) bool {
	bytes := heldPartSize
	if h.account == nil {
		h.account = h.request.server().options.Memory.Open(h.giveWay)
		bytes += size
	}
	return h.account.TryDraw(int64(bytes))
}

// addPart adds an empty part and returns its space, or nil if what was held has given way.
func (h *heldResponse) addPart() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != heldReading {
		return nil
	}
	part := make([]byte, 0, heldPartSize)
	h.parts = append(h.parts, part)
	return part[:heldPartSize]
}

// add counts bytes that were read into the space as held, or drops all if the response broke off with them. It returns false, and does
// neither, if what was held has given way.
func (h *heldResponse) add(n int, broken bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.state != heldReading:
		return false
	case broken:
		h.state, h.parts = heldIdle, nil
	default:
		last := &h.parts[len(h.parts)-1]
		*last = (*last)[:len(*last)+n]
		h.size += n
	}
	return true
}

// giveWay makes the response give way to others. It is called by the budget, and does not block.
func (h *heldResponse) giveWay() {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.state {
	case heldReading:
		h.evicted = true
		h.state, h.passed = heldPassing, make(chan struct{})
		parts := h.parts
		h.parts = nil
		h.request.server().wg.Go(func() { h.passOn(parts) })
	case heldWriting:
		h.evicted = true
		h.request.client.Conn.Close()
	}
}

// passOn writes what is held to the client, while the host is read, and releases the account.
func (h *heldResponse) passOn(parts [][]byte) {
	defer close(h.passed)
	defer h.account.Release()
	if len(parts) == 0 {
		return
	}
	h.response.SetDeadline(h.request.deadline) // no retry can follow any more
	h.limitWrite()
	if h.passErr = h.write(parts); h.passErr != nil {
		h.request.client.abort()
		h.request.disconnect()
	}
}

// write writes the head, unless the client has it, and parts of the body.
func (h *heldResponse) write(parts [][]byte) error {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	buffer := bufferPool.Get().(*[]byte)
	before := (*buffer)[:0]
	if !h.headSent {
		before = h.request.appendResponseHead(before, h.response, h.response.Length)
		h.headSent = true
	}
	var after []byte
	if inChunks := h.response.Length < 0; inChunks && length > 0 { // an empty chunk would be the last one
		before = appendChunkHeader(before, length)
		after = []byte(chunkEnd)
	}
	buffers := append(append(net.Buffers{before}, parts...), after)
	_, err := buffers.WriteTo(h.request.client.Conn)
	putBuffer(buffer, before)
	return err
}

// limitWrite sets the write deadline of a response that has given way.
func (h *heldResponse) limitWrite() {
	deadline := h.request.deadline.Add(writeGrace)
	if soon := time.Now().Add(evictedWriteTimeout); soon.Before(deadline) {
		deadline = soon
	}
	_ = h.request.client.SetWriteDeadline(deadline)
}

// startWriting begins a time in which the serving goroutine writes to the client. It waits for passOn, and returns what is held and not
// passed on.
func (h *heldResponse) startWriting() (parts [][]byte, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.passed != nil {
		h.mu.Unlock()
		<-h.passed
		h.mu.Lock()
	}
	if h.evicted {
		h.limitWrite()
	}
	h.state, parts = heldWriting, h.parts
	h.parts = nil
	return parts, h.passErr
}

// endWriting ends what startWriting began. It returns errGaveWay if the connection was closed meanwhile.
func (h *heldResponse) endWriting() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	closed := h.evicted && h.passed == nil
	h.state = heldReading
	if closed {
		return errGaveWay
	}
	return nil
}

// relay writes what is held, and the rest as it comes, except for the last chunk.
func (h *heldResponse) relay() error {
	defer h.long.close()
	if err := h.writeNext(h.unread); err != nil {
		return upstream.ErrCancelled
	}
	h.unread = nil
	if h.readErr != nil && !errors.Is(h.readErr, io.EOF) {
		return h.readErr
	}
	h.response.SetDeadline(h.request.deadline)
	data := make([]byte, relayBufferSize)
	for ; !h.response.Complete(); h.long.wait() {
		n, err := h.response.Read(data)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err := h.writeNext(data[:n]); err != nil {
			return upstream.ErrCancelled
		}
	}
	return nil
}

// writeNext writes what is held and the next bytes.
func (h *heldResponse) writeNext(next []byte) error {
	parts, err := h.startWriting()
	if err == nil && len(next) > 0 {
		parts = append(parts, next)
	}
	if err == nil {
		err = h.write(parts)
	}
	return errors.CombineErrors(h.endWriting(), err)
}

// isHeld reports whether all of a response that is complete is held. If it is not, it has given way; else the client is written to next.
func (h *heldResponse) isHeld() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != heldReading {
		return false
	}
	h.state = heldWriting
	return true
}

// respond writes the head and the body of a response that is held completely.
func (h *heldResponse) respond() {
	r := h.request
	parts, _ := h.startWriting()
	buffer := bufferPool.Get().(*[]byte)
	head := r.appendResponseHead((*buffer)[:0], h.response, int64(h.size))
	if len(parts) == 1 && len(parts[0]) <= maxJoinedResponse {
		head = append(head, parts[0]...)
		parts = nil
	}
	buffers := append(net.Buffers{head}, parts...)
	_, err := buffers.WriteTo(r.client.Conn)
	putBuffer(buffer, head)
	r.keepAlive = errors.CombineErrors(h.endWriting(), err) == nil && !r.closeAfter
}

// release releases what is held.
func (h *heldResponse) release() {
	h.long.close()
	h.mu.Lock()
	h.state, h.parts = heldIdle, nil
	h.mu.Unlock()
	h.releaseAccount()
}

// releaseAccount releases the account, unless passOn has.
func (h *heldResponse) releaseAccount() {
	if h.account == nil {
		return
	}
	if h.passed != nil {
		<-h.passed
	} else {
		h.account.Release()
	}
	h.account = nil
}
