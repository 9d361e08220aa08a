package hostile

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/tiertest"
)

var (
	endlessCallers = flag.Int("endlesscallers", 12, "callers of each route at a time in TestHostileEndlessResponses")
	endlessTime    = flag.Duration("endlesstime", time.Second, "of each form and status in it")
)

// A front held gigabytes, or did not answer others, while a host sent a response that never ends: each form, on each kind of route.
func TestHostileEndlessResponses(t *testing.T) {
	tt := startEndlessTier(t, tiertest.Options{Fronts: 1, Limits: tiertest.ProcessLimits{MemoryMB: memoryMB, MaxFDs: maxFDs}})
	front := watch(t, tt.front())
	for _, form := range modelhost.Forms {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable} {
			fault := modelhost.Fault{Kind: modelhost.Endless, Form: form, Status: status}
			t.Run(fmt.Sprintf("%s, %d", form, status), func(t *testing.T) { tt.playEndless(t, front, fault) })
		}
	}
	for _, form := range []modelhost.Form{modelhost.EndlessEvents, modelhost.EndlessLine, modelhost.EndlessComments, modelhost.EndlessSizeJunk} {
		fault := modelhost.Fault{Kind: modelhost.Endless, Form: form, After: 5}
		t.Run(fmt.Sprintf("%s after proper events", form), func(t *testing.T) { tt.playEndless(t, front, fault) })
		fault = modelhost.Fault{Kind: modelhost.Endless, Form: modelhost.EndlessComments, Then: form}
		t.Run(fmt.Sprintf("comments, then %s", form), func(t *testing.T) { tt.playEndless(t, front, fault) })
	}
	tt.t = t
	tt.expectBudgetEmpty(tt.front().ReadyAddr())
}

// playEndless has a crowd call hosts of which half have a fault, and expects that the front stays within its limits and serves others.
func (tt *endlessTier) playEndless(t *testing.T, front *watched, fault modelhost.Fault) {
	front.t, tt.t = t, t
	tt.replaceHosts(fault, true)
	resetPeak(t, front.pid)
	began, used := time.Now(), processorTime(t, front.pid)
	wait := startCallers(t.Context(), tt.front(), endlessPaths, *endlessCallers, endlessBytes, *endlessTime)
	tt.expectOrdinaryServed("beside endless responses")
	result := wait()
	cores := (processorTime(t, front.pid) - used).Seconds() / time.Since(began).Seconds()
	t.Logf("%s; %.2f cores", result, cores)
	front.expectWithin(maxFDs)
	if !front.machine.Running() {
		t.FailNow()
	}
}

// A front held megabytes for each client that does not read a stream which never ends.
func TestHostileUnreadEndlessStreams(t *testing.T) {
	tt := startEndlessTier(t, tiertest.Options{Fronts: 1, Limits: tiertest.ProcessLimits{MemoryMB: memoryMB, MaxFDs: maxFDs}})
	front := watch(t, tt.front())
	for _, form := range []modelhost.Form{modelhost.EndlessLine, modelhost.EndlessEvents, modelhost.EndlessComments} {
		t.Run(string(form), func(t *testing.T) {
			front.t, tt.t = t, t
			tt.replaceHosts(modelhost.Fault{Kind: modelhost.Endless, Form: form}, true)
			resetPeak(t, front.pid)
			wait := startCallers(t.Context(), tt.front(), streamPaths, 100, 0, time.Second)
			tt.expectOrdinaryServed("beside unread endless streams")
			t.Log(wait())
			front.expectWithin(maxFDs)
		})
	}
	tt.t = t
	tt.expectBudgetEmpty(tt.front().ReadyAddr())
}

// Ordinary requests took seconds on one core while 100 callers got responses that never end.
func TestHostileEndlessResponsesOnOneCore(t *testing.T) {
	tt := startEndlessTier(t, tiertest.Options{Fronts: 1, Environment: []string{"GOMAXPROCS=1"},
		Limits: tiertest.ProcessLimits{MemoryMB: memoryMB, MaxFDs: maxFDs}})
	front := watch(t, tt.front())
	alone := tt.ordinaryTimes(time.Second)
	t.Logf("alone: %d requests, the longest took %v", len(alone), slices.Max(alone))
	for _, form := range []modelhost.Form{modelhost.EndlessWithoutLength, modelhost.EndlessChunk, modelhost.EndlessLine, modelhost.EndlessComments,
		modelhost.EndlessTinyChunks, modelhost.EndlessEvents, modelhost.EndlessLength} {
		t.Run(string(form), func(t *testing.T) {
			front.t, tt.t = t, t
			tt.replaceHosts(modelhost.Fault{Kind: modelhost.Endless, Form: form}, false)
			wait := startCallers(t.Context(), tt.front(), []string{streamPath, writePath}, 50, endlessBytes, 3*time.Second)
			times := tt.ordinaryTimes(3 * time.Second)
			result := wait()
			longest := slices.Max(times)
			t.Logf("%d requests, the longest took %v; %s", len(times), longest, result)
			if longest > ordinaryTarget {
				t.Errorf("an ordinary request took %v, must be answered within its route's target, %v", longest, ordinaryTarget)
			}
			front.expectWithin(maxFDs)
		})
	}
}

// A turn of 46 MB with a proper end made a front hold 866 MB, and stores copies of it. A turn that stores take is served and can be
// continued; a longer one ends before its last byte, and costs stores nothing.
func TestHostileLargeTurns(t *testing.T) {
	const memoryOfTurns = 160 // MB, the least that a deployment grants a front
	tt := startEndlessTier(t, tiertest.Options{Fronts: 1, Limits: tiertest.ProcessLimits{MemoryMB: memoryOfTurns, MaxFDs: maxFDs}})
	machines := []*watched{watch(t, tt.front())}
	for _, store := range tt.Class(tiertest.Store) {
		machines = append(machines, watch(t, store))
	}
	for _, c := range []struct {
		megabytes int
		complete  bool
	}{{7, true}, {46, false}} {
		t.Run(fmt.Sprintf("%d MB", c.megabytes), func(t *testing.T) {
			tt.t = t
			tt.replaceLargeHost(c.megabytes << 20)
			caller := &endlessCaller{addr: tt.front().FrontAddr(), path: retainedPath, reads: endlessBytes, unbounded: true}
			status, complete := caller.call(t.Context())
			if status != http.StatusOK || complete != c.complete {
				t.Errorf("status %d, complete: %v, want 200 and %v", status, complete, c.complete)
			}
			for _, m := range machines {
				m.t = t
				m.expectWithinMB(maxFDs, memoryOfTurns)
			}
		})
	}
}

// The processor and the memory of a front were exhausted by crowds of callers of responses without end. It serves others beside 240 and
// 1,000 callers, of whom some leave and some read nothing, and still ends in order, with code 0 and in its time.
func TestHostileEndlessCrowds(t *testing.T) {
	const (
		crowdMemory = 284 // MB
		crowdFDs    = 4100
		grace       = 8 * time.Second // grace_period_s of the tier
	)
	for _, callers := range []int{240, 1000} {
		for _, form := range []modelhost.Form{modelhost.EndlessEvents, modelhost.EndlessLine, modelhost.EndlessChunk} {
			t.Run(fmt.Sprintf("%d callers, %s", callers, form), func(t *testing.T) {
				tt := startEndlessTier(t, tiertest.Options{Fronts: 1, Limits: tiertest.ProcessLimits{MemoryMB: crowdMemory, MaxFDs: crowdFDs}})
				front := watch(t, tt.front())
				tt.replaceHosts(modelhost.Fault{Kind: modelhost.Endless, Form: form}, true)
				each := callers / len(endlessPaths) / 3
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				waits := []func() *outcomes{
					startCallers(t.Context(), tt.front(), endlessPaths, each, endlessBytes, 3*time.Second),
					startCallers(t.Context(), tt.front(), endlessPaths, each, 0, 3*time.Second),
					startCallers(ctx, tt.front(), endlessPaths, each, endlessBytes, 3*time.Second),
				}
				tt.expectOrdinaryServed("beside a crowd")
				leave()
				tt.expectOrdinaryServed("after some have left")
				front.expectWithinMB(crowdFDs, crowdMemory)
				began := time.Now()
				code, err := tt.front().Terminate()
				if took := time.Since(began); code != 0 || err != nil || took > grace {
					t.Errorf("beside a crowd, the front ended with code %d after %v, err=%v", code, took, err)
				}
				for _, wait := range waits {
					t.Log(wait())
				}
			})
		}
	}
}

// A host whose streams never end stayed in use by all fronts: behind 200 the end of its calls was no verdict on it, and their callers
// waited until the deadline. All fronts leave it, once some have found out.
func TestHostileEndlessHostIsLeft(t *testing.T) {
	const (
		mostLost = 0.1 // of the callers' time, in calls without a complete response
		lasting  = 4 * time.Second
	)
	tt := startEndlessTier(t, tiertest.Options{Fronts: 2, Limits: tiertest.ProcessLimits{MemoryMB: memoryMB, MaxFDs: maxFDs}})
	for _, form := range []modelhost.Form{modelhost.EndlessEvents, modelhost.EndlessComments} {
		t.Run(string(form), func(t *testing.T) {
			tt.t = t
			tt.replaceHostsBy([]modelhost.Fault{{Kind: modelhost.Endless, Form: form}, {}, {}}) // so that one of them may be ejected
			var waits []func() *outcomes
			for _, front := range tt.Class(tiertest.Front) {
				waits = append(waits, startCallers(t.Context(), front, []string{streamPath}, 8, endlessBytes, lasting))
			}
			for i, wait := range waits {
				result := wait()
				lost := float64(result.lost.Load()) / float64(result.spent.Load())
				t.Logf("%s; %.3f of the callers' time is lost", result, lost)
				if lost > mostLost {
					t.Errorf("the callers of front %d lost %.3f of their time, must be %v at most", i+1, lost, mostLost)
				}
			}
		})
	}
}

// A proper host's long response comes as fast as the link carries it, also on one core: only what others wait for slows it down.
func TestLongResponseHasTheLink(t *testing.T) {
	const (
		size     = 64 << 20 // bytes
		linkMbps = 1000     // of the tier's settings
	)
	linkTime := time.Duration(size * 8 / (linkMbps * 1e6) * float64(time.Second))
	for name, environment := range map[string][]string{"all cores": nil, "one core": {"GOMAXPROCS=1"}} {
		t.Run(name, func(t *testing.T) {
			tt := startTierWith(t, tiertest.Options{Fronts: 1, Environment: environment,
				Limits: tiertest.ProcessLimits{MemoryMB: memoryMB, MaxFDs: maxFDs}}, maxHeadBytes)
			tt.addToolHost("large", "/large/", size)
			var fastest time.Duration
			for range 3 {
				began := time.Now()
				if status := tt.try(t.Context(), http.MethodGet, "/large/", nil); status != http.StatusOK {
					t.Fatalf("status %d", status)
				}
				if took := time.Since(began); fastest == 0 || took < fastest {
					fastest = took
				}
			}
			t.Logf("%d bytes took %v, the link takes %v", size, fastest, linkTime)
			if fastest > 2*linkTime {
				t.Errorf("%d bytes took %v, the link takes %v", size, fastest, linkTime)
			}
		})
	}
}
