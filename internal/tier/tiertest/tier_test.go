package tiertest

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/controlnode"
	"larchrouter/internal/tier/turnstore"
)

// TestProgramsAreServedThroughFaults injects one fault after the other into a tier that serves programs all the time, and
// checks all rules at the end.
func TestProgramsAreServedThroughFaults(t *testing.T) {
	tt := newFaultTestTier(t, 4, 4, 2)
	stopBackground := tt.startBackground()
	defer stopBackground()
	tt.serve("without faults")

	tt.killStore()
	tt.killHead()
	for _, m := range tt.Machines {
		must(t, m.Signal(syscall.SIGHUP))
	}
	tt.restartControlGracefully()
	tt.restartFrontGracefully()

	must(t, tt.Configure(stepContext(t), NewConfig(9, ReviewService, true)))
	tt.serve("with a route added")
	tt.awaitAnswers(AddedPath, http.StatusOK)
	err := tt.SendOrder(stepContext(t), newOrder(t, NewConfig(20, DraftService, false), 5, false))
	if !errors.Is(err, cloudapi.ErrRejected) {
		t.Errorf("a configuration that replaces a version that is not current: %v", err)
	}

	// By now, the machines that were down have had the time to catch up: one more may be lost.
	tt.loseDisk()
	tt.retireStore()

	must(t, tt.Configure(stepContext(t), NewConfig(12, DraftService, false)))
	tt.awaitAnswers(AddedPath, http.StatusNotFound)
	tt.serve("with a route removed")

	stopBackground()
	tt.injectHostFaults()
	for _, m := range tt.Class(Front) { // their memory has histories: after this, the stores have to deliver them
		m.Kill()
		must(t, m.Start())
	}
	must(t, tt.AwaitReady(stepContext(t), tt.Class(Front)...))
	tt.continuePrograms("-again")
	tt.checkRules()
}

func (tt *testTier) killStore() {
	tt.t.Helper()
	store := tt.Machine("store-2")
	store.Kill()
	tt.serve("with a store killed")
	tt.startAndAwaitTables(store)
}

// startAndAwaitTables starts a store and waits until it has the tables of the control state.
func (tt *testTier) startAndAwaitTables(store *Machine) {
	tt.t.Helper()
	from := store.Log.Len()
	must(tt.t, store.Start())
	_, err := store.Log.Await(stepContext(tt.t), from, "tables complete")
	must(tt.t, err)
}

func (tt *testTier) killHead() {
	tt.t.Helper()
	head := tt.head()
	head.Kill()
	tt.serve("with the head of the core killed")
	must(tt.t, tt.Configure(stepContext(tt.t), NewConfig(5, ReviewService, false)))
	tt.serve("with turns moved to another service")
	must(tt.t, head.Start())
	must(tt.t, tt.AwaitReplicas(stepContext(tt.t)))
}

func (tt *testTier) restartControlGracefully() {
	tt.t.Helper()
	for _, m := range []*Machine{tt.head(), tt.Machine("store-1")} {
		if code, err := m.Terminate(); code != 0 || err != nil {
			tt.t.Errorf("%s, terminated, exits with %d, %v", m.Name, code, err)
		}
		tt.serve("with " + m.Name + " terminated")
		if m.Class == Store {
			tt.startAndAwaitTables(m)
		} else {
			must(tt.t, m.Start())
			must(tt.t, tt.AwaitReplicas(stepContext(tt.t)))
		}
	}
}

func (tt *testTier) restartFrontGracefully() {
	tt.t.Helper()
	front := tt.Machine("front-1")
	ended := make(chan error, 1)
	go func() {
		code, err := front.Terminate()
		if err == nil && code != 0 {
			err = fmt.Errorf("a front that was terminated exits with %d", code)
		}
		ended <- err
	}()
	tt.serve("with a front draining")
	must(tt.t, <-ended)
	tt.serve("with a front down")
	must(tt.t, front.Start())
	must(tt.t, tt.AwaitReady(stepContext(tt.t), front))
}

func (tt *testTier) loseDisk() {
	tt.t.Helper()
	store := tt.Machine("store-3")
	id, generation := tt.awaitPlaced(store.Name)
	store.Kill()
	must(tt.t, store.Wipe())
	tt.serve("with a disk lost")
	must(tt.t, store.Start())
	must(tt.t, tt.AwaitStatus(stepContext(tt.t), "the store is placed under a new id", func(s *controlnode.Status) bool {
		i := slices.IndexFunc(s.Stores, func(other turnstore.Store) bool { return other.Name == store.Name })
		return i >= 0 && s.Stores[i].ID != id && !s.PlacementJoint
	}))
	if _, current := tt.awaitPlaced(store.Name); current != generation+1 {
		tt.t.Errorf("the placement has changed %d times for one disk", current-generation)
	}
	tt.serve("with an empty store filled")
}

func (tt *testTier) retireStore() {
	tt.t.Helper()
	store := tt.Machine("store-4")
	must(tt.t, tt.Operator.Retire(stepContext(tt.t), store.Name, 10*time.Second))
	tt.serve("while a store is retired")
	must(tt.t, Await(stepContext(tt.t), "store-4 is retired", func(ctx context.Context) bool {
		phase, err := tt.Operator.Phase(ctx, store.Name)
		return err == nil && phase == "complete"
	}))
	store.Kill()
	must(tt.t, store.Wipe())
	tt.serve("with a store removed")
}

// injectHostFaults makes hosts break off answers. Turns and idempotent calls are served nevertheless; a program whose call
// is not idempotent fails.
func (tt *testTier) injectHostFaults() {
	tt.t.Helper()
	setFault := func(service string, fault modelhost.Fault) {
		for _, host := range tt.hosts {
			if host.Options().Service == service {
				host.SetFault(fault)
			}
		}
	}
	run := func(name string, steps ...Step) Result {
		return tt.client.Run(tt.t.Context(), Program{Name: name, Budget: 100, Conversation: Conversation{Steps: steps}})
	}
	setFault(DraftService, modelhost.Fault{Kind: modelhost.Abort, After: 2, Times: 1})
	setFault(ToolService, modelhost.Fault{Kind: modelhost.DropConnection, Times: 1})
	result := run("breaks", Step{MaxTokens: 12, Tools: []Tool{{ReadPath, Idempotent}}}, Step{MaxTokens: 12})
	if result.Outcome != Completed {
		tt.t.Errorf("with hosts that break off answers, %s ended with %v: %s", result.Program, result.Outcome, result.Reason)
	}
	setFault(ToolService, modelhost.Fault{Kind: modelhost.DropConnection})
	result = run("breaks-for-good", Step{MaxTokens: 12, Tools: []Tool{{WritePath, NonIdempotent}}})
	if result.Outcome != Failed {
		tt.t.Errorf("with tools that drop connections, %s ended with %v: %s", result.Program, result.Outcome, result.Reason)
	}
	setFault(ToolService, modelhost.Fault{})
	setFault(DraftService, modelhost.Fault{})
}

// TestAllProcessesKilledAtOnce kills all processes at once, right after a configuration was acknowledged, and wipes as many
// disks as may be lost.
func TestAllProcessesKilledAtOnce(t *testing.T) {
	tt := newTestTier(t, 3, 3, 2)
	tt.serve("without faults")
	must(t, tt.Configure(stepContext(t), NewConfig(4, ReviewService, true)))
	for _, m := range tt.Machines {
		m.Kill()
	}
	must(t, tt.Machine("store-1").Wipe())
	for _, m := range tt.Machines {
		must(t, m.Start())
	}
	tt.awaitPlacement(3)
	must(t, tt.AwaitReady(stepContext(t), tt.Class(Front)...))
	must(t, tt.AwaitStatus(stepContext(t), "version 4 is in force", func(s *controlnode.Status) bool { return s.ConfigVersion == 4 }))
	tt.continuePrograms("-again")
	tt.serve("after the restart")
	tt.checkRules()
}
