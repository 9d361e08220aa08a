package scenario

import (
	"math/rand/v2"
	"time"
)

// Network is the state of the links between relays from Since on. Report pages print its name and fields.
type Network struct {
	Cuts  []Cut
	Links Links
	Since time.Duration
}

// Deliver returns the delay of each copy of a datagram that is sent now; none if it is lost. Each link needs a draw of its own.
func (n Network) Deliver(from, to int, now time.Duration, draw *rand.Rand) (after []time.Duration) {
	for _, c := range n.Cuts {
		if c.drops(from, to, now-n.Since) {
			return nil
		}
	}
	l := n.Links
	if l.Lose > 0 && draw.Float64() < l.Lose {
		return nil
	}
	copies := 1
	if l.Double > 0 && draw.Float64() < l.Double {
		copies = 2
	}
	for range copies {
		d := l.Delay
		if l.Jitter > 0 {
			d += time.Duration(draw.Float64() * float64(l.Jitter))
		}
		if l.Reorder > 0 && draw.Float64() < l.Reorder {
			d += l.Late
		}
		after = append(after, d)
	}
	return after
}

// Connected reports whether a datagram from one relay can reach another at a time.
func (n Network) Connected(from, to int, now time.Duration) bool {
	for _, c := range n.Cuts {
		if c.drops(from, to, now-n.Since) {
			return false
		}
	}
	return n.Links.Lose < 1
}

// drops reports whether the partition loses a datagram, since its beginning.
func (c Cut) drops(from, to int, since time.Duration) bool {
	if c.Flap > 0 && since/c.Flap%2 == 1 {
		return false
	}
	switch c.Shape {
	case CutSides:
		a, b := from%c.Number, to%c.Number
		return a != b && !(c.OneWay && a%2 == 0)
	case CutAlone:
		a, b := from < c.Number, to < c.Number
		return (a || b) && !(c.OneWay && b)
	case CutChain:
		return from-to != 1 && to-from != 1
	}
	return true // CutNobody
}
