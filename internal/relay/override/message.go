package override

import (
	"hash/fnv"

	"google.golang.org/protobuf/encoding/protowire"

	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/protofields"
)

// Version is the first byte of a note (internal/relay/gossip); a message in the wire format of Protocol Buffers follows.
const Version = 'V'

// message is what one relay tells another.
type message struct {
	incarnation       uint32 // of its sender
	heartbeat         uint64 // of its sender
	listDigest        uint64 // stands for the names of the fleet's relays, as its sender has them
	totalWeight       int    // the sum of their weights, without those that are gone
	weight            int    // the sender's
	storeDigest       uint64
	wantsReply        bool    // the receiver is to say at once what it has
	bucketDigest      *Digest // sent where digests differ
	heartbeats        []relayHeartbeat
	overrides         []Override
	observationDigest uint32 // digest of the sights
	observations      []Observation
	versions          []ActiveVersion
}

// ActiveVersion is what a relay acts on: a version, as a digest, of something that has a number (internal/relay/versionaudit).
type ActiveVersion struct {
	Kind    int
	Version uint32
}

// relayHeartbeat is a relay's beat that the sender has relayHeartbeat of.
type relayHeartbeat struct {
	relay     int // in the order of the list
	heartbeat uint64
}

// The numbers of a note's fields. A number is never used anew.
const (
	messageHeartbeat protowire.Number = iota + 1
	messageListDigest
	messageTotalWeight
	messageStoreDigest
	messageWantsReply
	messageBucketDigest
	messageHeartbeats
	messageOverride
	messageObservationDigest
	messageObservation
	messageWeight
	messageVersions
	messageIncarnation
)

// listDigest stands for a list of names.
func listDigest(names []string) uint64 {
	h := fnv.New64a()
	for _, n := range names {
		h.Write([]byte(n))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// encode writes a note: as many of its words, then of its sights, and then of the beats heard, as there is room for. It returns
// how many words and sights are in it.
func (n message) encode() (data []byte, words, sights int) {
	number := func(b []byte, f protowire.Number, v uint64) []byte {
		return protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
	}
	fixed := func(b []byte, f protowire.Number, v uint64) []byte {
		return protowire.AppendFixed64(protowire.AppendTag(b, f, protowire.Fixed64Type), v)
	}
	b := number([]byte{Version}, messageHeartbeat, n.heartbeat)
	b = number(b, messageIncarnation, uint64(n.incarnation))
	b = fixed(b, messageListDigest, n.listDigest)
	b = number(number(b, messageTotalWeight, uint64(n.totalWeight)), messageWeight, uint64(n.weight))
	b = fixed(b, messageStoreDigest, n.storeDigest)
	if n.observationDigest != 0 {
		b = number(b, messageObservationDigest, uint64(n.observationDigest))
	}
	if n.wantsReply {
		b = number(b, messageWantsReply, 1)
	}
	if n.bucketDigest != nil {
		var d []byte
		for _, x := range n.bucketDigest {
			d = protowire.AppendFixed32(d, x)
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, messageBucketDigest, protowire.BytesType), d)
	}
	for _, w := range n.overrides {
		next := protowire.AppendBytes(protowire.AppendTag(b, messageOverride, protowire.BytesType), w.encode(nil))
		if len(next) > gossip.MaxUnsealedBytes {
			break
		}
		b, words = next, words+1
	}
	for _, s := range n.observations {
		next := protowire.AppendBytes(protowire.AppendTag(b, messageObservation, protowire.BytesType), s.encode(nil))
		if len(next) > gossip.MaxUnsealedBytes {
			break
		}
		b, sights = next, sights+1
	}
	var acts []byte
	for _, a := range n.versions {
		acts = protowire.AppendFixed32(protowire.AppendVarint(acts, uint64(a.Kind)), a.Version)
	}
	if len(acts) > 0 && len(b)+len(acts)+2 <= gossip.MaxUnsealedBytes {
		b = protowire.AppendBytes(protowire.AppendTag(b, messageVersions, protowire.BytesType), acts)
	}
	var beats []byte
	for _, h := range n.heartbeats {
		next := protowire.AppendVarint(protowire.AppendVarint(beats, uint64(h.relay)), h.heartbeat)
		if len(b)+len(next)+4 > gossip.MaxUnsealedBytes { // a tag and a length of two bytes
			break
		}
		beats = next
	}
	if len(beats) > 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, messageHeartbeats, protowire.BytesType), beats)
	}
	return gossip.Seal(b), words, sights
}

// decode reads a note. One that is damaged in any way gives nothing.
func decode(data []byte) (message, error) {
	says, err := gossip.Open(data, Version)
	if err != nil {
		return message{}, err
	}
	var n message
	if err := eachField(says, n.setField); err != nil {
		return message{}, err
	}
	return n, nil
}

// setField takes in one field.
func (n *message) setField(number protowire.Number, f protofields.Field) error {
	switch number {
	case messageHeartbeat:
		n.heartbeat = f.Number
	case messageIncarnation:
		n.incarnation = uint32(f.Number)
	case messageListDigest:
		n.listDigest = f.Number
	case messageTotalWeight:
		n.totalWeight = int(min(f.Number, 1<<20))
	case messageWeight:
		n.weight = int(min(f.Number, 1<<20))
	case messageStoreDigest:
		n.storeDigest = f.Number
	case messageWantsReply:
		n.wantsReply = f.Number == 1
	case messageObservationDigest:
		n.observationDigest = uint32(f.Number)
	case messageBucketDigest:
		n.bucketDigest = new(Digest)
		for i := range n.bucketDigest {
			v, size := protowire.ConsumeFixed32(f.Bytes)
			if size < 0 {
				return errMalformed
			}
			n.bucketDigest[i], f.Bytes = v, f.Bytes[size:]
		}
	case messageHeartbeats:
		for len(f.Bytes) > 0 {
			relay, size := protowire.ConsumeVarint(f.Bytes)
			if size < 0 {
				return errMalformed
			}
			beat, more := protowire.ConsumeVarint(f.Bytes[size:])
			if more < 0 {
				return errMalformed
			}
			n.heartbeats, f.Bytes = append(n.heartbeats, relayHeartbeat{int(min(relay, 1<<20)), beat}), f.Bytes[size+more:]
		}
	case messageVersions:
		for len(f.Bytes) > 0 {
			kind, size := protowire.ConsumeVarint(f.Bytes)
			if size < 0 {
				return errMalformed
			}
			version, more := protowire.ConsumeFixed32(f.Bytes[size:])
			if more < 0 {
				return errMalformed
			}
			n.versions, f.Bytes = append(n.versions, ActiveVersion{int(min(kind, 1<<20)), version}), f.Bytes[size+more:]
		}
	case messageObservation:
		s, err := decodeObservation(f.Bytes)
		if err != nil {
			return err
		}
		n.observations = append(n.observations, s)
	case messageOverride:
		w, err := decodeOverride(f.Bytes)
		if err != nil {
			return err
		}
		n.overrides = append(n.overrides, w)
	}
	return nil
}
