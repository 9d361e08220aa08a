package controlnode

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/fencedcall"
	"larchrouter/internal/tier/scaling"
	"larchrouter/internal/tier/view"
)

var scaleTestSubject = scaling.Subject{Service: "s", Zone: "a"}

// newTestScaleTask returns the scale task of a node that has just acquired the lease.
func newTestScaleTask() *scaleTask {
	d := newScaleTask(&taskRunner{server: &Server{log: process.NewLogger(io.Discard)}})
	d.reset()
	return d
}

// An order without a definite response must be repeated, since the platform may or may not have applied it.
func TestOrderIsRepeatedUnlessAccepted(t *testing.T) {
	for outcome, repeated := range map[fencedcall.Outcome]bool{
		fencedcall.Accepted: false, fencedcall.NotSent: false, fencedcall.Busy: true, fencedcall.Unknown: true, fencedcall.Refused: true, fencedcall.Invalid: true,
	} {
		d := newTestScaleTask()
		demand := scaling.Demand{Min: 4, Max: 9, Hosts: 3, Slots: 1}
		d.planner.Plan(0, scaleTestSubject, demand)
		d.recordOutcome(scaleTestSubject, 4, fencedcall.Accepted)
		d.recordOutcome(scaleTestSubject, 5, outcome)
		if hosts, got := d.planner.Plan(time.Second, scaleTestSubject, demand); got != repeated {
			t.Errorf("%s: planned %d, %v, want an order: %v", outcome, hosts, got, repeated)
		}
	}
}

// scalingConfig returns a configuration of version 7 with scaling bounds for the service s; without bounds if most is 0.
func scalingConfig(least, most int) []byte {
	scaling := fmt.Sprintf(`,"scaling":{"min_count":%d,"max_count":%d}`, least, most)
	if most == 0 {
		scaling = ""
	}
	return rpc.Encode(&feed.ConfigEntry{Version: 7, Body: []byte(`{"config_version":7,"service_table":[{"name":"s"` + scaling +
		`}],"route_table":[{"host_name":"h","path_prefix":"/p/","deadline_ms":5,"target_service":"s"}]}`)})
}

// Two configurations may have the same version if the first was dropped with its epoch. The bounds of the dropped one must not stay in
// force.
func TestBoundsComeFromNewestConfigEntry(t *testing.T) {
	d := newTestScaleTask()
	for i, most := range []int{20, 4} {
		d.adoptConfig(chain.Entry{Index: int64(i + 1), Value: scalingConfig(1, most)})
		if got := d.config.Services["s"].Scaling.Max; got != most {
			t.Errorf("at most %d hosts, want %d", got, most)
		}
	}
	if d.reset(); d.config != nil {
		t.Error("a new lease starts with the configuration of the previous one")
	}
}

// Hosts must not be ordered by a configuration that is not committed, since it may be dropped.
func TestUncommittedConfigIsIgnored(t *testing.T) {
	c := chain.New("a", chain.State{ActivatedEpoch: 1, LastIndex: 3, Commit: 1, Entries: []chain.Entry{
		{Index: 1, Key: feed.ConfigKey, Value: scalingConfig(1, 4)},
		{Index: 2, Key: feed.ConfigKey, Value: scalingConfig(1, 20)},
		{Index: 3, Key: feed.ConfigKey, Value: scalingConfig(1, 30)},
	}})
	c.Adopt(view.View{Epoch: 2, Chain: []view.ChainMember{{ID: "a"}, {ID: "b"}}})
	if entry, ok := committedConfig(c); ok {
		t.Errorf("entry %d, though the commit index on disk may be behind the tail's", entry.Index)
	}
	for _, commit := range []int64{2, 3} {
		c.HandleAck("b", 1, chain.Ack{Epoch: 2, Active: true, LastIndex: 3, Commit: commit, CommitIsCurrent: true})
		if entry, ok := committedConfig(c); !ok || entry.Index != commit {
			t.Errorf("entry %d, %v, want %d", entry.Index, ok, commit)
		}
	}
}

// A zone must still be scaled after all of its hosts have left the list, or no host would ever be ordered there again.
func TestZoneWithoutListedHostsIsStillScaled(t *testing.T) {
	d := newTestScaleTask()
	d.adoptConfig(chain.Entry{Index: 1, Value: scalingConfig(0, 20)})
	inA, inB := discovery.Host{Service: "s", Zone: "a", Capacity: 4, Phase: discovery.Ready}, discovery.Host{Service: "s", Zone: "b", Capacity: 2}
	d.subjects(&demandQuery{hosts: []discovery.Host{inA, inB}})
	want := []scaleSubject{
		{scaling.Subject{Service: "s", Zone: "a"}, scaling.Demand{Min: 1, Max: 20, Hosts: 1, Slots: 4}},
		{scaling.Subject{Service: "s", Zone: "b"}, scaling.Demand{Min: 1, Max: 20, Slots: 2}},
	}
	if got := d.subjects(&demandQuery{hosts: []discovery.Host{inA}}); !slices.Equal(got, want) {
		t.Errorf("subjects %+v, want %+v", got, want)
	}
}

// No hosts may be ordered for a service whose scaling bounds were removed, nor for zones that only an earlier lease holder has seen.
func TestSubjectsEndWithScalingConfigAndLease(t *testing.T) {
	d := newTestScaleTask()
	config := chain.Entry{Index: 1, Value: scalingConfig(1, 20)}
	listed := &demandQuery{hosts: []discovery.Host{{Service: "s", Zone: "a"}}}
	d.adoptConfig(config)
	if got := d.subjects(listed); len(got) != 1 {
		t.Fatalf("subjects %+v", got)
	}
	d.adoptConfig(chain.Entry{Index: 2, Value: scalingConfig(0, 0)})
	if got := d.subjects(listed); len(got) != 0 {
		t.Errorf("subjects %+v without scaling bounds", got)
	}
	d.adoptConfig(chain.Entry{Index: 3, Value: config.Value})
	d.subjects(listed)
	d.reset()
	d.adoptConfig(config)
	if got := d.subjects(&demandQuery{}); len(got) != 0 {
		t.Errorf("subjects %+v of an earlier lease", got)
	}
}
