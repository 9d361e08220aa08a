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

	"larchrouter/choice"
	"larchrouter/internal/relay/front/httpapi"
	"larchrouter/internal/relay/handover"
	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
)

// A relay gives way to another process (Release and what follows it), and takes another's place (what is abroad:
// messages whose call is still out there). Package handover has the idea.

const (
	successorTimeout  = 350 * time.Millisecond // for an heir to serve what waits to be passed on; clients leave after 400
	drainClientsAfter = time.Second            // clients' connections have been closed by then
	pollInterval      = 50 * time.Millisecond
	predecessorSlack  = 50 * time.Millisecond // an owner tells a time-out at the message's time; the answer has 300 ms
)

var errNoSuccessor = errors.New("its successor does not serve")

// Release gives the relay up, as handover.Owner says.
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

// release runs in the loop.
func (r *Relay) release(to *handover.Link) (s handover.State, err error) {
	if r.successor.Load() != nil {
		return s, errors.New("it has given way already")
	}
	r.receiveBatch()
	r.cancelBlockedCalls()
	for turns := 0; len(r.events) > 0 || len(r.records) > 0; turns++ {
		if turns == 64 {
			return s, errors.New("not all can be recorded")
		}
		r.step()
	}
	calls := map[*call]int{}
	for id, m := range r.pending {
		if m.call != nil {
			if _, ok := calls[m.call]; !ok {
				calls[m.call] = len(calls)
			}
			s.InFlight = append(s.InFlight, handover.InFlight{ID: id, Call: calls[m.call]})
		}
	}
	s.RetryAfter = map[string]int64{}
	for _, d := range r.chooser.Views() {
		for _, h := range d.Hosts {
			if h.Wait > 0 {
				s.RetryAfter[h.Addr] = h.Wait.Milliseconds() + 1
			}
		}
	}
	r.ended.each(func(id string, sum uint32) { s.Ended = append(s.Ended, handover.Ended{ID: id, Sum: sum}) })
	l := hostList{Version: r.listVersion, Full: true}
	for _, id := range slices.Sorted(maps.Keys(r.hosts)) {
		l.Servers = append(l.Servers, r.hosts[id].listed)
	}
	if s.HostList, err = json.Marshal(l); err != nil {
		return s, err
	}
	r.successor.Store(&successor{link: to, serving: make(chan struct{}), transport: handover.Forwarder(r.config.State)})
	r.closePeers()
	r.journal.Close()
	if r.config.Unlock != nil {
		r.config.Unlock()
	}
	return s, nil
}

// successor is who has taken a relay's place.
type successor struct {
	link      *handover.Link
	serving   chan struct{} // closed when it does
	transport *http.Transport
}

// close ends all ties.
func (h *successor) close() {
	h.link.Close()
	h.transport.CloseIdleConnections()
}

// SuccessorServing implements handover.Owner: clients are sent to the heir, and once no call is out the relay ends.
func (r *Relay) SuccessorServing() {
	h := r.successor.Load()
	close(h.serving)
	slog.Info("handed over")
	r.doors.Close()
	go func() {
		time.Sleep(drainClientsAfter)
		for done := make(chan bool, 1); ; time.Sleep(pollInterval) {
			r.post(func() { done <- r.callsInFlight == 0 && h.link.Flushed() })
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

// SuccessorLost implements handover.Owner. Where the relay is still wanted, who runs it takes it up again.
func (r *Relay) SuccessorLost() {
	select {
	case <-r.quit:
	default:
		r.orphaned.Store(true)
		r.stop()
	}
}

// Orphaned tells whether the relay ended since its heir did.
func (r *Relay) Orphaned() bool { return r.orphaned.Load() }

// Handler implements handover.Owner.
func (r *Relay) Handler() http.Handler { return r.handler() }

// forwardToSuccessor reads a request as the relay itself would, and has the heir answer it.
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

// forward has the heir answer.
func (r *Relay) forward(w http.ResponseWriter, req *http.Request, body []byte) {
	h := r.successor.Load()
	resp, err := h.ask(req, body)
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

// notifySuccessor is what becomes of a call's outcome after the relay has given way.
func (r *Relay) notifySuccessor(c *call, m *message, e httpcall.End, took, wait time.Duration) {
	r.successor.Load().link.Notify(handover.Outcome{ID: m.ID, Host: c.host.id, Outcome: int(e.Outcome), Elapsed: took, RetryAfter: wait, Done: e.Done})
}

// inheritState takes over what the earlier process knew beside the journal. It precedes restore.
func (r *Relay) inheritState(s handover.State) {
	for _, o := range s.InFlight {
		r.predecessorCalls[o.ID] = o.Call
	}
	for host, ms := range s.RetryAfter {
		r.delayHost(host, time.Duration(ms)*time.Millisecond)
	}
	for _, p := range s.Ended {
		r.ended.put(p.ID, p.Sum)
	}
	r.adjustSlots()
}

// delayHost has nothing sent to a host for a while.
func (r *Relay) delayHost(host string, wait time.Duration) {
	r.events = append(r.events, choice.Told{Host: host, Wait: wait})
}

// adjustSlots leaves the decisions the slots that calls abroad do not take.
func (r *Relay) adjustSlots() {
	calls := map[int]bool{}
	for _, c := range r.predecessorCalls {
		calls[c] = true
	}
	set := r.settings.Settings
	set.Workers = max(1, set.Workers-len(calls))
	r.events = append(r.events, choice.Retuned{Settings: set})
}

// expectOutcome has a message that is out abroad settled at its time at the latest.
func (r *Relay) expectOutcome(m *message) {
	time.AfterFunc(m.deadline-r.now()+predecessorSlack, func() {
		r.post(func() { r.settlePredecessorCalls(httpcall.End{Outcome: choice.Timeout}, m.ID) })
	})
}

// AcceptOutcome takes in an outcome that the earlier process told.
func (r *Relay) AcceptOutcome(o handover.Outcome) {
	r.post(func() {
		if o.RetryAfter > 0 {
			r.delayHost(o.Host, o.RetryAfter)
		}
		r.settlePredecessorCalls(httpcall.End{Outcome: choice.Outcome(o.Outcome), Done: o.Done}, o.ID)
	})
}

// PredecessorLost says that the earlier process has gone: what it has not told may have run.
func (r *Relay) PredecessorLost() {
	r.post(func() {
		ids := slices.Sorted(maps.Keys(r.predecessorCalls))
		r.settlePredecessorCalls(httpcall.End{Outcome: choice.Reset}, ids...)
		slog.Info("the earlier process has left", "untold", len(ids))
	})
}

// settlePredecessorCalls ends the attempts of messages that were out abroad, all alike: from now on each is as one that a
// restart found. Those settled before are passed over.
func (r *Relay) settlePredecessorCalls(e httpcall.End, ids ...string) {
	before := len(r.predecessorCalls)
	for _, id := range ids {
		if _, ok := r.predecessorCalls[id]; !ok {
			continue
		}
		delete(r.predecessorCalls, id)
		switch m := r.pending[id]; {
		case m == nil:
		case e.Done || e.Outcome == choice.Served:
			r.record(journal.Record{Op: journal.OpEnd, ID: id})
			r.finish(m)
		default:
			ran := mayHaveRun(e.Outcome)
			r.record(journal.Record{Op: journal.OpOutcome, ID: id, Ran: ran})
			r.restoreMessage(m, ran)
		}
	}
	if len(r.predecessorCalls) < before {
		r.adjustSlots()
	}
}

// restoreMessage hands the decisions a message that an earlier process took on. Ran says that its last attempt may have
// run and is not recorded so yet.
func (r *Relay) restoreMessage(m *message, ran bool) {
	e, wall := m.Entry, time.Now().UnixMilli()
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	ev := choice.Restored{Arrival: choice.Arrival{ID: e.ID, Class: m.class, Dest: e.Dest, Left: m.deadline - r.now(), Key: e.Order},
		Attempts: e.Tries, Timeout: ms(e.Wait), Ran: e.Ran, RanAgo: ms(wall - e.RanAt), RanZone: e.Zone}
	if ran && !e.Ran {
		ev.Ran, ev.RanAgo, ev.RanZone = true, ms(wall-e.OutAt), e.OutTo
	}
	r.events = append(r.events, ev)
}
