package turnstore

import "github.com/cockroachdb/errors"

// The kinds of errors of a store's reply and of a client's operation; test for them with errors.Is.
var (
	// ErrBudget marks that a turn does not fit into what is left of its program's budget.
	ErrBudget = errors.New("budget is spent")
	// ErrNoTurn marks that the previous turn does not exist, as confirmed by enough stores to be certain.
	ErrNoTurn = errors.New("no such turn")
	// ErrUnavailable marks that too few stores responded for a decision.
	ErrUnavailable = errors.New("too few stores answered")
	// ErrWrongStore marks that a store of another identity responds at the address.
	ErrWrongStore = errors.New("store has another identity")
	// ErrOldPlacement marks that the store has adopted a newer placement than the caller's.
	ErrOldPlacement = errors.New("placement is older than the store's")
	// ErrPlacementBehind marks that the store has not adopted the caller's placement yet.
	ErrPlacementBehind = errors.New("store has not adopted the placement yet")
	// ErrFull marks that the store has no capacity left, on its disk or for ledger entries.
	ErrFull = errors.New("store is full: give it more disk, or add stores")
	// ErrTooLong marks that a turn adds more than MaxIncrementBytes to the history.
	ErrTooLong = errors.New("the turn is longer than stores keep")
	// ErrBusy marks that too many writes are pending at the store's disk.
	ErrBusy = errors.New("store waits for its disk: look at the disk where it goes on")
)

// The statuses of a reply, as encoded.
const (
	statusOK = iota
	statusWrongStore
	statusOldPlacement
	statusBehind
	statusFull
	statusFailed
	statusBusy
	statusTooLong
)

// statusError returns the error of a reply's status, nil for statusOK.
func statusError(status int) error {
	switch status {
	case statusOK:
		return nil
	case statusWrongStore:
		return ErrWrongStore
	case statusOldPlacement:
		return ErrOldPlacement
	case statusBehind:
		return ErrPlacementBehind
	case statusFull:
		return ErrFull
	case statusBusy:
		return ErrBusy
	case statusTooLong:
		return ErrTooLong
	default:
		return errors.Newf("store failed with status %d: its log names the cause", status)
	}
}
