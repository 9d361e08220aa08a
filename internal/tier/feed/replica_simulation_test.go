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
type replicaFault string

const (
	noFault        replicaFault = ""
	indexGoesBack  replicaFault = "index goes back"
	noDigest       replicaFault = "delta applied without its digests"
	mixedChunks    replicaFault = "pieces of two values mixed"
	staleAccepted  replicaFault = "stale source accepted"
	gapOverlooked  replicaFault = "entries between two requests overlooked"
	confirmedEarly replicaFault = "heard before a value has come"
)

// course is a drawn one: three sources that lag, lie and lose what they kept, one replica, a poll and pieces under way.
type replicaSimulation struct {
	t           *testing.T
	rand        *rand.Rand
	log         commitLog
	sources     []*fakeSource
	replica     *replica
	fault       replicaFault
	clock       time.Time
	inFlight    *pollExchange
	chunks      []*chunkExchange
	routeCount  int
	bodySeed    int
	commitTimes []time.Time // when each entry was committed
	mayLie      bool        // sources may lie in this course
	lied        bool        // a source called itself fresh and was not: what is heard holds no more
}

type pollExchange struct {
	sent     time.Time
	request  *ChangesRequest
	response *ChangesResponse
}

type chunkExchange struct {
	download *download
	span     span
	chunk    *Chunk
}

func newReplicaSimulation(t *testing.T, seed uint64, fault replicaFault) *replicaSimulation {
	sim := &replicaSimulation{t: t, rand: rand.New(rand.NewPCG(seed, 0)), replica: newReplica(), fault: fault, clock: time.Unix(1000, 0)}
	sim.routeCount = []int{someRoutes, largeRoutes}[sim.rand.IntN(2)]
	for range 3 {
		sim.sources = append(sim.sources, &fakeSource{})
	}
	sim.log.commitConfig(sim.routeCount, 0)
	sim.commitTimes, sim.mayLie = []time.Time{sim.clock}, sim.rand.IntN(2) == 0
	sim.sources[0].commitIndex = 1
	return sim
}

func (c *replicaSimulation) randomSource() *fakeSource { return c.sources[c.rand.IntN(3)] }

func (c *replicaSimulation) commitEntry() {
	if c.rand.IntN(3) == 0 {
		c.log.commitPlacement()
	} else {
		if c.rand.IntN(6) == 0 {
			c.routeCount = []int{fewRoutes, someRoutes, largeRoutes, largeRoutes}[c.rand.IntN(4)]
		}
		if c.rand.IntN(2) == 0 {
			c.bodySeed++
		}
		c.log.commitConfig(c.routeCount, c.bodySeed)
	}
	c.commitTimes = append(c.commitTimes, c.clock)
	c.randomSource().commitIndex = int64(len(c.log.entries))
}

// send makes a poll: the answer is made now and comes later. A source that was frozen lies: it calls itself fresh with
// what it had.
func (c *replicaSimulation) sendPoll() {
	s := c.randomSource()
	confirmed := s.commitIndex == int64(len(c.log.entries))
	lies := !confirmed && c.mayLie && c.rand.IntN(4) == 0
	c.lied = c.lied || lies
	request := c.replica.nextRequest()
	response := s.respond(&c.log, wireCopy(&request), confirmed || lies)
	if len(response.Patches) > 0 && c.rand.IntN(4) == 0 {
		d := response.Patches[0].Delta
		d[c.rand.IntN(len(d))] ^= byte(1 + c.rand.IntN(255))
	}
	if lies && response.Index < c.replica.tables.Index && c.fault != staleAccepted {
		c.mustReject(&request, response)
	}
	c.inFlight = &pollExchange{c.clock, &request, response}
}

func (c *replicaSimulation) mustReject(request *ChangesRequest, response *ChangesResponse) {
	before := c.replica.tables
	if _, err := c.replica.handleResponse(c.clock, request, response); !errors.Is(err, errSourceBehind) || c.replica.tables != before {
		c.t.Fatalf("a source at index %d was taken for fresh at index %d: %v", response.Index, before.Index, err)
	}
}

// receive delivers the answer to the poll.
func (c *replicaSimulation) receiveResponse() {
	exchange := c.inFlight
	c.inFlight = nil
	if exchange == nil || !exchange.response.Confirmed {
		return
	}
	c.plantFault(exchange)
	_, err := c.replica.handleResponse(exchange.sent, exchange.request, exchange.response)
	if c.fault == confirmedEarly && err == nil {
		c.replica.tables.ConfirmedAt = exchange.sent
	}
}

// plant changes the replica's own memory, or what comes to it, so that one of its checks does not hold.
func (c *replicaSimulation) plantFault(exchange *pollExchange) {
	switch c.fault {
	case indexGoesBack:
		c.replica.confirmedIndex, c.replica.receivedIndex = 0, exchange.request.ReceivedIndex
	case staleAccepted:
		c.replica.confirmedIndex, c.replica.receivedIndex = 0, exchange.request.ReceivedIndex
		clear(c.replica.valueIndexes)
	case gapOverlooked:
		c.replica.receivedIndex = max(c.replica.receivedIndex, exchange.request.ReceivedIndex)
	case noDigest:
		for i, p := range exchange.response.Patches {
			if value := applyUnchecked(c.replica.baseValue, p.Delta); value != nil {
				exchange.response.Entries = append(exchange.response.Entries, chain.Entry{Index: p.Index, Key: p.Key, Value: value})
				exchange.response.Patches = append(exchange.response.Patches[:i], exchange.response.Patches[i+1:]...)
				break
			}
		}
	}
}

// careless applies a delta without a look at its digests; nil where that cannot be done at all.
func applyUnchecked(old, delta []byte) (value []byte) {
	operations, copied := delta[min(len(delta), 1+2*len(bodydelta.Digest{})):], 0
	for len(operations) > 0 {
		first, n := binary.Uvarint(operations)
		if n <= 0 {
			return nil
		}
		operations = operations[n:]
		length := int(first >> 1)
		if first&1 == 1 {
			if length > len(operations) {
				return nil
			}
			value, operations = append(value, operations[:length]...), operations[length:]
			continue
		}
		distance, n := binary.Varint(operations)
		from := copied + int(distance)
		if n <= 0 || from < 0 || length < 0 || from > len(old) || length > len(old)-from {
			return nil
		}
		value, operations, copied = append(value, old[from:from+length]...), operations[n:], from+length
	}
	return value
}

func (c *replicaSimulation) requestChunk() {
	download := c.replica.download
	if download == nil || len(c.chunks) >= maxChunksInFlight {
		return
	}
	if span, ok := download.nextSpan(); ok {
		request := &ChunkRequest{Digest: download.ref.Digest, Offset: span.offset, Length: span.length}
		chunk := wireCopy(c.randomSource().values.Chunk(request))
		if chunk.Status == ChunkServed && c.rand.IntN(10) == 0 {
			chunk.Data[c.rand.IntN(len(chunk.Data))] ^= 1
		}
		c.chunks = append(c.chunks, &chunkExchange{download, span, chunk})
	}
}

func (c *replicaSimulation) receiveChunk() {
	if len(c.chunks) == 0 {
		return
	}
	i := c.rand.IntN(len(c.chunks))
	exchange := c.chunks[i]
	c.chunks = append(c.chunks[:i], c.chunks[i+1:]...)
	if c.rand.IntN(6) == 0 {
		exchange.chunk = nil
	}
	if c.replica.download != exchange.download {
		return
	}
	if c.fault == mixedChunks {
		c.mixChunks(exchange)
	}
	if !exchange.download.handleChunk(exchange.span, exchange.chunk) {
		if exchange.download.failures >= 6 {
			c.replica.abandonDownload()
		}
		return
	}
	if exchange.download.complete() {
		if c.fault == mixedChunks {
			d := bodydelta.DigestOf(exchange.download.data)
			exchange.download.ref.Digest = d[:]
		}
		_ = c.replica.finishDownload()
	}
}

// mix has pieces of any other value of the size count as those that were asked for.
func (c *replicaSimulation) mixChunks(exchange *chunkExchange) {
	for _, e := range c.log.entries {
		if int64(len(e.Value)) == exchange.download.ref.Size && exchange.chunk != nil {
			exchange.chunk = &Chunk{Digest: exchange.download.ref.Digest, Offset: exchange.span.offset, Data: e.Value[exchange.span.offset : exchange.span.offset+exchange.span.length]}
			return
		}
	}
}

// restart loses what a source keeps beside what is committed.
func (c *replicaSimulation) clearCache() { c.randomSource().values = ValueCache{} }

func (c *replicaSimulation) catchUp() { c.randomSource().commitIndex = int64(len(c.log.entries)) }

// step does one drawn thing, and judges the tables after it.
func (c *replicaSimulation) step() error {
	before := c.replica.tables
	c.clock = c.clock.Add(time.Millisecond)
	steps := []func(){
		c.commitEntry, c.commitEntry, c.commitEntry, c.catchUp, c.catchUp, c.catchUp, c.sendPoll, c.sendPoll, c.sendPoll, c.sendPoll, c.receiveResponse, c.receiveResponse, c.receiveResponse, c.receiveResponse,
		c.requestChunk, c.requestChunk, c.requestChunk, c.receiveChunk, c.receiveChunk, c.receiveChunk, c.clearCache,
	}
	steps[c.rand.IntN(len(steps))]()
	return c.check(before)
}

func (c *replicaSimulation) check(before *Tables) error {
	if err := c.log.check(before, c.replica.tables); err != nil {
		return err
	}
	if err := c.checkConfirmedAt(c.replica.tables); err != nil {
		return err
	}
	for _, e := range c.log.entries {
		if e.Key == ConfigKey && bytes.Equal(e.Value, c.replica.baseValue) {
			return nil
		}
	}
	if c.replica.baseValue != nil {
		return fmt.Errorf("the value that is held was never committed")
	}
	return nil
}

func (c *replicaSimulation) checkConfirmedAt(tables *Tables) error {
	if tables.ConfirmedAt.After(c.clock) {
		return fmt.Errorf("heard after now")
	}
	for i, at := range c.commitTimes {
		if !c.lied && at.Before(tables.ConfirmedAt) && tables.Index < int64(i)+1 {
			return fmt.Errorf("heard at %v, at index %d, index %d was committed before", tables.ConfirmedAt, tables.Index, i+1)
		}
	}
	return nil
}

// settle has all sources whole and honest: the replica must come to the newest index.
func (c *replicaSimulation) converge() error {
	for _, s := range c.sources {
		s.commitIndex = int64(len(c.log.entries))
	}
	s := c.sources[1]
	for range 40 {
		before := c.replica.tables
		request := c.replica.nextRequest()
		if _, err := c.replica.handleResponse(c.clock, &request, s.respond(&c.log, &request, true)); err != nil {
			return err
		}
		for c.replica.download != nil && !c.replica.download.abandoned {
			c.replica.download.pending = nil // of pieces that are lost
			download := c.replica.download
			span, ok := download.nextSpan()
			if !ok {
				return fmt.Errorf("nothing to ask for with %d of %d bytes", len(download.data), download.ref.Size)
			}
			chunk := s.values.Chunk(&ChunkRequest{Digest: download.ref.Digest, Offset: span.offset, Length: span.length})
			if !download.handleChunk(span, chunk) && download.failures >= 6 {
				c.replica.abandonDownload()
			} else if download.complete() {
				_ = c.replica.finishDownload()
			}
		}
		if err := c.check(before); err != nil {
			return err
		}
		if c.replica.tables.Index == s.commitIndex {
			return nil
		}
	}
	return fmt.Errorf("stays at index %d of %d", c.replica.tables.Index, s.commitIndex)
}

func (c *replicaSimulation) run() error {
	for range 40 + c.rand.IntN(160) {
		if err := c.step(); err != nil {
			return err
		}
	}
	if c.fault != noFault {
		return nil
	}
	return c.converge()
}

const maxFaultSimulations = 1000 // at most, until the fault shows

var simulations = flag.Uint64("courses", 100, "drawn courses of a follower")

func TestRandomReplicaSimulations(t *testing.T) {
	for seed := range *simulations {
		if err := newReplicaSimulation(t, seed, noFault).run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Each fault must show in some of the courses that find nothing without it.
func TestReplicaSimulationFindsPlantedFaults(t *testing.T) {
	for _, f := range []replicaFault{indexGoesBack, noDigest, mixedChunks, staleAccepted, gapOverlooked, confirmedEarly} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(maxFaultSimulations) {
				if err := newReplicaSimulation(t, seed, f).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not found in %d courses", maxFaultSimulations)
		})
	}
}
