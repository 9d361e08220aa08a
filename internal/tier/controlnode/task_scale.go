package controlnode

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/fencedcall"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/scaling"
	"larchrouter/internal/tier/usage"
)

const (
	scalePath           = "/scale"
	scaleInterval       = time.Second
	loadAveragingPeriod = 3 * time.Second  // period over which calls in flight are averaged
	recentReportPeriod  = 4 * time.Second  // a front that has reported within it counts as reporting
	knownFrontPeriod    = 20 * time.Second // a front that has reported within it counts as known
	minReportingDivisor = 2                // orders are made only if max(1, knownFronts/minReportingDivisor) fronts have reported recently
	defaultHostSlots    = 1                // slots of a host that lists no capacity
	minOrderedHosts     = 1                // a zone without hosts would show no demand, and stay without hosts
	scaleCallsPerStep   = 8                // bounds the duration of a step
)

// scaleTask orders the number of hosts of a service in a zone, for each service whose configuration sets scaling bounds.
type scaleTask struct {
	*taskRunner
	planner         *scaling.Planner
	knownFronts     int                              // fronts that have reported within knownFrontPeriod
	plannedAt       time.Time                        // zero before the first plan
	backoff         map[scaling.Subject]*callBackoff // of the orders
	config          *routing.Config                  // last one parsed; nil before the first
	configAt        int64                            // index of its chain entry
	recentFronts    int                              // fronts that have reported within recentReportPeriod, as last read
	hostSlots       map[scaling.Subject]int          // slots of a host as last listed, for all subjects since the last reset
	plannedSubjects []scaleSubject                   // as in the last plan, for operators
}

func newScaleTask(d *taskRunner) *scaleTask { return &scaleTask{taskRunner: d} }

// reset drops the state of an earlier lease, since another holder may have made orders meanwhile: each subject is ordered anew.
func (d *scaleTask) reset() {
	d.planner, d.knownFronts, d.plannedAt = scaling.NewPlanner(scaling.DefaultParams()), 0, time.Time{}
	d.backoff = map[scaling.Subject]*callBackoff{}
	d.hostSlots = map[scaling.Subject]int{}
	d.config, d.configAt = nil, 0
	d.recentFronts, d.plannedSubjects = 0, nil
}

// step plans all subjects once per scaleInterval, and makes the orders.
func (d *scaleTask) step(grant *publishedGrant) {
	now := time.Now()
	if now.Sub(d.plannedAt) < scaleInterval {
		return
	}
	d.plannedAt = now
	query := &demandQuery{}
	if !d.server.runOnLoop(query) || !query.ok {
		return
	}
	d.recentFronts = query.recentFronts
	if d.knownFronts = query.knownFronts; query.recentFronts == 0 || query.recentFronts < d.knownFronts/minReportingDivisor {
		return // too few fronts report to know the demand: the last orders stay in force
	}
	d.adoptConfig(query.config)
	d.plannedSubjects = d.subjects(query)
	d.orderHosts(grant)
}

// orderHosts plans the subjects and makes the orders. After a call that is not accepted it makes no further call in this step, since
// each call may take platformCallTimeout and usage reports wait meanwhile.
func (d *scaleTask) orderHosts(grant *publishedGrant) {
	calls := 0
	for _, subject := range d.plannedSubjects {
		hosts, ok := d.planner.Plan(d.server.now(), subject.Subject, subject.Demand)
		if !ok || calls >= scaleCallsPerStep || !d.backoffOf(subject.Subject).ready(time.Now()) {
			continue
		}
		calls++
		if !d.order(grant, subject.Subject, hosts) {
			calls = scaleCallsPerStep
		}
	}
}

// backoffOf returns the backoff of a subject.
func (d *scaleTask) backoffOf(subject scaling.Subject) *callBackoff {
	backoff := d.backoff[subject]
	if backoff == nil {
		backoff = &callBackoff{}
		d.backoff[subject] = backoff
	}
	return backoff
}

// adoptConfig parses and adopts the configuration of a committed entry, unless it is that of the last step.
func (d *scaleTask) adoptConfig(committed chain.Entry) {
	var entry feed.ConfigEntry
	if d.configAt == committed.Index || len(committed.Value) == 0 || rpc.Decode(committed.Value, &entry) != nil {
		return
	}
	if config, err := routing.Parse(entry.Body); err == nil {
		d.config, d.configAt = config, committed.Index
	}
}

// demandQuery reads the input of the plan: the configuration, the hosts and the load.
type demandQuery struct {
	ok           bool        // this node is the confirmed head and has a host list and a configuration
	config       chain.Entry // entry of the newest committed configuration
	hosts        []discovery.Host
	loads        []usage.Load
	recentFronts int // fronts that have reported within recentReportPeriod
	knownFronts  int // fronts that have reported within knownFrontPeriod
}

func (q *demandQuery) handle(s *Server) {
	hosts := s.node.Hosts()
	config, known := committedConfig(s.node.Chain())
	if !s.node.IsConfirmedHead() || hosts == nil || !known {
		return
	}
	collector := s.assumeUsageRole().collector
	q.ok, q.config, q.hosts = true, config, hosts.Hosts
	q.loads = collector.LoadSince(s.now() - loadAveragingPeriod)
	q.recentFronts, q.knownFronts = len(collector.FrontsSince(s.now()-recentReportPeriod)), len(collector.FrontsSince(s.now()-knownFrontPeriod))
}

// committedConfig returns the entry of the newest committed configuration; ok is false if there is none, or if the local commit index
// may be behind entries that earlier heads have acknowledged.
func committedConfig(c *chain.Chain) (entry chain.Entry, ok bool) {
	if !c.CommitIsCurrent() {
		return chain.Entry{}, false
	}
	for _, e := range slices.Backward(c.Committed(0)) {
		if e.Key == feed.ConfigKey {
			return e, true
		}
	}
	return chain.Entry{}, false
}

// scaleSubject is a subject and its demand.
type scaleSubject struct {
	scaling.Subject
	scaling.Demand
}

// subjects returns the subjects with their demands, sorted by service and zone: each service with scaling bounds, in each zone in
// which its hosts are listed or were listed since this node acquired the lease.
func (d *scaleTask) subjects(query *demandQuery) (subjects []scaleSubject) {
	if d.config == nil {
		return nil
	}
	d.updateHostSlots(query.hosts)
	demands := map[scaling.Subject]*scaling.Demand{}
	for subject, slots := range d.hostSlots {
		bounds := d.config.Services[subject.Service].Scaling
		demands[subject] = &scaling.Demand{Min: max(bounds.Min, minOrderedHosts), Max: bounds.Max, Slots: slots}
	}
	for _, host := range query.hosts {
		if demand := demands[subjectOf(host)]; demand != nil && host.Serving() {
			demand.Hosts++
		}
	}
	for _, load := range query.loads {
		if demand := demands[scaling.Subject{Service: load.Service, Zone: load.Zone}]; demand != nil {
			demand.Concurrency = load.Concurrency
		}
	}
	for subject, demand := range demands {
		subjects = append(subjects, scaleSubject{subject, *demand})
	}
	slices.SortFunc(subjects, func(a, b scaleSubject) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return subjects
}

// updateHostSlots updates the slots per host from the listed hosts. Subjects without listed hosts are kept; subjects of services
// without scaling bounds are removed.
func (d *scaleTask) updateHostSlots(hosts []discovery.Host) {
	listed := map[scaling.Subject]int{}
	for _, host := range hosts {
		subject := subjectOf(host)
		listed[subject] = max(listed[subject], host.Capacity, defaultHostSlots)
	}
	maps.Copy(d.hostSlots, listed)
	maps.DeleteFunc(d.hostSlots, func(subject scaling.Subject, _ int) bool {
		return d.config.Services[subject.Service].Scaling.Max == 0
	})
}

// subjectOf returns the subject of a host.
func subjectOf(host discovery.Host) scaling.Subject {
	return scaling.Subject{Service: host.Service, Zone: host.Zone}
}

// scaleBody is the body of the call, with the field names that the platform's API documents.
type scaleBody struct {
	Service string `json:"target_service"`
	Zone    string `json:"zone_name"`
	Desired int    `json:"desired"`
}

// order sends an order. It reports whether the platform has accepted it.
func (d *scaleTask) order(grant *publishedGrant, subject scaling.Subject, hosts int) bool {
	body, err := json.Marshal(scaleBody{Service: subject.Service, Zone: subject.Zone, Desired: hosts})
	if err != nil {
		return false
	}
	outcome, _ := d.post(grant, scalePath, body)
	d.recordOutcome(subject, hosts, outcome)
	return outcome == fencedcall.Accepted
}

// recordOutcome updates the planner and the backoff with the outcome of an order.
func (d *scaleTask) recordOutcome(subject scaling.Subject, hosts int, outcome fencedcall.Outcome) {
	switch outcome {
	case fencedcall.Accepted:
		d.backoffOf(subject).succeeded()
		before, _ := d.planner.InForce(subject)
		d.server.log.Info("hosts ordered", "service", subject.Service, "zone", subject.Zone, "hosts", hosts, "previous", before)
		d.planner.OrderAccepted(subject, hosts)
	case fencedcall.NotSent:
		d.backoffOf(subject).failed(time.Now())
	default:
		d.backoffOf(subject).failed(time.Now())
		d.planner.OrderInDoubt(subject, hosts)
	}
}
