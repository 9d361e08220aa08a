package feed

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/internal/tier/bodydelta"
	"larchrouter/internal/tier/chain"
)

// fault is one that is planted into a replica, around its own code.
type fault string

const (
	noFault       fault = ""
	indexGoesBack fault = "index goes back"
	noDigest      fault = "delta applied without its digests"
	mixedPieces   fault = "pieces of two values mixed"
	staleAccepted fault = "stale source accepted"
	gapOverlooked fault = "entries between two requests overlooked"
	heardEarly    fault = "heard before a value has come"
)

// course is a drawn one: three sources that lag, lie and lose what they kept, one replica, a poll and pieces under way.
type course struct {
	t       *testing.T
	rand    *rand.Rand
	h       history
	sources []*source
	r       *replica
	fault   fault
	clock   time.Time
	poll    *exchange
	parts   []*part
	routes  int
	seed    int
	times   []time.Time // when each entry was committed
	liars   bool        // sources may lie in this course
	lied    bool        // a source called itself fresh and was not: what is heard holds no more
}

type exchange struct {
	sent time.Time
	q    *ChangesRequest
	a    *ChangesResponse
}

type part struct {
	d    *download
	span span
	p    *Chunk
}

func newCourse(t *testing.T, seed uint64, f fault) *course {
	c := &course{t: t, rand: rand.New(rand.NewPCG(seed, 0)), r: newReplica(), fault: f, clock: time.Unix(1000, 0)}
	c.routes = []int{someRoutes, largeRoutes}[c.rand.IntN(2)]
	for range 3 {
		c.sources = append(c.sources, &source{})
	}
	c.h.config(c.routes, 0)
	c.times, c.liars = []time.Time{c.clock}, c.rand.IntN(2) == 0
	c.sources[0].commit = 1
	return c
}

func (c *course) source() *source { return c.sources[c.rand.IntN(3)] }

func (c *course) commit() {
	if c.rand.IntN(3) == 0 {
		c.h.placement()
	} else {
		if c.rand.IntN(6) == 0 {
			c.routes = []int{fewRoutes, someRoutes, largeRoutes, largeRoutes}[c.rand.IntN(4)]
		}
		if c.rand.IntN(2) == 0 {
			c.seed++
		}
		c.h.config(c.routes, c.seed)
	}
	c.times = append(c.times, c.clock)
	c.source().commit = int64(len(c.h.all))
}

// send makes a poll: the answer is made now and comes later. A source that was frozen lies: it calls itself fresh with
// what it had.
func (c *course) send() {
	s := c.source()
	fresh := s.commit == int64(len(c.h.all))
	lies := !fresh && c.liars && c.rand.IntN(4) == 0
	c.lied = c.lied || lies
	q := c.r.request()
	a := s.answer(&c.h, copied(&q), fresh || lies)
	if len(a.Patches) > 0 && c.rand.IntN(4) == 0 {
		d := a.Patches[0].Delta
		d[c.rand.IntN(len(d))] ^= byte(1 + c.rand.IntN(255))
	}
	if lies && a.Index < c.r.tables.Index && c.fault != staleAccepted {
		c.mustRefuse(&q, a)
	}
	c.poll = &exchange{c.clock, &q, a}
}

func (c *course) mustRefuse(q *ChangesRequest, a *ChangesResponse) {
	before := c.r.tables
	if _, err := c.r.take(c.clock, q, a); !errors.Is(err, errBehind) || c.r.tables != before {
		c.t.Fatalf("a source at index %d was taken for fresh at index %d: %v", a.Index, before.Index, err)
	}
}

// receive delivers the answer to the poll.
func (c *course) receive() {
	x := c.poll
	c.poll = nil
	if x == nil || !x.a.Confirmed {
		return
	}
	c.plant(x)
	_, err := c.r.take(x.sent, x.q, x.a)
	if c.fault == heardEarly && err == nil {
		c.r.tables.ConfirmedAt = x.sent
	}
}

// plant changes the replica's own memory, or what comes to it, so that one of its checks does not hold.
func (c *course) plant(x *exchange) {
	switch c.fault {
	case indexGoesBack:
		c.r.seen, c.r.told = 0, x.q.ReceivedIndex
	case staleAccepted:
		c.r.seen, c.r.told = 0, x.q.ReceivedIndex
		clear(c.r.indexes)
	case gapOverlooked:
		c.r.told = max(c.r.told, x.q.ReceivedIndex)
	case noDigest:
		for i, p := range x.a.Patches {
			if value := careless(c.r.held, p.Delta); value != nil {
				x.a.Entries = append(x.a.Entries, chain.Entry{Index: p.Index, Key: p.Key, Value: value})
				x.a.Patches = append(x.a.Patches[:i], x.a.Patches[i+1:]...)
				break
			}
		}
	}
}

// careless applies a delta without a look at its digests; nil where that cannot be done at all.
func careless(old, delta []byte) (value []byte) {
	ops, copied := delta[min(len(delta), 1+2*len(bodydelta.Digest{})):], 0
	for len(ops) > 0 {
		first, n := binary.Uvarint(ops)
		if n <= 0 {
			return nil
		}
		ops = ops[n:]
		length := int(first >> 1)
		if first&1 == 1 {
			if length > len(ops) {
				return nil
			}
			value, ops = append(value, ops[:length]...), ops[length:]
			continue
		}
		distance, n := binary.Varint(ops)
		from := copied + int(distance)
		if n <= 0 || from < 0 || length < 0 || from > len(old) || length > len(old)-from {
			return nil
		}
		value, ops, copied = append(value, old[from:from+length]...), ops[n:], from+length
	}
	return value
}

func (c *course) ask() {
	d := c.r.fetch
	if d == nil || len(c.parts) >= piecesUnderWay {
		return
	}
	if s, ok := d.claim(); ok {
		q := &ChunkRequest{Digest: d.name.Digest, Offset: s.from, Length: s.length}
		p := copied(c.source().values.Chunk(q))
		if p.Status == ChunkServed && c.rand.IntN(10) == 0 {
			p.Data[c.rand.IntN(len(p.Data))] ^= 1
		}
		c.parts = append(c.parts, &part{d, s, p})
	}
}

func (c *course) give() {
	if len(c.parts) == 0 {
		return
	}
	i := c.rand.IntN(len(c.parts))
	x := c.parts[i]
	c.parts = append(c.parts[:i], c.parts[i+1:]...)
	if c.rand.IntN(6) == 0 {
		x.p = nil
	}
	if c.r.fetch != x.d {
		return
	}
	if c.fault == mixedPieces {
		c.mix(x)
	}
	if !x.d.give(x.span, x.p) {
		if x.d.refused >= 6 {
			c.r.gone()
		}
		return
	}
	if x.d.complete() {
		if c.fault == mixedPieces {
			d := bodydelta.DigestOf(x.d.have)
			x.d.name.Digest = d[:]
		}
		_ = c.r.fetched()
	}
}

// mix has pieces of any other value of the size count as those that were asked for.
func (c *course) mix(x *part) {
	for _, e := range c.h.all {
		if int64(len(e.Value)) == x.d.name.Size && x.p != nil {
			x.p = &Chunk{Digest: x.d.name.Digest, Offset: x.span.from, Data: e.Value[x.span.from : x.span.from+x.span.length]}
			return
		}
	}
}

// restart loses what a source keeps beside what is committed.
func (c *course) restart() { c.source().values = ValueCache{} }

func (c *course) catchUp() { c.source().commit = int64(len(c.h.all)) }

// step does one drawn thing, and judges the tables after it.
func (c *course) step() error {
	before := c.r.tables
	c.clock = c.clock.Add(time.Millisecond)
	steps := []func(){
		c.commit, c.commit, c.commit, c.catchUp, c.catchUp, c.catchUp, c.send, c.send, c.send, c.send, c.receive, c.receive, c.receive, c.receive,
		c.ask, c.ask, c.ask, c.give, c.give, c.give, c.restart,
	}
	steps[c.rand.IntN(len(steps))]()
	return c.judge(before)
}

func (c *course) judge(before *Tables) error {
	if err := c.h.judge(before, c.r.tables); err != nil {
		return err
	}
	if err := c.judgeHeard(c.r.tables); err != nil {
		return err
	}
	for _, e := range c.h.all {
		if e.Key == ConfigKey && bytes.Equal(e.Value, c.r.held) {
			return nil
		}
	}
	if c.r.held != nil {
		return fmt.Errorf("the value that is held was never committed")
	}
	return nil
}

func (c *course) judgeHeard(t *Tables) error {
	if t.ConfirmedAt.After(c.clock) {
		return fmt.Errorf("heard after now")
	}
	for i, at := range c.times {
		if !c.lied && at.Before(t.ConfirmedAt) && t.Index < int64(i)+1 {
			return fmt.Errorf("heard at %v, at index %d, index %d was committed before", t.ConfirmedAt, t.Index, i+1)
		}
	}
	return nil
}

// settle has all sources whole and honest: the replica must come to the newest index.
func (c *course) settle() error {
	for _, s := range c.sources {
		s.commit = int64(len(c.h.all))
	}
	s := c.sources[1]
	for range 40 {
		before := c.r.tables
		q := c.r.request()
		if _, err := c.r.take(c.clock, &q, s.answer(&c.h, &q, true)); err != nil {
			return err
		}
		for c.r.fetch != nil && !c.r.fetch.stopped {
			c.r.fetch.asked = nil // of pieces that are lost
			d := c.r.fetch
			part, ok := d.claim()
			if !ok {
				return fmt.Errorf("nothing to ask for with %d of %d bytes", len(d.have), d.name.Size)
			}
			p := s.values.Chunk(&ChunkRequest{Digest: d.name.Digest, Offset: part.from, Length: part.length})
			if !d.give(part, p) && d.refused >= 6 {
				c.r.gone()
			} else if d.complete() {
				_ = c.r.fetched()
			}
		}
		if err := c.judge(before); err != nil {
			return err
		}
		if c.r.tables.Index == s.commit {
			return nil
		}
	}
	return fmt.Errorf("stays at index %d of %d", c.r.tables.Index, s.commit)
}

func (c *course) play() error {
	for range 40 + c.rand.IntN(160) {
		if err := c.step(); err != nil {
			return err
		}
	}
	if c.fault != noFault {
		return nil
	}
	return c.settle()
}

const plantedCourses = 1000 // at most, until the fault shows

var drawnCourses = flag.Uint64("courses", 100, "drawn courses of a follower")

func TestDrawnCoursesOfAFollower(t *testing.T) {
	for seed := range *drawnCourses {
		if err := newCourse(t, seed, noFault).play(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Each fault must show in some of the courses that find nothing without it.
func TestDrawnCoursesFindPlantedFaults(t *testing.T) {
	for _, f := range []fault{indexGoesBack, noDigest, mixedPieces, staleAccepted, gapOverlooked, heardEarly} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(plantedCourses) {
				if err := newCourse(t, seed, f).play(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not found in %d courses", plantedCourses)
		})
	}
}
