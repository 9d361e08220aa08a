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
	loadAveragingPeriod = 3 * time.Second // over which calls in flight are averaged
	recentReportPeriod  = 4 * time.Second // in which fronts have to have reported
	knownFrontPeriod    = 20 * time.Second
	minReportingDivisor = 2 // of the fronts that have reported within knownFrontPeriod, one in so many has to have reported lately
	defaultHostSlots    = 1 // of a host that lists no capacity
	minOrderedHosts     = 1 // a zone without hosts shows no demand for any
	scaleCallsPerStep   = 8 // so that a step takes a bounded time
)

// scaleTask orders how many hosts of a service run in a zone, for each service whose configuration has a scaling.
type scaleTask struct {
	*taskRunner
	planner         *scaling.Planner
	knownFronts     int                              // that have reported within knownFrontPeriod
	plannedAt       time.Time                        // zero before the first plan
	backoff         map[scaling.Subject]*callBackoff // of the platform's answers
	config          *routing.Config                  // as last parsed; nil before the first one
	configAt        int64                            // index of its entry
	recentFronts    int                              // that have reported lately, as last read
	hostSlots       map[scaling.Subject]int          // of a host as listed last, of all subjects of this headship
	plannedSubjects []scaleSubject                   // as last planned, for operators
}

func newScaleTask(d *taskRunner) *scaleTask { return &scaleTask{taskRunner: d} }

// begin forgets what another holder may have ordered: each subject is ordered anew.
func (d *scaleTask) reset() {
	d.planner, d.knownFronts, d.plannedAt = scaling.NewPlanner(scaling.DefaultParams()), 0, time.Time{}
	d.backoff = map[scaling.Subject]*callBackoff{}
	d.hostSlots = map[scaling.Subject]int{}
	d.config, d.configAt = nil, 0
	d.recentFronts, d.plannedSubjects = 0, nil
}

// step plans all subjects once in scaleInterval, and makes the orders.
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
		return // the fronts are not heard: the last orders stand
	}
	d.adoptConfig(query.config)
	d.plannedSubjects = d.subjects(query)
	d.orderHosts(grant)
}

// orderHosts plans the subjects and makes the orders. It makes no further call in this step after one without a clear answer,
// since each may take platformCallTimeout and usage reports wait meanwhile.
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

// adoptConfig parses the configuration of a committed entry, unless it is that of the last step.
func (d *scaleTask) adoptConfig(committed chain.Entry) {
	var entry feed.ConfigEntry
	if d.configAt == committed.Index || len(committed.Value) == 0 || rpc.Decode(committed.Value, &entry) != nil {
		return
	}
	if config, err := routing.Parse(entry.Body); err == nil {
		d.config, d.configAt = config, committed.Index
	}
}

// demandQuery reads what the plan needs: the configuration, the hosts and the load.
type demandQuery struct {
	ok           bool        // this node is the confirmed head and has a configuration
	config       chain.Entry // the newest committed one
	hosts        []discovery.Host
	loads        []usage.Load
	recentFronts int // that have reported within recentReportPeriod
	knownFronts  int // that have reported within knownFrontPeriod
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

// committedConfig returns the entry of the newest committed configuration; ok is false if there is none, or if the commit index
// may be behind what earlier heads have acknowledged.
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

// scaleSubject is a subject with its demand.
type scaleSubject struct {
	scaling.Subject
	scaling.Demand
}

// subjects returns the subjects with their demands, sorted: each service that is to be scaled, in each zone in which hosts of it
// are listed, or were listed in this headship.
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

// updateHostSlots notes the slots of listed hosts. Subjects without listed hosts stay, those of services that are not to be scaled
// go.
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

// scaleBody is the body of the call, with the names of the platform's page.
type scaleBody struct {
	Service string `json:"target_service"`
	Zone    string `json:"zone_name"`
	Desired int    `json:"desired"`
}

// order makes an order. It reports whether the platform has accepted it.
func (d *scaleTask) order(grant *publishedGrant, subject scaling.Subject, hosts int) bool {
	body, err := json.Marshal(scaleBody{Service: subject.Service, Zone: subject.Zone, Desired: hosts})
	if err != nil {
		return false
	}
	outcome, _ := d.post(grant, scalePath, body)
	d.recordOutcome(subject, hosts, outcome)
	return outcome == fencedcall.Accepted
}

// recordOutcome notes what is known of an order after its call.
func (d *scaleTask) recordOutcome(subject scaling.Subject, hosts int, outcome fencedcall.Outcome) {
	switch outcome {
	case fencedcall.Accepted:
		d.backoffOf(subject).succeeded()
		before, _ := d.planner.InForce(subject)
		d.server.log.Info("hosts ordered", "service", subject.Service, "zone", subject.Zone, "hosts", hosts, "before", before)
		d.planner.OrderAccepted(subject, hosts)
	case fencedcall.NotSent:
		d.backoffOf(subject).failed(time.Now())
	default:
		d.backoffOf(subject).failed(time.Now())
		d.planner.OrderInDoubt(subject, hosts)
	}
}
