// Package relay is the real relay round package choice: it keeps the time, the
// sockets and the durable record, and decides nothing about hosts, time-outs
// or further tries.
//
// One goroutine, the loop, owns the Chooser and all state. Everything else
// posts functions to it; it runs those that have come in as one batch, lets
// the Chooser decide once, writes the journal, and carries the actions out.
package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/discoverypoll"
	"larchrouter/internal/relay/engine"
	"larchrouter/internal/relay/front/admin"
	"larchrouter/internal/relay/front/httpapi"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
	"larchrouter/internal/relay/settings"
)

const (
	maxInboxBatch        = 256 // of what came in, other than messages, between two Steps
	maxAdmissionBatch    = 64  // messages between two Steps: what is out and under way does not wait behind a flood
	admissionQueueLength = 512 // messages that wait to be looked at; more are refused at once
	maxPendingNotices    = 8192
	reservedDescriptors  = 16 // descriptors for all but clients and hosts; conf.Sockets is at least 64
	// The ids of messages that are over are remembered for so long, across restarts: a client may repeat one.
	maxEnded      = 4096
	maxEndedBytes = 1 << 20
	endedExpiry   = 15 * time.Minute
	// unhealthyExpiry is when an outage last heard of is over for a restarted relay.
	unhealthyExpiry = 5 * time.Minute
)

// message is one that this relay owes its end.
type message struct {
	*journal.Entry
	class     int
	deadline  time.Duration
	call      *call        // out now
	waiting   []*admission // its client still waits for an answer; more than one if it sent it twice
	resent    bool         // its client sent it on a second connection
	ended     bool
	bodyBytes int64 // of its body, while it is held
	// Where attempts are kept: sequence in the order of those held.
	sequence   uint64
	mayHaveRun bool // an attempt may have run; the entry says so only once that is recorded
}

func (m *message) respond(a response) {
	for _, in := range m.waiting {
		in.reply <- a
	}
	m.waiting = nil
}

// Relay is one relay. Fields below the channels belong to the loop.
type Relay struct {
	config           Config
	settings         settings.Settings
	startedAt        time.Time
	server           *http.Server
	listener         *httpapi.Listener
	pool             *httpcall.Pool
	background       context.Context // of discovery and notices
	cancelBackground context.CancelFunc
	agent            atomic.Pointer[agent]
	callsContext     context.Context
	cancelCalls      context.CancelCauseFunc
	inbox            chan func()
	admissions       chan *admission
	notices          outbox
	maxBodyBytes     int64         // bytes that bodies may hold; those being read as many again
	readingBytes     atomic.Int64  // bytes of those
	rejectedBusy     atomic.Uint64 // messages refused as it was too late to look at them
	quit             chan struct{} // closed to end the loop
	quitOnce         sync.Once
	loopDone         chan struct{} // closed when it has ended, and answers nobody any more
	terminating      atomic.Bool   // Terminate was called
	finalAnswerWait  time.Duration // for answers that are decided to be written at the end
	doors            *httpapi.Doors
	successor        atomic.Pointer[successor] // who has taken this relay's place; stored by the loop
	orphaned         atomic.Bool
	classes          atomic.Pointer[classes] // stored by the loop, read by clients' requests

	chooser          *engine.Core
	peers            *gossip.Conn // nil without other relays to hear from
	journal          *journal.Journal
	pending          map[string]*message
	ended            endedMessages
	untried          untriedMessages
	predecessorCalls map[string]int // messages with a call out in the process whose place this one has taken, and its number there
	hosts            map[string]*host
	pendingBytes     int64                   // of the bodies held
	listVersion      int64                   // of discovery's list
	destinationSeen  map[int]time.Duration   // when a host was last listed there
	sharedWaits      map[int]*httpcall.Waits // of destinations whose hosts wait together
	events           []choice.Event
	admitted         []*message
	records          []journal.Record
	unsentNotices    []notice         // go out once they are recorded
	standalone       *standalone      // nil under a platform
	cluster          *cluster         // nil for a relay of no fleet, and under a platform
	unstoredEnds     []*journal.Entry // ends to be kept once they are recorded
	wakeTimer        *time.Timer
	wakeAt           time.Duration
	wakeFired        bool
	callsInFlight    int               // calls
	pendingNotices   int               // notices
	noticeOrder      map[string]string // of those, by id: the key of the order that the message was in
	noticesByOrder   map[string]int    // by that key, how many
	blockedCalls     []*call           // wait until the end before them in their order is heard
	stopped          bool              // no more decisions; outcomes are still recorded

	tracedAt        time.Duration
	writeErrors     int // failures to record since the last line in the log
	logWriteErrorAt time.Duration
}

// New replays the journal and listens; Serve does the rest.
func New(conf Config) (*Relay, error) {
	set := conf.Settings
	set.Life = rand.Uint32()
	r := &Relay{config: conf, settings: set, startedAt: time.Now(), pending: map[string]*message{}, predecessorCalls: map[string]int{}, hosts: map[string]*host{},
		destinationSeen: map[int]time.Duration{}, noticeOrder: map[string]string{}, noticesByOrder: map[string]int{}, sharedWaits: map[int]*httpcall.Waits{}, inbox: make(chan func(), maxInboxBatch), admissions: make(chan *admission, admissionQueueLength), notices: newOutbox(),
		quit: make(chan struct{}), loopDone: make(chan struct{}), finalAnswerWait: finalAnswerTimeout, wakeTimer: time.NewTimer(time.Hour), maxBodyBytes: bodyBytes(conf.MemoryMB)}
	r.ended.capacity = maxEnded
	if conf.Standalone != nil {
		r.standalone = newStandalone(*conf.Standalone)
		r.ended.capacity = max(r.ended.capacity, conf.Standalone.MaxEnds)
	}
	rest := set.IdleConn - min(500*time.Millisecond, set.IdleConn/4) // hosts end idle ones; what crosses that is lost
	// Descriptors: half for clients, a few for journal, discovery and the runtime, the rest for hosts.
	back := reservedDescriptors
	if conf.Admin != "" {
		back += admin.MostCalls
	}
	r.pool = httpcall.NewPool(set.DialTimeout, rest, conf.Sockets/2-back)
	r.background, r.cancelBackground = context.WithCancel(context.Background())
	if r.standalone == nil {
		r.Rediscover(conf.Discovery)
	}
	r.callsContext, r.cancelCalls = context.WithCancelCause(context.Background())
	r.classes.Store(newClasses(set.Classes))
	var err error
	if r.chooser, err = engine.New(set, conf.Seed); err != nil {
		return nil, err
	}
	if r.journal, err = journal.Open(conf.State, journal.Options{Budget: int64(conf.DiskMB * 1e6), Power: conf.Power, Files: conf.Files,
		Memory: journal.Memory{Most: r.ended.capacity, Bytes: maxEndedBytes, AgeMS: endedExpiry.Milliseconds()}}); err != nil {
		return nil, err
	}
	switch {
	case conf.Successor != nil && conf.Successor.State.HostList != nil:
		var l hostList
		if err := json.Unmarshal(conf.Successor.State.HostList, &l); err != nil {
			return nil, fmt.Errorf("the earlier process's list of hosts: %w", err)
		}
		r.listVersion = l.Version
		r.applyHostList(l)
	case conf.Known.Full || len(conf.Known.Servers) > 0:
		r.listVersion = conf.Known.Version
		r.applyHostList(conf.Known)
	}
	if r.standalone != nil {
		if err := r.restoreDrains(); err != nil {
			r.journal.Close()
			return nil, err
		}
	}
	if conf.Successor != nil {
		r.inheritState(conf.Successor.State)
		r.listener = httpapi.Adopt(conf.Successor.Listener, conf.Sockets/2)
	} else if r.listener, err = httpapi.Listen(conf.Listen, conf.Sockets/2); err != nil {
		r.journal.Close()
		return nil, err
	}
	r.restore()
	r.server = &http.Server{ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		ConnContext: httpapi.WithClient, ConnState: httpapi.ClientState}
	r.doors = httpapi.NewDoors(r.listener, keepAliveFor)
	r.server.Handler = r.doors.Behind(r.handler())
	return r, nil
}

// bodyBytes is what the bodies held may take of the memory. The journal's files count as memory as well.
func bodyBytes(memoryMB float64) int64 {
	if memoryMB <= 0 {
		return 1 << 30
	}
	return int64(memoryMB / 8 * (1 << 20))
}

// Addr is where clients connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Serve runs the relay until it is ended.
func (r *Relay) Serve() {
	if r.standalone == nil {
		go r.followDiscovery(r.background, discoverypoll.Settings{Index: r.settings.Index, Fleet: r.settings.Fleet, Seed: r.config.Seed, Version: r.listVersion, Listed: len(r.hosts) > 0})
		go r.postNotices(r.background)
	}
	if r.chooser.Granted() && r.config.PeerListen != "" {
		go r.joinFleet(r.background)
	}
	go r.server.Serve(r.listener)
	r.loop()
	r.cancelBackground()
	close(r.loopDone)
	r.drainClients(r.finalAnswerWait)
	r.server.Close()
	r.cancelCalls(errStopping)
	r.pool.CloseIdle()
	r.journal.Close()
	if h := r.successor.Load(); h != nil {
		h.close()
	}
}

// drainClients sends all clients away, those included that have not asked for anything yet, and waits for so long at
// the most until each that has asked has its answer.
func (r *Relay) drainClients(most time.Duration) {
	r.doors.Shut()
	for end := time.Now().Add(most); ; time.Sleep(pollInterval) {
		if r.listener.SendAway(true); r.listener.Len() == 0 || !time.Now().Before(end) {
			return
		}
	}
}

// The times of an orderly stop, from SIGTERM. New connections come for 0.4 s
// more, SIGKILL after 3.7 s.
const (
	keepAliveFor       = 500 * time.Millisecond  // then connections end between requests
	exitIdleAfter      = 800 * time.Millisecond  // a relay that holds nothing, and has no clients, ends from here on
	sendFor            = 2600 * time.Millisecond // then no more calls go out, and no message is taken on
	terminateTimeout   = 3300 * time.Millisecond // then calls still out are left to the journal
	finalAnswerTimeout = 250 * time.Millisecond  // for answers that are decided to be written
)

// Terminate stops the platform's relay in order: it takes on and delivers while clients still
// come, lets calls out finish, and leaves the rest to the journal. Clients are accepted, and answered, to the end: one
// whose request nobody reads has lost it.
func (r *Relay) Terminate() {
	if r.terminating.Swap(true) {
		return // a second signal changes nothing
	}
	begin := time.Now()
	time.Sleep(keepAliveFor)
	for idle := false; !idle && time.Since(begin) < terminateTimeout; time.Sleep(pollInterval) {
		r.doors.Shut() // again and again: an answer that was under way keeps its connection
		sending := time.Since(begin) < sendFor
		alone := time.Since(begin) >= exitIdleAfter && r.listener.Len() == 0
		idle, _ = onLoop(r.background, r, func() bool {
			r.stopped = r.stopped || !sending
			return r.callsInFlight == 0 && (r.stopped || alone && (r.successor.Load() != nil || len(r.pending)+r.pendingNotices == 0))
		})
	}
	// No more is taken on, and who was taken on hears so, before the loop ends.
	onLoop(r.background, r, func() bool { r.stopped = true; return true })
	r.drainClients(r.finalAnswerWait)
	r.stop()
}

// stop ends the relay as it is; the journal has the rest.
func (r *Relay) stop() { r.quitOnce.Do(func() { close(r.quit) }) }

func (r *Relay) now() time.Duration { return time.Since(r.startedAt) }

// post hands the loop something to do.
func (r *Relay) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.quit:
	}
}

// alwaysReady is always ready.
var alwaysReady = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

func (r *Relay) loop() {
	if r.standalone != nil {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		go r.expireEnds(tick.C)
	}
	for {
		r.step()
		r.checkDrain()
		// Where one processor is all there is, clients and loop could hand it to each other for ever: the runtime
		// looks at sockets, and at those woken by them, only when nothing else can run. Yielding puts the loop
		// behind the calls whose answers have come.
		runtime.Gosched()
		var again <-chan struct{}
		if len(r.events) > 0 { // the step left some; nothing else may come in for long
			again = alwaysReady
		}
		select {
		case f := <-r.inbox:
			f()
		case in := <-r.admissions:
			r.admit(in)
		case <-r.wakeTimer.C:
			r.wakeFired = true
		case <-again:
		case <-r.quit:
			r.cancelBlockedCalls()
			r.flush()
			return
		}
		r.receiveBatch()
	}
}

// receiveBatch takes in what else has come, up to a bound for each kind.
func (r *Relay) receiveBatch() {
	for range maxInboxBatch {
		select {
		case f := <-r.inbox:
			f()
			continue
		default:
		}
		break
	}
	for range maxAdmissionBatch {
		select {
		case in := <-r.admissions:
			r.admit(in)
			continue
		default:
		}
		break
	}
}

// restore takes up what the journal holds.
func (r *Relay) restore() {
	wall := time.Now().UnixMilli()
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, e := range r.journal.Ended() {
		r.ended.put(e.ID, e.Sum)
	}
	r.logJournalDamage()
	for _, e := range r.journal.InOrder() {
		id := e.ID
		if e.Status != "" && r.standalone != nil {
			r.restoreEnd(e)
			continue
		}
		if e.Status == delivered { // kept by a relay without a platform: nothing is owed
			r.record(journal.Record{Op: journal.OpEnd, ID: id})
			continue
		}
		if e.Status != "" {
			r.ended.add(e)
			r.queueNotice(notice{e.ID, e.Status, e.Again}, e.Order)
			continue
		}
		if _, out := r.predecessorCalls[id]; e.Out && !out {
			// The process died before the outcome was recorded: it may have run.
			r.record(journal.Record{Op: journal.OpOutcome, ID: id, Ran: true})
		}
		class, ok := r.classAs(e)
		if !ok {
			status := undeliverable
			if r.standalone != nil && !e.Ran && !e.Out {
				status = deferred
			}
			r.endUndelivered(&message{Entry: e}, notice{e.ID, status, 0}, "its class was taken out of the operator's file")
			continue
		}
		m := &message{Entry: e, class: class, deadline: r.now() + ms(e.Due-wall)}
		if r.standalone != nil && r.rejectReason(m) != "" {
			m.mayHaveRun = e.Out
			r.conclude(m, r.undeliveredStatus(m), 0, r.rejectReason(m))
			continue
		}
		r.addPending(m)
		if _, out := r.predecessorCalls[id]; out {
			r.expectOutcome(m)
			continue
		}
		if e.Tries == 0 {
			r.untried.add(id)
		}
		r.restoreMessage(m, e.Out)
	}
	for id, s := range r.journal.Unwell {
		if time.Duration(wall-s.At)*time.Millisecond < unhealthyExpiry {
			r.events = append(r.events, choice.Unwell{Host: id, Base: s.Base})
		} else {
			r.record(journal.Record{Op: journal.OpHealth, ID: id})
		}
	}
	slog.Info("journal replayed", "held", len(r.pending), "owed", r.pendingNotices)
}

// logJournalDamage says what of the journal could not be read, and which messages it may concern.
func (r *Relay) logJournalDamage() {
	rep := r.journal.Report()
	for _, d := range rep.Damage {
		slog.Error("the journal is damaged", "where", d.String(), "kept", d.Saved)
	}
	if rep.LegacyUnread > 0 {
		slog.Warn("the end of the earlier journal could not be read", "bytes", rep.LegacyUnread)
	}
	if len(rep.Lost) > 0 {
		slog.Error("messages are lost with it; only their ids are known", "count", len(rep.Lost), "ids", rep.Lost[:min(20, len(rep.Lost))])
	}
	if len(rep.Suspects) > 0 {
		slog.Error("messages whose attempts may be missing from it; they count as possibly run", "count", len(rep.Suspects),
			"ids", rep.Suspects[:min(20, len(rep.Suspects))])
	}
}

func (r *Relay) record(rec journal.Record) {
	if rec.Op == journal.OpEnd {
		rec.At = time.Now().UnixMilli()
	}
	r.records = append(r.records, rec)
}

// queueNotice has a notice told once what it says is recorded. Order is the key of the order that its message was in.
func (r *Relay) queueNotice(n notice, order string) {
	r.pendingNotices++
	r.unsentNotices = append(r.unsentNotices, n)
	if order != "" {
		r.noticeOrder[n.ID] = order
		r.noticesByOrder[order]++
	}
}

// endUndelivered ends a message undelivered. Why is for people.
func (r *Relay) endUndelivered(m *message, n notice, why string) {
	r.untried.markEnded(m.ID, why)
	traceEnd(m, n.Status, why)
	if r.standalone != nil {
		r.conclude(m, n.Status, n.Again, why)
		return
	}
	r.record(journal.Record{Op: journal.OpNotice, ID: m.ID, Status: n.Status, Again: n.Again})
	r.queueNotice(n, m.Order)
	r.finish(m)
}

func (r *Relay) addPending(m *message) {
	m.bodyBytes = int64(len(m.Body))
	r.pendingBytes += m.bodyBytes
	r.pending[m.ID] = m
	r.appendInOrder(m)
}

func (r *Relay) removePending(m *message) {
	m.ended = true
	delete(r.pending, m.ID)
	r.pendingBytes -= m.bodyBytes
	m.bodyBytes = 0
}

// finish forgets a message that has ended.
func (r *Relay) finish(m *message) {
	r.removePending(m)
	r.ended.add(m.Entry)
}

// flush records what has ended. What cannot be written now is kept, and no notice
// goes out before it is: a client told to come again, and a restart that takes the
// message up again, would deliver it twice.
func (r *Relay) flush() {
	if r.successor.Load() != nil {
		r.records, r.unsentNotices = nil, nil // the heir knows, or learns it as this process did
		return
	}
	if len(r.records) > 0 {
		if err := r.journal.Append(r.records...); err != nil {
			r.logWriteError("not recorded", err)
			time.AfterFunc(maxBackoff, func() { r.post(func() {}) })
			return
		}
		r.records = r.records[:0]
	}
	r.storeEnds()
	r.notices.put(r.unsentNotices...)
	r.unsentNotices = r.unsentNotices[:0]
}

// step lets the Chooser decide on what has come in, and carries its actions out.
func (r *Relay) step() {
	if r.successor.Load() != nil {
		r.events, r.admitted = nil, nil
		r.flush()
		return
	}
	if r.stopped {
		r.events = nil
		for _, m := range r.admitted {
			r.reject(m, defaultRetryAfter, "stopping")
		}
		r.admitted = nil
		r.flush()
		return
	}
	if r.wakeFired {
		r.events = append(r.events, choice.Woken{})
	}
	if len(r.events) == 0 {
		r.flush()
		return
	}
	events, now := r.events, r.now()
	r.events = nil
	if r.wakeFired {
		r.wakeFired, r.wakeAt = false, 0
	}
	var sends []choice.Send
	for _, a := range r.chooser.Step(now, events) {
		switch a := a.(type) {
		case choice.Send:
			sends = append(sends, a)
		case choice.Refuse:
			r.giveUp(a.ID, deferred, min(a.After, r.settings.MaxRetryAfter), a.Why)
		case choice.Fail:
			r.giveUp(a.ID, undeliverable, 0, a.Why)
		case choice.Cancel:
			if m := r.pending[a.ID]; m != nil && m.call != nil {
				m.call.cancel(httpcall.ErrCalledOff)
			}
		case choice.Wake:
			r.armWakeTimer(now, a.After)
		case choice.Health:
			r.record(journal.Record{Op: journal.OpHealth, ID: a.Host, Ran: a.Unwell, Base: a.Base, At: time.Now().UnixMilli()})
			r.reportHealth(a.Host, a.Unwell)
		case choice.Tell:
			r.sendToPeer(a)
		case choice.Log:
			slog.Info(r.withPartnerName(a.Text))
		}
	}
	r.traceFleet(now)
	r.commit(sends)
}

// commit records what a Step has decided: what has ended, what is taken on, what goes out. Only then clients and
// the platform are told, and calls begin. All of it is one write; if that fails, each part is recorded for
// itself, so that what there is no room for holds up nothing else.
func (r *Relay) commit(sends []choice.Send) {
	calls, unsent := r.groupCalls(sends)
	ended := len(r.records)
	for _, m := range r.admitted {
		if !m.ended {
			r.record(journal.Record{Op: journal.OpTaken, Entry: m.Entry})
		}
	}
	for _, c := range calls {
		r.records = append(r.records, r.attemptRecords(c)...)
	}
	var err error
	if len(r.records) > 0 {
		err = r.journal.Append(r.records...)
	}
	if err == nil {
		r.records = r.records[:0]
	} else {
		r.records = r.records[:ended]
	}
	r.flush()
	for _, m := range r.admitted {
		if m.ended || err != nil && !r.recordAdmission(m) {
			continue
		}
		m.respond(response{status: http.StatusAccepted})
		if r.standalone != nil {
			r.standalone.counters.countAccepted(time.Now())
		}
	}
	clear(r.admitted)
	r.admitted = r.admitted[:0]
	if err != nil {
		calls, unsent = r.groupCalls(sends) // some may not be held any more
	}
	for _, s := range unsent {
		r.reportNotSent(s)
	}
	for _, c := range calls {
		switch {
		case err != nil && !r.recordAttempts(c):
		case r.awaitsNotice(c):
			r.blockedCalls = append(r.blockedCalls, c)
		default:
			r.startCall(c)
		}
	}
}

// recordAdmission records a message for itself, or refuses it.
func (r *Relay) recordAdmission(m *message) bool {
	err := r.journal.Append(journal.Record{Op: journal.OpTaken, Entry: m.Entry})
	if err != nil {
		r.logWriteError("message not taken on", err)
		r.events = append(r.events, choice.Withdrawn{ID: m.ID})
		r.reject(m, defaultRetryAfter, "no room on the disk")
	}
	return err == nil
}

// recordAttempts records the attempts of a call for themselves, or calls them off. An attempt that a restart would not
// know of must not go out, nor one whose record would come before an outcome that could not be written yet.
func (r *Relay) recordAttempts(c *call) bool {
	err := journal.ErrUnwritten
	if len(r.records) == 0 {
		err = r.journal.Append(r.attemptRecords(c)...)
	}
	if err != nil {
		r.logWriteError("attempts not sent", err)
		for _, s := range c.sends {
			r.reportNotSent(s)
		}
	}
	return err == nil
}

func (r *Relay) reportNotSent(s choice.Send) {
	r.events = append(r.events, choice.Result{ID: s.ID, Host: s.Host, Outcome: choice.NotSent})
}

// armWakeTimer sets the timer for the earliest wake-up asked for. One that fell due, but whose tick
// the loop has not read yet, no longer counts: the Chooser has asked anew, will not ask
// again before that, and without the guard sleeps until something else comes in.
func (r *Relay) armWakeTimer(now, after time.Duration) {
	if at := now + after; r.wakeAt <= now || at < r.wakeAt {
		r.wakeAt = at
		r.wakeTimer.Reset(after) // drops an unread tick
	}
}

// logWriteError logs that something could not be recorded, at most once a second: there may be thousands.
func (r *Relay) logWriteError(what string, err error) {
	r.writeErrors++
	if now := r.now(); now >= r.logWriteErrorAt {
		slog.Error(what, "err", err, "times", r.writeErrors)
		r.writeErrors, r.logWriteErrorAt = 0, now+time.Second
	}
}

// reject ends a message that was never taken on.
func (r *Relay) reject(m *message, after time.Duration, text string) {
	if r.standalone != nil {
		r.standalone.counters.countRejected()
	}
	traceEnd(m, "turned away", text)
	r.removePending(m)
	m.respond(response{status: http.StatusServiceUnavailable, after: after, text: text})
}

// giveUp ends a message that the Chooser has given up, at once.
func (r *Relay) giveUp(id, status string, after time.Duration, why choice.Reason) {
	switch m := r.pending[id]; {
	case m == nil:
	case m.waiting != nil:
		r.reject(m, after, "refused: "+why.String())
	default:
		r.endUndelivered(m, notice{id, status, after.Milliseconds()}, why.String())
	}
}

// groupCalls makes calls of the sends of one Step, and tells which cannot go: their host has gone or closed.
func (r *Relay) groupCalls(sends []choice.Send) (calls []*call, unsent []choice.Send) {
	open := map[string]*call{}
	for _, s := range sends {
		m, h := r.pending[s.ID], r.hosts[s.Host]
		if m == nil || h == nil || h.dest != m.Dest || h.Closed() {
			unsent = append(unsent, s)
			continue
		}
		c, size := open[s.Host], 0
		if h.perCall > 1 {
			size = len(messageFrame(m))
		}
		if c == nil || len(c.members) >= h.perCall || c.size+size > maxBody { // no body may be longer
			c = &call{host: h}
			open[s.Host] = c
			calls = append(calls, c)
		}
		c.size += size
		c.members, c.sends = append(c.members, m), append(c.sends, s)
	}
	return calls, unsent
}

// attemptRecords are the records of a call's attempts.
func (r *Relay) attemptRecords(c *call) (recs []journal.Record) {
	wall := time.Now().UnixMilli()
	for i, m := range c.members {
		rec := journal.Record{Op: journal.OpTry, ID: m.ID, At: wall, Wait: c.sends[i].Timeout.Milliseconds(), Zone: c.host.zone}
		if r.standalone != nil {
			rec.Host = c.host.id
		}
		recs = append(recs, rec)
	}
	return recs
}

// mayHaveRun tells whether an attempt that ended so may have taken effect.
func mayHaveRun(o choice.Outcome) bool {
	return o != choice.Refused && o != choice.NoConnection && o != choice.NotSent
}

// attemptEnded takes in what became of one message's attempt.
func (r *Relay) attemptEnded(c *call, m *message, e httpcall.End, took, wait time.Duration) {
	if m.call != c {
		return // its own time was up before the call's
	}
	m.call = nil
	traceAttempt(c, m, e, took, wait)
	if r.successor.Load() != nil {
		r.notifySuccessor(c, m, e, took, wait)
		return
	}
	expelled := r.standalone != nil && r.rejectReason(m) != ""
	r.events = append(r.events, choice.Result{ID: m.ID, Host: c.host.id, Outcome: e.Outcome, Took: took, Wait: wait,
		Done: e.Done || e.Outcome == choice.Served || expelled})
	if m.ended {
		return
	}
	ran := mayHaveRun(e.Outcome)
	m.mayHaveRun = m.mayHaveRun || ran
	out := journal.Record{Op: journal.OpOutcome, ID: m.ID, Ran: ran}
	if r.standalone != nil {
		out.Why, out.Wait = outcomeNames[e.Outcome], took.Milliseconds()
	}
	switch over := e.Done || e.Outcome == choice.Served; {
	case r.standalone == nil && e.Outcome == choice.Served && r.maybeLate(c, m):
		r.endUndelivered(m, notice{m.ID, undeliverable, 0}, "delivered, perhaps after its time")
	case r.standalone == nil && over:
		traceEnd(m, delivered, "")
		r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
		r.finish(m)
	case !over && !expelled:
		r.record(out)
	default:
		r.record(out)
		switch {
		case e.Outcome == choice.Served:
			r.conclude(m, delivered, 0, "")
		case e.Done:
			r.conclude(m, r.undeliveredStatus(m), 0, "its partner holds it to be over")
		default:
			r.conclude(m, r.undeliveredStatus(m), 0, r.rejectReason(m))
		}
	}
}
