package chaostest

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/relay/scenario"
)

// Book is what a trial has written down: what clients handed in and were told, what hosts were sent, what agents were
// told. Nothing in it comes from a relay's own account. Times count from the trial's beginning.
type Book struct {
	Plan     scenario.Plan
	Messages map[string]*Message
	Calls    []Call
	Took     []Taken
	Lives    []Life
	Rooms    []Room        // what the machine let the trial's processes do
	Asked    []bool        // by relay: it was asked at the end how its messages ended; nil under a platform, which is told
	Said     []Word        // by operators, in the order in which that was acknowledged
	Falls    int           // of cold hosts that were pushed over
	Lost     int           // notes that the links lost, by the plan or because they could not be passed on
	Notes    int           // notes that relays sent
	Bytes    int           // in them
	Shed     int           // messages that clients could not hand in, as too many waited for an answer
	CPU      time.Duration // that the relays used
	End      time.Duration // the books were closed
	Trouble  []string      // what went wrong with the trial itself, or with a relay's process
}

// Message is one that a client had.
type Message struct {
	ID       string
	Relay    int
	Dest     int
	Class    string
	Sent     time.Duration
	Within   time.Duration // it may be delivered so long
	Status   int           // answered; 0 for no answer in time
	Answered time.Duration
	Ends     []End // told to the agent
}

// End is a notice.
type End struct {
	At     time.Duration
	Status string
}

// Call is one that a host was sent.
type Call struct {
	Dest, Host  int
	ID          string
	First, Last time.Duration // its first and last byte came
	Status      int
	Wait        time.Duration // told
	Applied     bool
}

// Word is what an operator said for the whole fleet.
type Word struct {
	scenario.Said
	At time.Duration // it was acknowledged
}

// Taken is what the hosts of a destination took for a span.
type Taken struct {
	Dest  int
	From  time.Duration
	For   time.Duration
	Calls float64 // that they would take
	Burst float64 // that they would take at once beside
}

// Life is a span in which a relay was ready and ran.
type Life struct {
	Relay    int
	From, To time.Duration
	Empty    bool // it began with an empty folder: what was held before is lost with that, as it may be
}

// ledger is a Book that is being written.
type ledger struct {
	mu    sync.Mutex
	book  *Book
	begin atomic.Pointer[time.Time]
}

func newLedger(plan scenario.Plan) *ledger {
	l := &ledger{book: &Book{Plan: plan, Messages: map[string]*Message{}}}
	l.start()
	return l
}

// start begins the book's time anew.
func (l *ledger) start() {
	now := time.Now()
	l.begin.Store(&now)
}

// now is the book's time.
func (l *ledger) now() time.Duration { return l.at(time.Now()) }

func (l *ledger) at(t time.Time) time.Duration { return t.Sub(*l.begin.Load()) }

// write changes the book.
func (l *ledger) write(f func(b *Book)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.book)
}

// trouble notes what went wrong.
func (l *ledger) trouble(text string) {
	l.write(func(b *Book) { b.Trouble = append(b.Trouble, text) })
}

// ran tells whether a relay was ready and ran throughout a span.
func (b *Book) ran(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(b.Lives, func(l Life) bool { return l.Relay == relay && l.From <= from && to <= l.To })
}
