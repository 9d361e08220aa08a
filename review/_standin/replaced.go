package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/tier/controlnode"
	"larchrouter/internal/tier/tiertest"
)

const (
	conversations  = 100
	placedStores   = 9                       // at first; the successor is one more
	successorTime  = 6 * time.Second         // from the successor's start to the SIGTERM; catch_up_s is 4.2
	removedTime    = 4300 * time.Millisecond // from the end of the old store to the loss of the disk; catch_up_s is 4.2
	diskLossDark   = 2 * time.Second         // for_s of after_ack_wipe on stores
	restAfterLoss  = 12 * time.Second        // recovery_s, from the return of the store with the empty disk
	turnTries      = 6                       // the rule asks for five or more
	tryInterval    = 300 * time.Millisecond  // between two tries of a turn
	firstTurnShare = 0.9
)

// runReplaced replaces a store as planned, the new one first; 4.3 s after the end of the old one another store loses its disk.
// Rule: LOST.
func runReplaced(s *session) error {
	ctx := s.ctx
	stores := s.tier.Class(tiertest.Store)
	successor := stores[placedStores]
	successor.Kill() // this machine is added later
	if err := successor.Wipe(); err != nil {
		return err
	}
	if _, err := s.tier.AddHosts(4 * time.Millisecond); err != nil {
		return err
	}
	if err := s.tier.Configure(ctx, tiertest.NewConfig(1, tiertest.DraftService, false)); err != nil {
		return err
	}
	fronts := s.tier.Class(tiertest.Front)
	if err := s.tier.AwaitReady(ctx, fronts...); err != nil {
		return err
	}
	if err := s.awaitStores(placedStores); err != nil {
		return err
	}
	client := tiertest.NewClient(s.tier, tiertest.TurnPath)
	defer client.Close()
	if n := s.turns(client, "before", 0); n < conversations {
		return fmt.Errorf("%d of %d first turns were answered before anything happened", n, conversations)
	}
	s.note("%d conversations have a turn that was answered whole", conversations)

	if err := successor.Start(); err != nil {
		return err
	}
	s.note("%s is started, empty, as the successor of %s", successor.Name, stores[0].Name)
	time.Sleep(successorTime)
	if err := s.awaitStores(placedStores + 1); err != nil {
		return err
	}
	code, err := stores[0].Terminate()
	if err != nil || code != 0 {
		return fmt.Errorf("%s ended with %d, %v", stores[0].Name, code, err)
	}
	s.note("%s ended after its SIGTERM, and is taken away for good", stores[0].Name)
	time.Sleep(removedTime)
	if s.trouble {
		stores[1].Kill()
		if err := stores[1].Wipe(); err != nil {
			return err
		}
		s.note("%s lost its disk", stores[1].Name)
		time.Sleep(diskLossDark)
		if err := stores[1].Start(); err != nil {
			return err
		}
		s.note("%s is back at its address with an empty disk", stores[1].Name)
	} else {
		time.Sleep(diskLossDark)
	}
	time.Sleep(restAfterLoss)
	s.noteStatus()

	first := s.turns(client, "after", 0)
	s.note("first turns of new programs: %d of %d reached a host", first, conversations)
	lost := conversations - s.turns(client, "before", 1)
	s.note("turns that continue a conversation: %d of %d reached no host in %d tries", lost, conversations, turnTries)
	s.noteStatus()
	if lost > 0 && float64(first) >= firstTurnShare*conversations {
		s.breach("LOST: %d turns whose Previous was answered whole less than 60 s before reached no host in %d tries each", lost, turnTries)
	}
	return nil
}

// turns sends one turn of each conversation, in several tries, and returns how many reached a host. Turn n continues turn n-1.
func (s *session) turns(client *tiertest.Client, name string, n int) (reached int) {
	fronts := s.tier.Class(tiertest.Front)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for c := range conversations {
		wg.Go(func() {
			for try := range turnTries {
				a := tiertest.Attempt{ID: fmt.Sprintf("%s-%d-%d-%d", name, c, n, try), Program: fmt.Sprintf("%s-%d", name, c),
					Session: fmt.Sprintf("%s-%d-s1", name, c), Method: http.MethodPost, Path: tiertest.TurnPath + "1",
					Kind: tiertest.Streaming, Input: []byte(fmt.Sprintf("input %d of %s-%d.", n, name, c)), Budget: 400, MaxTokens: 12}
				if n > 0 {
					a.Previous = fmt.Sprintf("%s-%d-%d-0", name, c, n-1)
				}
				a = client.Try(s.ctx, fronts[(c+try)%len(fronts)], 6*time.Second, a)
				ran := len(s.tier.RunLog.ForAttempt(a.ID)) > 0
				if !ran || a.Status != http.StatusOK {
					s.note("client: %s at %s, Previous %q: %d, a host ran it: %v", a.ID, a.Front, a.Previous, a.Status, ran)
				}
				if ran {
					if n > 0 || try == 0 && a.Complete && a.Status == http.StatusOK {
						mu.Lock()
						reached++
						mu.Unlock()
					}
					return
				}
				time.Sleep(tryInterval)
			}
		})
	}
	wg.Wait()
	return reached
}

// awaitStores waits until a number of stores is placed and no change of the placement is in progress.
func (s *session) awaitStores(n int) error {
	ctx, stop := context.WithTimeout(s.ctx, 20*time.Second)
	defer stop()
	err := s.tier.AwaitStatus(ctx, fmt.Sprintf("%d stores are placed", n), func(status *controlnode.Status) bool {
		return len(status.Stores) == n && !status.PlacementJoint
	})
	return errors.Join(err, s.ctx.Err())
}

// noteStatus records what a core node says of the stores.
func (s *session) noteStatus() {
	status, err := s.tier.Class(tiertest.Core)[0].Status(s.ctx)
	if err != nil {
		s.note("status: %v", err)
		return
	}
	var names []string
	for _, store := range status.Stores {
		names = append(names, store.Name)
	}
	s.note("status: placement of generation %d, joint %v, stores %v", status.PlacementGeneration, status.PlacementJoint, names)
}
