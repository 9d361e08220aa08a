package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	maxInboxBatch        = 256 // functions in the inbox taken in between two steps
	maxAdmissionBatch    = 64  // admissions between two steps, so that outcomes do not wait behind a flood
	admissionQueueLength = 512 // admissions that wait for the loop; more are rejected at once
	maxPendingNotices    = 8192
	reservedDescriptors  = 16 // for all but clients and hosts; Config.Sockets is at least 64
	// Bounds of the ids that are remembered after their end, across restarts: a client may repeat one.
	maxEnded      = 4096
	maxEndedBytes = 1 << 20
	endedExpiry   = 15 * time.Minute
	// unhealthyExpiry is the age after which a restarted relay ignores a recorded outage.
	unhealthyExpiry = 5 * time.Minute
)

// message is a message that this relay owes an end.
type message struct {
	*journal.Entry
	class     int
	deadline  time.Duration
	call      *call        // in flight; nil for none
	waiting   []*admission // client requests without a response; several if the client repeated it
	resent    bool         // its client sent it on another connection
	ended     bool
	bodyBytes int64 // of its body while it is pending, else 0
	// Standalone only: position in pendingInOrder.
	sequence   uint64
	mayHaveRun bool // the entry has this only once it is recorded
}

// respond answers all client requests that wait for the message's admission.
func (m *message) respond(a response) {
	for _, in := range m.waiting {
		in.reply <- a
	}
	m.waiting = nil
}

// Relay is one relay. The fields below the channels belong to the loop.
type Relay struct {
	config           Config
	settings         settings.Settings
	startedAt        time.Time
	server           *http.Server
	listener         *httpapi.Listener
	pool             *httpcall.Pool
	background       context.Context // context of discovery and notices
	cancelBackground context.CancelFunc
	agent            atomic.Pointer[agent]
	callsContext     context.Context
	cancelCalls      context.CancelCauseFunc
	inbox            chan func()
	admissions       chan *admission
	notices          outbox
	maxBodyBytes     int64         // of pending bodies; bodies being read may have as many again
	readingBytes     atomic.Int64  // of bodies being read
	rejectedBusy     atomic.Uint64 // messages that waited too long for the loop
	quit             chan struct{} // closed to end the loop
	quitOnce         sync.Once
	loopDone         chan struct{} // closed once the loop has ended
	terminating      atomic.Bool   // Terminate was called
	finalAnswerWait  time.Duration // time for responses to be written at the end
	doors            *httpapi.Doors
	successor        atomic.Pointer[successor] // nil before a release; stored by the loop
	orphaned         atomic.Bool
	classes          atomic.Pointer[classes] // stored by the loop, read by clients' requests

	chooser          *engine.Core
	peers            *gossip.Conn // nil without other relays
	journal          *journal.Journal
	pending          map[string]*message
	ended            endedMessages
	untried          untriedMessages
	predecessorCalls map[string]int // call numbers of messages in flight at the predecessor
	hosts            map[string]*host
	pendingBytes     int64                   // of pending bodies
	listVersion      int64                   // of discovery's list
	destinationSeen  map[int]time.Duration   // when a destination last had a host
	sharedWaits      map[int]*httpcall.Waits // of destinations whose hosts share waits
	events           []choice.Event
	admitted         []*message
	records          []journal.Record
	unsentNotices    []notice         // queued once their records are written
	standalone       *standalone      // nil under a platform
	cluster          *cluster         // nil without a fleet
	unstoredEnds     []*journal.Entry // stored once their records are written
	wakeTimer        *time.Timer
	wakeAt           time.Duration
	wakeFired        bool
	callsInFlight    int
	pendingNotices   int               // notices that are not acknowledged
	noticeOrder      map[string]string // order keys of those, by message id
	noticesByOrder   map[string]int    // their number, by order key
	blockedCalls     []*call           // recorded, and waiting for the acknowledgement of a notice
	stopped          bool              // no more decisions; outcomes are still recorded

	tracedAt        time.Duration
	writeErrors     int // since the last log line
	logWriteErrorAt time.Duration
}

// New replays the journal and listens for clients. The caller then calls Serve or Abandon.
func New(conf Config) (*Relay, error) {
	r := allocate(conf)
	r.background, r.cancelBackground = context.WithCancel(context.Background())
	if r.standalone == nil {
		r.Rediscover(conf.Discovery)
	}
	r.callsContext, r.cancelCalls = context.WithCancelCause(context.Background())
	r.classes.Store(newClasses(r.settings.Classes))
	var err error
	if r.chooser, err = engine.New(r.settings, conf.Seed); err != nil {
		return nil, err
	}
	if r.journal, err = journal.Open(conf.State, r.journalOptions()); err != nil {
		return nil, err
	}
	if err := r.initialHosts(); err != nil {
		return nil, err
	}
	if r.standalone != nil {
		if err := r.restoreDrains(); err != nil {
			r.journal.Close()
			return nil, err
		}
	}
	if err := r.listen(); err != nil {
		r.journal.Close()
		return nil, err
	}
	r.restore()
	r.server = &http.Server{ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 16 << 10, ConnContext: httpapi.WithClient, ConnState: httpapi.ClientState}
	r.doors = httpapi.NewDoors(r.listener, keepAliveFor)
	r.server.Handler = r.doors.Behind(r.handler())
	return r, nil
}

// allocate returns a relay that has opened nothing yet.
func allocate(conf Config) *Relay {
	set := conf.Settings
	set.Life = rand.Uint32()
	r := &Relay{config: conf, settings: set, startedAt: time.Now(), pending: map[string]*message{},
		predecessorCalls: map[string]int{}, hosts: map[string]*host{}, destinationSeen: map[int]time.Duration{},
		noticeOrder: map[string]string{}, noticesByOrder: map[string]int{}, sharedWaits: map[int]*httpcall.Waits{},
		inbox: make(chan func(), maxInboxBatch), admissions: make(chan *admission, admissionQueueLength), notices: newOutbox(),
		quit: make(chan struct{}), loopDone: make(chan struct{}), finalAnswerWait: finalAnswerTimeout,
		wakeTimer: time.NewTimer(time.Hour), maxBodyBytes: bodyBytes(conf.MemoryMB)}
	r.ended.capacity = maxEnded
	if conf.Standalone != nil {
		r.standalone = newStandalone(*conf.Standalone)
		r.ended.capacity = max(r.ended.capacity, conf.Standalone.MaxEnds)
	}
	// Hosts close idle connections after IdleConn; a request that crosses that is lost.
	rest := set.IdleConn - min(500*time.Millisecond, set.IdleConn/4)
	// Descriptors: half for clients, a few for journal, discovery and the runtime, the others for hosts.
	reserved := reservedDescriptors
	if conf.Admin != "" {
		reserved += admin.MostCalls
	}
	r.pool = httpcall.NewPool(set.DialTimeout, rest, conf.Sockets/2-reserved)
	return r
}

// journalOptions returns the options to open the journal with.
func (r *Relay) journalOptions() journal.Options {
	return journal.Options{Budget: int64(r.config.DiskMB * 1e6), Power: r.config.Power, Files: r.config.Files,
		Retention: journal.Retention{MaxIDs: r.ended.capacity, MaxBytes: maxEndedBytes, MaxAgeMs: endedExpiry.Milliseconds()}}
}

// initialHosts applies the list of hosts of the predecessor, or else of the configuration.
func (r *Relay) initialHosts() error {
	switch {
	case r.config.Successor != nil && r.config.Successor.State.HostList != nil:
		var list hostList
		if err := json.Unmarshal(r.config.Successor.State.HostList, &list); err != nil {
			return fmt.Errorf("the earlier process's list of hosts: %w", err)
		}
		r.listVersion = list.Version
		r.applyHostList(list)
	case r.config.Known.Full || len(r.config.Known.Servers) > 0:
		r.listVersion = r.config.Known.Version
		r.applyHostList(r.config.Known)
	}
	return nil
}

// listen takes over the listener and the state of the predecessor, or else opens a listener.
func (r *Relay) listen() (err error) {
	if takeover := r.config.Successor; takeover != nil {
		r.inheritState(takeover.State)
		r.listener = httpapi.Adopt(takeover.Listener, r.config.Sockets/2)
		return nil
	}
	r.listener, err = httpapi.Listen(r.config.Listen, r.config.Sockets/2)
	return err
}

// bodyBytes returns how many bytes the pending bodies may have: an eighth of the memory, since the journal's files count as
// memory too.
func bodyBytes(memoryMB float64) int64 {
	if memoryMB <= 0 {
		return 1 << 30
	}
	return int64(memoryMB / 8 * (1 << 20))
}

// Addr returns the address where clients connect.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Serve runs the relay until it has ended.
func (r *Relay) Serve() {
	if r.standalone == nil {
		go r.followDiscovery(r.background, discoverypoll.Settings{Index: r.settings.Index, FleetSize: r.settings.Fleet,
			Seed: r.config.Seed, Version: r.listVersion, Listed: len(r.hosts) > 0})
		go r.postNotices(r.background)
	}
	if r.chooser.UsesGrants() && r.config.PeerListen != "" {
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
	if next := r.successor.Load(); next != nil {
		next.close()
	}
}

// drainClients closes the connections of all clients, also those that have not sent a request yet, and waits until each
// that has sent one has its response, for the given time at most.
func (r *Relay) drainClients(most time.Duration) {
	r.doors.Shut()
	for end := time.Now().Add(most); ; time.Sleep(pollInterval) {
		if r.listener.SendAway(true); r.listener.Len() == 0 || !time.Now().Before(end) {
			return
		}
	}
}

// The times of a graceful stop, from SIGTERM. New connections come for 0.4 s more, SIGKILL after 3.7 s.
const (
	keepAliveFor       = 500 * time.Millisecond  // then connections end between requests
	exitIdleAfter      = 800 * time.Millisecond  // from then on a relay with nothing pending and no clients ends
	sendFor            = 2600 * time.Millisecond // then no more calls begin, and no message is admitted
	terminateTimeout   = 3300 * time.Millisecond // then calls in flight are left to the journal
	finalAnswerTimeout = 250 * time.Millisecond  // for responses that are decided to be written
)

// Terminate stops the platform's relay gracefully: it admits and delivers while clients still come, lets calls in flight
// finish, and leaves the rest to the journal. Clients are accepted and answered to the end, since a client whose request
// nobody reads loses it. A second call does nothing.
func (r *Relay) Terminate() {
	if r.terminating.Swap(true) {
		return // a second signal changes nothing
	}
	begin := time.Now()
	time.Sleep(keepAliveFor)
	for idle := false; !idle && time.Since(begin) < terminateTimeout; time.Sleep(pollInterval) {
		r.doors.Shut() // repeatedly, since a response in progress keeps its connection
		sending := time.Since(begin) < sendFor
		alone := time.Since(begin) >= exitIdleAfter && r.listener.Len() == 0
		idle, _ = onLoop(r.background, r, func() bool {
			r.stopped = r.stopped || !sending
			return r.callsInFlight == 0 && (r.stopped || alone && (r.successor.Load() != nil || len(r.pending)+r.pendingNotices == 0))
		})
	}
	// Nothing more is admitted, and admitted clients get their response, before the loop ends.
	onLoop(r.background, r, func() bool { r.stopped = true; return true })
	r.drainClients(r.finalAnswerWait)
	r.stop()
}

// stop ends the loop; what is pending stays in the journal.
func (r *Relay) stop() { r.quitOnce.Do(func() { close(r.quit) }) }

// now returns the time since the relay was made.
func (r *Relay) now() time.Duration { return time.Since(r.startedAt) }

// Abandon closes a relay that was never served.
func (r *Relay) Abandon() {
	r.stop()
	r.cancelBackground()
	r.listener.Close()
	r.journal.Close()
}
