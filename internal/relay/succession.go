package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/relay/front/httpapi"
	"larchrouter/internal/relay/handover"
	"larchrouter/internal/relay/httpcall"
)

const (
	successorTimeout  = 350 * time.Millisecond // for the successor to serve before a request is rejected; clients leave after 400
	drainClientsAfter = time.Second            // clients' connections have been closed by then
	pollInterval      = 50 * time.Millisecond
	predecessorSlack  = 50 * time.Millisecond // a predecessor reports a time-out at the deadline; the notice has 300 ms from it
)

var errNoSuccessor = errors.New("its successor does not serve")

// Release implements handover.Owner.
func (r *Relay) Release(ctx context.Context, to *handover.Link) (handover.State, *net.TCPListener, error) {
	type released struct {
		handover.State
		err error
	}
	got, err := onLoop(ctx, r, func() released { s, err := r.release(to); return released{s, err} })
	if err = errors.Join(err, got.err); err != nil {
		return handover.State{}, nil, err
	}
	slog.Info("handing over", "out", len(got.InFlight))
	return got.State, r.listener.TCPListener, nil
}

// release gives the relay up, on the loop.
func (r *Relay) release(to *handover.Link) (state handover.State, err error) {
	if r.successor.Load() != nil {
		return state, errors.New("it has given way already")
	}
	r.receiveBatch()
	r.cancelBlockedCalls()
	for turns := 0; len(r.events) > 0 || len(r.records) > 0; turns++ {
		if turns == 64 {
			return state, errors.New("not all can be recorded")
		}
		r.step()
	}
	calls := map[*call]int{}
	for id, msg := range r.pending {
		if msg.call != nil {
			if _, ok := calls[msg.call]; !ok {
				calls[msg.call] = len(calls)
			}
			state.InFlight = append(state.InFlight, handover.InFlight{ID: id, Call: calls[msg.call]})
		}
	}
	state.RetryAfter = map[string]int64{}
	for _, dest := range r.chooser.Views() {
		for _, hostView := range dest.Hosts {
			if hostView.Wait > 0 {
				state.RetryAfter[hostView.Addr] = hostView.Wait.Milliseconds() + 1
			}
		}
	}
	r.ended.each(func(id string, sum uint32) { state.Ended = append(state.Ended, handover.Ended{ID: id, Sum: sum}) })
	list := hostList{Version: r.listVersion, Full: true}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		list.Servers = append(list.Servers, r.hosts[id].listed)
	}
	if state.HostList, err = json.Marshal(list); err != nil {
		return state, err
	}
	r.successor.Store(&successor{link: to, serving: make(chan struct{}), transport: handover.Forwarder(r.config.State)})
	r.closePeers()
	r.journal.Close()
	if r.config.Unlock != nil {
		r.config.Unlock()
	}
	return state, nil
}

// successor is the process that has replaced this relay.
type successor struct {
	link      *handover.Link
	serving   chan struct{} // closed once it serves
	transport *http.Transport
}

// close closes all connections to the successor.
func (h *successor) close() {
	h.link.Close()
	h.transport.CloseIdleConnections()
}

// SuccessorServing implements handover.Owner. Clients are sent to the successor; once no call is in flight the relay ends.
func (r *Relay) SuccessorServing() {
	next := r.successor.Load()
	close(next.serving)
	slog.Info("handed over")
	r.doors.Close()
	go func() {
		time.Sleep(drainClientsAfter)
		for done := make(chan bool, 1); ; time.Sleep(pollInterval) {
			r.post(func() { done <- r.callsInFlight == 0 && next.link.Flushed() })
			select {
			case over := <-done:
				if !over {
					continue
				}
				r.drainClients(writeTimeout)
				r.stop()
			case <-r.quit:
			}
			return
		}
	}()
}

// SuccessorLost implements handover.Owner. The caller of Serve starts the relay again unless it is to stop.
func (r *Relay) SuccessorLost() {
	select {
	case <-r.quit:
	default:
		r.orphaned.Store(true)
		r.stop()
	}
}

// Orphaned reports whether the relay ended because its successor was lost.
func (r *Relay) Orphaned() bool { return r.orphaned.Load() }

// Handler implements handover.Owner.
func (r *Relay) Handler() http.Handler { return r.handler() }

// forwardToSuccessor reads a request as the relay itself would, and forwards it.
func (r *Relay) forwardToSuccessor(w http.ResponseWriter, req *http.Request) {
	body, status, err := r.readRequestBody(req)
	if err != nil {
		rejectUnread(w, status, err)
		return
	}
	defer r.readingBytes.Add(-int64(cap(body)))
	httpapi.RequestRead(req.Context())
	r.forward(w, req, body)
}

// forward has the successor answer a request.
func (r *Relay) forward(w http.ResponseWriter, req *http.Request, body []byte) {
	next := r.successor.Load()
	resp, err := next.ask(req, body)
	if err != nil {
		slog.Warn("not passed on", "err", err)
		w.Header().Set("Retry-After", "1")
		http.Error(w, errNoSuccessor.Error(), http.StatusServiceUnavailable)
		return
	}
	defer resp.Body.Close()
	if after := resp.Header.Get("Retry-After"); after != "" {
		w.Header().Set("Retry-After", after)
	}
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, resp.Body)
}

// ask sends a request to the successor, once it serves.
func (h *successor) ask(req *http.Request, body []byte) (*http.Response, error) {
	select {
	case <-h.serving:
	case <-time.After(successorTimeout):
		return nil, errNoSuccessor
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://relay"+req.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	out.Header = req.Header.Clone()
	out.Header.Del("Connection")
	return h.transport.RoundTrip(out)
}

// notifySuccessor sends the outcome of an attempt that ended after the relay was released.
func (r *Relay) notifySuccessor(c *call, m *message, e httpcall.End, took, wait time.Duration) {
	r.successor.Load().link.Notify(handover.Outcome{ID: m.ID, Host: c.host.id, Outcome: int(e.Outcome),
		Elapsed: took, RetryAfter: wait, Done: e.Done})
}
