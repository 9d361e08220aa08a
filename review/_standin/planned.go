package main

import (
	"fmt"
	"time"

	"larchrouter/internal/tier/tiertest"
)

const (
	plannedReplacements = 2
	betweenReplacements = 4300 * time.Millisecond // from the end of one old store to the SIGTERM of the next; catch_up_s is 4.2
)

// runPlanned replaces two stores as planned, the new ones first, one after the other. No machine is lost.
// Rule: LOST.
func runPlanned(s *session) error {
	ctx := s.ctx
	stores := s.tier.Class(tiertest.Store)
	successors := stores[placedStores:]
	for _, successor := range successors { // these machines are added later
		successor.Kill()
		if err := successor.Wipe(); err != nil {
			return err
		}
	}
	if _, err := s.tier.AddHosts(4 * time.Millisecond); err != nil {
		return err
	}
	if err := s.tier.Configure(ctx, tiertest.NewConfig(1, tiertest.DraftService, false)); err != nil {
		return err
	}
	if err := s.tier.AwaitReady(ctx, s.tier.Class(tiertest.Front)...); err != nil {
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

	for i, successor := range successors {
		if err := successor.Start(); err != nil {
			return err
		}
		s.note("%s is started, empty, as the successor of %s", successor.Name, stores[i].Name)
	}
	time.Sleep(successorTime)
	if err := s.awaitStores(placedStores + plannedReplacements); err != nil {
		return err
	}
	for i := range successors {
		if i > 0 {
			time.Sleep(betweenReplacements)
		}
		if !s.trouble {
			continue
		}
		code, err := stores[i].Terminate()
		if err != nil || code != 0 {
			return fmt.Errorf("%s ended with %d, %v", stores[i].Name, code, err)
		}
		s.note("%s ended after its SIGTERM, and is taken away for good", stores[i].Name)
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
