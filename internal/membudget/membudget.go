// Package membudget bounds the memory that a process holds for its clients. All that clients can make it hold (heads, bodies,
// responses that are not read yet) is drawn from one Budget, as the bytes come. While there is enough, nobody gives way. Once the
// budget is exhausted, unfinished accounts give way to others: what a client has begun to send and may never complete.
//
// The account that gives way is the one with the largest occupancy: the bytes it holds, times its age. So a body that has stalled, or
// comes slowly, gives way to one that has just begun, and a large one to a small one. Accounts of up to the small size give way to no
// larger one, and a part of the budget is reserved for them, so that ordinary requests are served while large bodies compete.
package membudget

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrExhausted reports that the budget has no room for a draw: other accounts may not give way, or have a smaller occupancy.
	ErrExhausted = errors.New("the memory for requests is exhausted")

	// ErrEvicted reports that the account must give way: its owner releases it. It is also an ErrExhausted.
	ErrEvicted = errors.Mark(errors.New("the memory is needed for other requests"), ErrExhausted)
)

// Options configures a Budget.
type Options struct {
	Limit    int64 // bytes that all accounts may hold together; 0 for no limit
	Reserved int64 // part of Limit that is left to accounts of up to Small bytes
	Small    int64 // bytes
}

// minAge is added to the age of an account, so that of those that have just been opened the largest gives way.
const minAge = time.Millisecond

// Budget is the memory for the clients of one process. It is safe for concurrent use.
type Budget struct {
	options Options

	mu         sync.Mutex
	changed    sync.Cond         // an account was released or must give way
	used       int64             // held by all accounts
	releasing  int64             // part of used that is held by accounts that must give way
	waiting    int64             // bytes of the draws that wait for others to give way
	unfinished map[*Account]bool // accounts that may have to give way
	accounts   int               // open ones
}

// New returns a budget of which nothing is used.
func New(options Options) *Budget {
	b := &Budget{options: options, unfinished: map[*Account]bool{}}
	b.changed.L = &b.mu
	return b
}

// Usage is what a budget is used for.
type Usage struct {
	Limit    int64 `json:"limit_bytes"` // 0 for no limit
	Used     int64 `json:"used_bytes"`
	Accounts int   `json:"accounts"` // clients for which something is held, or may be
}

// Usage returns what the budget is used for now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.options.Limit, Used: b.used, Accounts: b.accounts}
}

// MaxDraw returns the bytes that an account can hold if it is alone; 0 for no limit.
func (b *Budget) MaxDraw() int64 { return b.options.Limit - b.options.Reserved }

// Account is what the process holds for one client. Its methods are not safe for concurrent use, but for the eviction by the budget.
type Account struct {
	budget   *Budget
	openedAt time.Time
	evict    func()
	held     int64
	evicted  bool // guarded by budget.mu
}

// Open returns an account that holds nothing. It is unfinished: the budget may call evict, once, when it must give way. evict must
// not block or use the budget; it makes the owner of the account release it soon. The caller releases the account.
func (b *Budget) Open(evict func()) *Account {
	a := &Account{budget: b, openedAt: time.Now(), evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts++
	b.unfinished[a] = true
	return a
}

// Draw adds bytes to the account. If the budget is exhausted, it makes accounts with a larger occupancy give way, and waits until
// they have. It adds nothing and returns ErrExhausted if there are none, ErrEvicted if the account itself must give way.
func (a *Account) Draw(bytes int64) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.evicted && b.fits(a, bytes) {
		a.add(bytes)
		return nil
	}
	b.waiting += bytes
	defer func() { b.waiting -= bytes }()
	for !a.evicted && !b.fits(a, bytes) {
		if !b.makeRoom(a, bytes) {
			return ErrExhausted
		}
		b.changed.Wait()
	}
	if a.evicted {
		return ErrEvicted
	}
	a.add(bytes)
	return nil
}

// add adds bytes to the account. budget.mu must be held.
func (a *Account) add(bytes int64) {
	a.held += bytes
	a.budget.used += bytes
}

// TryDraw adds bytes to the account if the budget has room for them, and reports whether it did. Nobody gives way.
func (a *Account) TryDraw(bytes int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted || !b.fits(a, bytes) {
		return false
	}
	a.add(bytes)
	return true
}

// Complete ends the time in which the account may have to give way. It returns false if it must give way already.
func (a *Account) Complete() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.unfinished, a)
	return !a.evicted
}

// Resume begins another time in which the account may have to give way. Its age counts from now.
func (a *Account) Resume() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.openedAt = time.Now()
	if !a.evicted {
		a.budget.unfinished[a] = true
	}
}

// Release returns all bytes of the account, which must not be used any more.
func (a *Account) Release() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.unfinished, a)
	if a.evicted {
		b.releasing -= a.held
	}
	b.used -= a.held
	b.accounts--
	a.held = 0
	b.changed.Broadcast()
}

// fits reports whether there is room for more bytes of an account. mu must be held.
func (b *Budget) fits(a *Account, bytes int64) bool {
	return b.options.Limit <= 0 || b.used+bytes <= b.limitFor(a, bytes)
}

// limitFor returns the part of the limit that is open to an account with more bytes.
func (b *Budget) limitFor(a *Account, bytes int64) int64 {
	if b.isLarge(a, bytes) {
		return b.options.Limit - b.options.Reserved
	}
	return b.options.Limit
}

// isLarge reports whether an account with more bytes is over the small size.
func (b *Budget) isLarge(a *Account, more int64) bool { return a.held+more > b.options.Small }

// makeRoom evicts accounts until what they release suffices for the draws that wait, this one among them. It returns false if there
// is nobody left to give way before the account itself. mu must be held.
func (b *Budget) makeRoom(a *Account, bytes int64) bool {
	limit := b.limitFor(a, bytes)
	for b.used-b.releasing+b.waiting > limit {
		victim := b.nextToGiveWay(a, bytes)
		if victim == nil || victim == a {
			return b.used-b.releasing+bytes <= limit // the room is enough for this draw, if not for all
		}
		victim.evicted = true
		b.releasing += victim.held
		delete(b.unfinished, victim)
		victim.evict()
		b.changed.Broadcast() // the victim may wait for room itself
	}
	return true
}

// nextToGiveWay returns the unfinished account with the largest occupancy: one of the large ones, if there are any or if the account
// that draws is large, else one of the small ones. It returns nil for none. mu must be held.
func (b *Budget) nextToGiveWay(drawing *Account, bytes int64) (victim *Account) {
	now := time.Now()
	victimIsLarge, most := b.isLarge(drawing, bytes), 0.0
	for a := range b.unfinished {
		held := a.held
		if a == drawing {
			held += bytes
		}
		large := held > b.options.Small
		if held == 0 || victimIsLarge && !large {
			continue
		}
		occupancy := float64(held) * (now.Sub(a.openedAt) + minAge).Seconds()
		if victim == nil || large && !victimIsLarge || occupancy > most {
			victim, victimIsLarge, most = a, large, occupancy
		}
	}
	return victim
}
