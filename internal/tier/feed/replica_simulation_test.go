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

// replicaFault is a fault planted around a replica.
type replicaFault string

const (
	noFault        replicaFault = ""
	indexGoesBack  replicaFault = "index decreases"
	noDigest       replicaFault = "delta applied without its digests"
	mixedChunks    replicaFault = "chunks of two values mixed"
	staleAccepted  replicaFault = "stale source accepted"
	gapOverlooked  replicaFault = "entries between two requests overlooked"
	confirmedEarly replicaFault = "confirmed before a value is downloaded"
)

// replicaSimulation simulates a replica with a poll and chunk requests in flight, and three sources that lag, send stale
// responses as confirmed and lose cached values.
type replicaSimulation struct {
	t            *testing.T
	rand         *rand.Rand
	log          commitLog
	sources      []*fakeSource
	replica      *replica
	fault        replicaFault
	clock        time.Time
	inFlight     *pollExchange
	chunks       []*chunkExchange
	routeCount   int
	bodySeed     int
	commitTimes  []time.Time // when each entry was committed
	maySendStale bool        // sources may send stale responses as confirmed
	sentStale    bool        // a source has sent a stale response as confirmed: ConfirmedAt is no longer checked
}

type pollExchange struct {
	sent     time.Time
	request  *ChangesRequest
	response *ChangesResponse
}

type chunkExchange struct {
	download *download
	span     byteRange
	chunk    *Chunk
}

func newReplicaSimulation(t *testing.T, seed uint64, fault replicaFault) *replicaSimulation {
	sim := &replicaSimulation{t: t, rand: rand.New(rand.NewPCG(seed, 0)), replica: newReplica(), fault: fault,
		clock: time.Unix(1000, 0)}
	sim.routeCount = []int{someRoutes, largeRoutes}[sim.rand.IntN(2)]
	for range 3 {
		sim.sources = append(sim.sources, &fakeSource{compresses: sim.rand.IntN(3) == 0})
	}
	sim.log.commitConfig(sim.routeCount, 0)
	sim.commitTimes, sim.maySendStale = []time.Time{sim.clock}, sim.rand.IntN(2) == 0
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

// sendPoll sends a poll. The source builds its response now, and receiveResponse delivers it later. A source that was
// frozen may send its stale state as confirmed.
func (c *replicaSimulation) sendPoll() {
	source := c.randomSource()
	confirmed := source.commitIndex == int64(len(c.log.entries))
	stale := !confirmed && c.maySendStale && c.rand.IntN(4) == 0
	c.sentStale = c.sentStale || stale
	request := c.replica.nextRequest()
	response := source.respond(&c.log, wireCopy(&request), confirmed || stale)
	if len(response.Patches) > 0 && c.rand.IntN(4) == 0 {
		delta := response.Patches[0].Delta
		delta[c.rand.IntN(len(delta))] ^= byte(1 + c.rand.IntN(255))
	}
	if stale && response.Index < c.replica.tables.Index && c.fault != staleAccepted {
		c.mustReject(&request, response)
	}
	c.inFlight = &pollExchange{c.clock, &request, response}
}

func (c *replicaSimulation) mustReject(request *ChangesRequest, response *ChangesResponse) {
	before := c.replica.tables
	_, err := c.replica.handleResponse(c.clock, request, response)
	if !errors.Is(err, errSourceBehind) || c.replica.tables != before {
		c.t.Fatalf("a source at index %d was not rejected as behind at index %d: %v", response.Index, before.Index, err)
	}
}

// receiveResponse delivers the response to the poll.
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

// plantFault changes the replica's fields, or the response, to disable one of the replica's checks.
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

// applyUnchecked applies a delta without verifying its digests. It returns nil if the delta is malformed.
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
	if span, ok := download.nextRange(); ok {
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
			digest := bodydelta.DigestOf(exchange.download.data)
			exchange.download.ref.Digest = digest[:]
		}
		_ = c.replica.finishDownload()
	}
}

// mixChunks replaces a chunk with that of the first committed value of the same size.
func (c *replicaSimulation) mixChunks(exchange *chunkExchange) {
	for _, e := range c.log.entries {
		if int64(len(e.Value)) == exchange.download.ref.Size && exchange.chunk != nil {
			from, to := exchange.span.offset, exchange.span.offset+exchange.span.length
			exchange.chunk = &Chunk{Digest: exchange.download.ref.Digest, Offset: from, Data: e.Value[from:to]}
			return
		}
	}
}

// clearCache clears the cached values of a random source.
func (c *replicaSimulation) clearCache() { c.randomSource().values = ValueCache{} }

func (c *replicaSimulation) catchUp() { c.randomSource().commitIndex = int64(len(c.log.entries)) }

// step performs one random step and checks the tables.
func (c *replicaSimulation) step() error {
	before := c.replica.tables
	c.clock = c.clock.Add(time.Millisecond)
	steps := []func(){
		c.commitEntry, c.commitEntry, c.commitEntry,
		c.catchUp, c.catchUp, c.catchUp,
		c.sendPoll, c.sendPoll, c.sendPoll, c.sendPoll,
		c.receiveResponse, c.receiveResponse, c.receiveResponse, c.receiveResponse,
		c.requestChunk, c.requestChunk, c.requestChunk,
		c.receiveChunk, c.receiveChunk, c.receiveChunk,
		c.clearCache,
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
		return fmt.Errorf("the base value was never committed")
	}
	return nil
}

func (c *replicaSimulation) checkConfirmedAt(tables *Tables) error {
	if tables.ConfirmedAt.After(c.clock) {
		return fmt.Errorf("ConfirmedAt is in the future")
	}
	for i, at := range c.commitTimes {
		if !c.sentStale && at.Before(tables.ConfirmedAt) && tables.Index < int64(i)+1 {
			return fmt.Errorf("confirmed at %v with index %d, index %d was committed before", tables.ConfirmedAt, tables.Index, i+1)
		}
	}
	return nil
}

// converge brings all sources up to date, after which the replica must reach the newest index.
func (c *replicaSimulation) converge() error {
	for _, source := range c.sources {
		source.commitIndex = int64(len(c.log.entries))
	}
	source := c.sources[1]
	for range 40 {
		before := c.replica.tables
		request := c.replica.nextRequest()
		if _, err := c.replica.handleResponse(c.clock, &request, source.respond(&c.log, &request, true)); err != nil {
			return err
		}
		for c.replica.download != nil && !c.replica.download.abandoned {
			c.replica.download.pending = nil // their requests were lost
			download := c.replica.download
			span, ok := download.nextRange()
			if !ok {
				return fmt.Errorf("no range left to request with %d of %d bytes", len(download.data), download.ref.Size)
			}
			chunk := source.values.Chunk(&ChunkRequest{Digest: download.ref.Digest, Offset: span.offset, Length: span.length})
			if !download.handleChunk(span, chunk) && download.failures >= 6 {
				c.replica.abandonDownload()
			} else if download.complete() {
				_ = c.replica.finishDownload()
			}
		}
		if err := c.check(before); err != nil {
			return err
		}
		if c.replica.tables.Index == source.commitIndex {
			return nil
		}
	}
	return fmt.Errorf("replica does not advance beyond index %d of %d", c.replica.tables.Index, source.commitIndex)
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

const maxFaultSimulations = 1000 // at most, until the fault is found

var simulations = flag.Uint64("courses", 100, "random simulations of a replica")

func TestReplicaInvariantsInRandomSimulations(t *testing.T) {
	for seed := range *simulations {
		if err := newReplicaSimulation(t, seed, noFault).run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// The simulations must find each planted fault; without one, the same simulations pass.
func TestReplicaSimulationFindsPlantedFaults(t *testing.T) {
	for _, fault := range []replicaFault{indexGoesBack, noDigest, mixedChunks, staleAccepted, gapOverlooked, confirmedEarly} {
		t.Run(string(fault), func(t *testing.T) {
			for seed := range uint64(maxFaultSimulations) {
				if err := newReplicaSimulation(t, seed, fault).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("planted fault not found in %d simulations", maxFaultSimulations)
		})
	}
}
