package usage

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

const (
	modelFronts   = 3
	modelTenants  = 2
	modelWindows  = 4 // windows of a history, all of which are retained
	minModelSteps = 40
	maxModelSteps = 100
)

// step is one event of a history. Its arguments are taken modulo the number of objects of their kind.
type step struct {
	Kind    stepKind
	A, B, C int
}

type stepKind int

const (
	recordRequest  stepKind = iota // A: front, B: window, C: tenant
	sendReport                     // A: front
	deliverReport                  // A: report in flight
	repeatReport                   // A: report in flight, which stays in flight
	loseReport                     // A: report in flight
	deliverReceipt                 // A: receipt in flight
	loseReceipt                    // A: receipt in flight
	restartFront                   // A: front; it reports everything before it stops
	changeCollector
)

// histories generates random histories, in which requests and deliveries are frequent.
var histories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	kinds := []stepKind{recordRequest, recordRequest, recordRequest, sendReport, sendReport, deliverReport, deliverReport, repeatReport, loseReport,
		deliverReceipt, deliverReceipt, loseReceipt, restartFront, changeCollector}
	argument := rapid.SampledFrom([]int{5, 3, 4, 0, 1, 2, 11, 10, 9, 8, 7, 6})
	return step{rapid.SampledFrom(kinds).Draw(t, "kind"), argument.Draw(t, "a"), argument.Draw(t, "b"), argument.Draw(t, "c")}
}), minModelSteps, maxModelSteps)

// injectedFault replaces how the model calls the code under test; nil functions replace nothing.
type injectedFault struct {
	add         func(m *model, front string, report Report)
	acknowledge func(c *Counter, collector string, report Report)
}

// model has the fronts with their counters, the present collector, and the reports and receipts in flight between them.
type model struct {
	fault      injectedFault
	fronts     [modelFronts]*Counter
	started    int64 // number of incarnations started
	collector  *Collector
	generation int // of the collector
	reports    []reportInFlight
	receipts   []receiptInFlight

	counted   [modelFronts]requestCounts // expected counts of the running incarnations
	restarted []restartedCounts
}

// restartedCounts is the counts of an incarnation that was restarted, all of which it had reported to the collector of that time.
type restartedCounts struct {
	generation int
	counts     requestCounts
}

type reportInFlight struct {
	front   int
	counter *Counter
	report  Report
}

type receiptInFlight struct {
	counter   *Counter
	collector string
	report    Report
}

func newModel(fault injectedFault) *model {
	m := &model{fault: fault, collector: NewCollector(testParams)}
	for front := range m.fronts {
		m.start(front)
	}
	return m
}

// start starts an incarnation of a front.
func (m *model) start(front int) {
	m.started++
	m.fronts[front] = NewCounter(m.started, modelWindows)
	m.counted[front] = requestCounts{}
}

// run applies a history, and returns an error if the collector's counts differ from the expected ones at its end.
func (m *model) run(history []step) error {
	for _, s := range history {
		m.apply(s)
	}
	for front := range m.fronts {
		if err := m.flush(front); err != nil {
			return err
		}
	}
	return m.check()
}

func (m *model) apply(s step) {
	front := s.A % modelFronts
	switch s.Kind {
	case recordRequest:
		m.record(front, tenantName(s.C), int64(s.B%modelWindows))
	case sendReport:
		m.reports = append(m.reports, reportInFlight{front, m.fronts[front], m.fronts[front].Pending()})
	case restartFront:
		m.restart(front)
	case changeCollector:
		m.collector = NewCollector(testParams)
		m.generation++
	case deliverReport, repeatReport, loseReport:
		if len(m.reports) > 0 {
			m.applyReport(s.Kind, s.A%len(m.reports))
		}
	case deliverReceipt, loseReceipt:
		if len(m.receipts) > 0 {
			i := s.A % len(m.receipts)
			if s.Kind == deliverReceipt {
				m.acknowledge(m.receipts[i])
			}
			m.receipts = append(m.receipts[:i:i], m.receipts[i+1:]...)
		}
	}
}

func (m *model) applyReport(kind stepKind, i int) {
	if kind != loseReport {
		m.receipts = append(m.receipts, m.add(m.reports[i]))
	}
	if kind != repeatReport {
		m.reports = append(m.reports[:i:i], m.reports[i+1:]...)
	}
}

func (m *model) record(front int, tenant string, window int64) {
	m.fronts[front].Record(tenant, window)
	m.counted[front][countKey{tenant, window}]++
}

// add adds a report to the collector and returns its receipt.
func (m *model) add(sent reportInFlight) receiptInFlight {
	if front := fmt.Sprint("front-", sent.front); m.fault.add != nil {
		m.fault.add(m, front, sent.report)
	} else {
		m.collector.Add(at(0), front, sent.report)
	}
	return receiptInFlight{sent.counter, fmt.Sprint("collector-", m.generation), sent.report}
}

func (m *model) acknowledge(receipt receiptInFlight) {
	if m.fault.acknowledge != nil {
		m.fault.acknowledge(receipt.counter, receipt.collector, receipt.report)
	} else {
		receipt.counter.Acknowledge(receipt.collector, receipt.report)
	}
}

// flush makes a front report to the collector until nothing is pending. The receipt of the first report, which may be empty, tells the
// front which collector is the current one.
func (m *model) flush(front int) error {
	c := m.fronts[front]
	for range modelWindows + 2 {
		report := c.Pending()
		m.acknowledge(m.add(reportInFlight{front, c, report}))
		if len(c.Pending().Windows) == 0 {
			return nil
		}
	}
	return errors.Newf("front %d has windows pending after %d reports", front, modelWindows+2)
}

// restart restarts a front that has nothing pending.
func (m *model) restart(front int) {
	if m.flush(front) != nil {
		return
	}
	m.restarted = append(m.restarted, restartedCounts{m.generation, m.counted[front]})
	m.start(front)
}

// check compares the collector's counts with the expected ones. Of an incarnation that ended before the collector started, the collector
// may have any part of the counts.
func (m *model) check() error {
	least, most := requestCounts{}, requestCounts{}
	for _, counts := range m.counted {
		least.add(counts)
		most.add(counts)
	}
	for _, ended := range m.restarted {
		most.add(ended.counts)
		if ended.generation == m.generation {
			least.add(ended.counts)
		}
	}
	for window := range int64(modelWindows) {
		got := m.collector.Counts(window)
		for tenant := range modelTenants {
			name := tenantName(tenant)
			key := countKey{name, window}
			if got[name] < least[key] || got[name] > most[key] {
				return errors.Newf("window %d has %d requests of %s, want %d to %d", window, got[name], name, least[key], most[key])
			}
			delete(got, name)
		}
		if len(got) > 0 {
			return errors.Newf("window %d has requests of tenants that sent none: %v", window, got)
		}
	}
	return nil
}

// requestCounts is the number of requests by tenant and window.
type requestCounts map[countKey]int

type countKey struct {
	tenant string
	window int64
}

func (t requestCounts) add(other requestCounts) {
	for key, count := range other {
		t[key] += count
	}
}

func tenantName(i int) string { return fmt.Sprint("tenant-", i%modelTenants) }

// The collector's counts must equal the requests that were made, whatever happens to reports and receipts, fronts and collectors, as
// long as no front stops with counts that it has not reported.
func TestCollectorCountsEqualRequestsMade(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newModel(injectedFault{}).run(histories.Draw(t, "history")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestModelDetectsInjectedFaults checks that the property fails with each injected fault.
func TestModelDetectsInjectedFaults(t *testing.T) {
	const drawn = 200
	for name, fault := range map[string]injectedFault{
		"reports are summed": {add: func(m *model, front string, report Report) {
			m.started++
			report.Incarnation = -m.started
			m.collector.Add(at(0), front, report)
		}},
		"the last report replaces the counts": {add: func(m *model, front string, report Report) {
			for _, w := range report.Windows {
				delete(m.collector.windows[w.Number], source{front, report.Incarnation})
			}
			m.collector.Add(at(0), front, report)
		}},
		"incarnations are not distinguished": {add: func(m *model, front string, report Report) {
			report.Incarnation = 0
			m.collector.Add(at(0), front, report)
		}},
		"fronts are not distinguished": {add: func(m *model, _ string, report Report) {
			report.Incarnation = 0
			m.collector.Add(at(0), "front", report)
		}},
		"nothing is sent again to another collector": {acknowledge: func(c *Counter, _ string, report Report) {
			c.Acknowledge("collector", report)
		}},
		"a receipt acknowledges requests counted after the report": {acknowledge: func(c *Counter, collector string, _ Report) {
			c.Acknowledge(collector, c.Pending())
		}},
		"each receipt looks like one of another collector": {acknowledge: func(c *Counter, collector string, report Report) {
			c.Acknowledge("other", Report{})
			c.Acknowledge(collector, report)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range drawn {
				if err := newModel(fault).run(histories.Example(seed)); err != nil {
					t.Logf("detected with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not detected in %d histories", drawn)
		})
	}
}
