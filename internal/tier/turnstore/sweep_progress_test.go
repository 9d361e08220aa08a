package turnstore

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestSweepProgress(t *testing.T) {
	list := func(ids string) (out []Store) {
		for _, id := range strings.Split(ids, "") {
			out = append(out, Store{ID: id})
		}
		return out
	}
	joint := &Placement{Generation: 3, FaultTolerance: 1, Old: list("abcd"), New: list("abce")}
	now := time.Unix(100, 0)
	var r sweepProgress
	// round makes one attempt of a sweep; failing names the peers that do not respond.
	round := func(p *Placement, self, failing string) (asked []string, missed int) {
		r.begin(p)
		for {
			peer, more := r.nextPeer(p, self, now)
			if !more {
				break
			}
			asked = append(asked, peer.ID)
			r.record(peer.ID, !strings.Contains(failing, peer.ID), now)
		}
		missed = r.missed(p, self)
		r.retryFailed()
		return asked, missed
	}
	expect := func(what string, asked []string, missed int, want string, misses int) {
		t.Helper()
		if !slices.Equal(asked, strings.Split(want, "")) && strings.Join(asked, "") != want || missed != misses {
			t.Errorf("%s: asked %v, missed %d; wanted %q, %d", what, asked, missed, want, misses)
		}
	}
	asked, missed := round(joint, "e", "bd")
	expect("the first round", asked, missed, "abcd", 2)
	asked, missed = round(joint, "e", "d")
	expect("failed peers are retried until no more than FaultTolerance are missed", asked, missed, "b", 1)
	asked, missed = round(joint, "e", "d")
	expect("a peer that failed recently is not needed", asked, missed, "", 1)
	now = now.Add(peerFailureBackoff)
	asked, missed = round(joint, "e", "d")
	expect("it is retried after the backoff", asked, missed, "d", 1)
	stable := &Placement{Generation: 3, FaultTolerance: 1, Old: list("abce")}
	asked, missed = round(stable, "e", "")
	expect("what was pulled while joint does not count once stable", asked, missed, "abc", 0)
	next := &Placement{Generation: 4, FaultTolerance: 1, Old: list("abce"), New: list("abcef")}
	asked, missed = round(next, "e", "")
	expect("another generation starts anew", asked, missed, "abc", 0)
}
