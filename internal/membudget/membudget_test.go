package membudget

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// owner is the owner of an account that releases it as soon as it must give way.
type owner struct {
	account *Account
	evicted chan struct{}
}

// open opens an account whose owner releases it when it is evicted.
func open(t *testing.T, b *Budget) *owner {
	o := &owner{evicted: make(chan struct{})}
	o.account = b.Open(func() { close(o.evicted) })
	go func() {
		select {
		case <-o.evicted:
			o.account.Release()
		case <-t.Context().Done():
		}
	}()
	return o
}

func (o *owner) gaveWay() bool {
	select {
	case <-o.evicted:
		return true
	default:
		return false
	}
}

func draw(t *testing.T, a *Account, bytes int64) {
	t.Helper()
	if err := a.Draw(bytes); err != nil {
		t.Fatalf("draw of %d: %v", bytes, err)
	}
}

// While the budget has room nobody gives way, however old and slow.
func TestNobodyGivesWayWhileThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{Limit: 100, Reserved: 20, Small: 10})
		stalled := open(t, b)
		draw(t, stalled.account, 40)
		time.Sleep(time.Hour)
		draw(t, open(t, b).account, 40)
		synctest.Wait()
		if stalled.gaveWay() {
			t.Error("an account gave way though the budget has room")
		}
	})
}

// The account that holds the most for the longest time gives way, and the draw gets its room.
func TestLargestOccupancyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{Limit: 100, Reserved: 20, Small: 10})
		stalled := open(t, b)
		draw(t, stalled.account, 30)
		time.Sleep(time.Second)
		quick := open(t, b)
		draw(t, quick.account, 50)
		time.Sleep(100 * time.Millisecond)
		newest := open(t, b)
		draw(t, newest.account, 20)
		synctest.Wait()
		if !stalled.gaveWay() || quick.gaveWay() || newest.gaveWay() {
			t.Errorf("gave way: 30 bytes for 1.1 s %v, 50 bytes for 0.1 s %v, the newest %v", stalled.gaveWay(), quick.gaveWay(),
				newest.gaveWay())
		}
	})
}

// An account that has the largest occupancy itself gets no room, and the others keep theirs.
func TestOwnLargestOccupancy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{Limit: 100, Reserved: 20, Small: 10})
		slow := open(t, b)
		draw(t, slow.account, 20)
		time.Sleep(time.Second)
		quick := open(t, b)
		draw(t, quick.account, 60)
		if err := slow.account.Draw(1); !errors.Is(err, ErrExhausted) {
			t.Errorf("the draw ended with %v", err)
		}
		if quick.gaveWay() {
			t.Error("the account with the smaller occupancy gave way")
		}
	})
}

// A tiny request that has just come gets room from small ones that have just come as well.
func TestTinyDrawGetsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{Limit: 100, Reserved: 20, Small: 10})
		crowd := make([]*owner, 10)
		for i := range crowd {
			crowd[i] = open(t, b)
			draw(t, crowd[i].account, 10)
		}
		draw(t, open(t, b).account, 1)
	})
}

// Accounts that are complete do not give way; the reserve is left to small ones, which give way to no large one.
func TestReserveAndCompleteAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{Limit: 100, Reserved: 20, Small: 10})
		complete, small := open(t, b), open(t, b)
		draw(t, complete.account, 75)
		complete.account.Complete()
		draw(t, small.account, 5)
		time.Sleep(time.Second)
		large := open(t, b)
		if err := large.account.Draw(11); !errors.Is(err, ErrExhausted) {
			t.Errorf("a large draw ended with %v", err)
		}
		for range 2 {
			draw(t, open(t, b).account, 10)
		}
		synctest.Wait()
		if complete.gaveWay() || small.gaveWay() {
			t.Errorf("gave way: complete %v, small %v", complete.gaveWay(), small.gaveWay())
		}
		draw(t, open(t, b).account, 1) // the budget is used up: the oldest small one gives way
		synctest.Wait()
		if !small.gaveWay() {
			t.Error("no small account gave way to another one")
		}
	})
}

// An account that has been told to give way cannot be completed, and draws nothing.
func TestEvictedAccountIsNotCompleted(t *testing.T) {
	b := New(Options{Limit: 100, Small: 10})
	evicted := make(chan struct{})
	a := b.Open(func() { close(evicted) })
	draw(t, a, 100)
	time.Sleep(2 * minAge)
	done := make(chan error)
	other := b.Open(func() {})
	go func() { done <- other.Draw(50) }()
	<-evicted
	if a.Complete() {
		t.Error("the account was completed")
	}
	if err := a.Draw(0); !errors.Is(err, ErrEvicted) || a.TryDraw(0) {
		t.Errorf("a draw ended with %v", err)
	}
	a.Release()
	if err := <-done; err != nil {
		t.Error(err)
	}
	other.Release()
	if u := b.Usage(); u.Used != 0 || u.Accounts != 0 {
		t.Errorf("at the end %+v", u)
	}
}

// Without a limit everything is counted and nothing refused.
func TestNoLimit(t *testing.T) {
	b := New(Options{})
	a := b.Open(func() { t.Error("evicted") })
	draw(t, a, 1<<40)
	if u := b.Usage(); u.Used != 1<<40 || u.Accounts != 1 {
		t.Errorf("%+v", u)
	}
	a.Release()
}

// In any course of clients that draw at the same time, the limit holds, every draw ends, and nothing is left at the end.
func TestConcurrentAccountsKeepLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit, reserved, small = 1000, 200, 50
		b := New(Options{Limit: limit, Reserved: reserved, Small: small})
		plans := rapid.SliceOfN(rapid.SliceOfN(rapid.Int64Range(1, 300), 1, 12), 1, 24).Draw(rt, "plans")
		completed := rapid.SliceOfN(rapid.Bool(), len(plans), len(plans)).Draw(rt, "completed")
		var clients sync.WaitGroup
		for i, plan := range plans {
			clients.Go(func() {
				a := b.Open(func() {})
				defer a.Release()
				for _, bytes := range plan {
					if a.Draw(bytes) != nil {
						return
					}
					if u := b.Usage(); u.Used > limit {
						rt.Errorf("%d bytes are held of %d", u.Used, limit)
					}
				}
				if completed[i] && !a.Complete() {
					return
				}
			})
		}
		clients.Wait()
		if u := b.Usage(); u.Used != 0 || u.Accounts != 0 {
			rt.Errorf("at the end %+v", u)
		}
	})
}
