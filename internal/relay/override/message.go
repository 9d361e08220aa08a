package override

import (
	"hash/fnv"

	"google.golang.org/protobuf/encoding/protowire"

	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/protofields"
)

// Version is the first byte of a message (internal/relay/gossip); a body in the wire format of Protocol Buffers
// follows.
const Version = 'V'

// message is what one relay gossips to another.
type message struct {
	incarnation       uint32  // of the sender
	heartbeat         uint64  // of the sender
	listDigest        uint64  // of the names of the fleet's relays, as the sender has them
	totalWeight       int     // of the relays in that list, without removed ones
	weight            int     // of the sender
	storeDigest       uint64  // combined digest of the sender's store
	wantsReply        bool    // the receiver is to answer at once with what it has
	bucketDigest      *Digest // sent where the digests differ
	heartbeats        []relayHeartbeat
	overrides         []Override
	observationDigest uint32
	observations      []Observation
	versions          []ActiveVersion
}

// ActiveVersion is the version, as a digest, of something that a relay acts on and that has a number
// (internal/relay/versionaudit).
type ActiveVersion struct {
	Kind    int
	Version uint32
}

// relayHeartbeat is another relay's heartbeat that the sender has heard of.
type relayHeartbeat struct {
	relay     int // number, in the order of the list
	heartbeat uint64
}

// Field numbers of a message. A number is never reused.
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

// listDigest identifies a list of names.
func listDigest(names []string) uint64 {
	h := fnv.New64a()
	for _, n := range names {
		h.Write([]byte(n))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// encode encodes the message with as many of its overrides, then of its observations, and then of its heartbeats
// as fit. It returns the numbers of overrides and observations that are included.
func (m message) encode() (data []byte, overrides, observations int) {
	b := m.encodeState()
	for _, o := range m.overrides {
		next := protowire.AppendBytes(protowire.AppendTag(b, messageOverride, protowire.BytesType), o.encode(nil))
		if len(next) > gossip.MaxUnsealedBytes {
			break
		}
		b, overrides = next, overrides+1
	}
	for _, o := range m.observations {
		next := protowire.AppendBytes(protowire.AppendTag(b, messageObservation, protowire.BytesType), o.encode(nil))
		if len(next) > gossip.MaxUnsealedBytes {
			break
		}
		b, observations = next, observations+1
	}
	var versions []byte
	for _, v := range m.versions {
		versions = protowire.AppendFixed32(protowire.AppendVarint(versions, uint64(v.Kind)), v.Version)
	}
	if len(versions) > 0 && len(b)+len(versions)+2 <= gossip.MaxUnsealedBytes {
		b = protowire.AppendBytes(protowire.AppendTag(b, messageVersions, protowire.BytesType), versions)
	}
	var heartbeats []byte
	for _, h := range m.heartbeats {
		next := protowire.AppendVarint(protowire.AppendVarint(heartbeats, uint64(h.relay)), h.heartbeat)
		if len(b)+len(next)+4 > gossip.MaxUnsealedBytes { // a tag and a length of two bytes
			break
		}
		heartbeats = next
	}
	if len(heartbeats) > 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, messageHeartbeats, protowire.BytesType), heartbeats)
	}
	return gossip.Seal(b), overrides, observations
}

// encodeState encodes the version and all but the lists, which are included as far as they fit.
func (m message) encodeState() []byte {
	number := func(b []byte, f protowire.Number, v uint64) []byte {
		return protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
	}
	fixed := func(b []byte, f protowire.Number, v uint64) []byte {
		return protowire.AppendFixed64(protowire.AppendTag(b, f, protowire.Fixed64Type), v)
	}
	b := number([]byte{Version}, messageHeartbeat, m.heartbeat)
	b = number(b, messageIncarnation, uint64(m.incarnation))
	b = fixed(b, messageListDigest, m.listDigest)
	b = number(number(b, messageTotalWeight, uint64(m.totalWeight)), messageWeight, uint64(m.weight))
	b = fixed(b, messageStoreDigest, m.storeDigest)
	if m.observationDigest != 0 {
		b = number(b, messageObservationDigest, uint64(m.observationDigest))
	}
	if m.wantsReply {
		b = number(b, messageWantsReply, 1)
	}
	if m.bucketDigest != nil {
		var digest []byte
		for _, bucket := range m.bucketDigest {
			digest = protowire.AppendFixed32(digest, bucket)
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, messageBucketDigest, protowire.BytesType), digest)
	}
	return b
}

// decode decodes a message. A damaged one is an error.
func decode(data []byte) (message, error) {
	body, err := gossip.Open(data, Version)
	if err != nil {
		return message{}, err
	}
	var m message
	if err := eachField(body, m.setField); err != nil {
		return message{}, err
	}
	return m, nil
}

// maxNumber caps numbers of relays and kinds, and weights, so that they fit into an int.
const maxNumber = 1 << 20

// setField sets the field of that number.
func (m *message) setField(number protowire.Number, f protofields.Field) (err error) {
	switch number {
	case messageHeartbeat:
		m.heartbeat = f.Number
	case messageIncarnation:
		m.incarnation = uint32(f.Number)
	case messageListDigest:
		m.listDigest = f.Number
	case messageTotalWeight:
		m.totalWeight = int(min(f.Number, maxNumber))
	case messageWeight:
		m.weight = int(min(f.Number, maxNumber))
	case messageStoreDigest:
		m.storeDigest = f.Number
	case messageWantsReply:
		m.wantsReply = f.Number == 1
	case messageObservationDigest:
		m.observationDigest = uint32(f.Number)
	case messageBucketDigest:
		m.bucketDigest, err = decodeDigest(f.Bytes)
	case messageHeartbeats:
		m.heartbeats, err = appendHeartbeats(m.heartbeats, f.Bytes)
	case messageVersions:
		m.versions, err = appendVersions(m.versions, f.Bytes)
	case messageObservation:
		var o Observation
		if o, err = decodeObservation(f.Bytes); err == nil {
			m.observations = append(m.observations, o)
		}
	case messageOverride:
		var o Override
		if o, err = decodeOverride(f.Bytes); err == nil {
			m.overrides = append(m.overrides, o)
		}
	}
	return err
}

// decodeDigest decodes the digests of all buckets.
func decodeDigest(data []byte) (*Digest, error) {
	digest := new(Digest)
	for i := range digest {
		v, size := protowire.ConsumeFixed32(data)
		if size < 0 {
			return nil, errMalformed
		}
		digest[i], data = v, data[size:]
	}
	return digest, nil
}

// appendHeartbeats decodes pairs of a relay and its heartbeat.
func appendHeartbeats(all []relayHeartbeat, data []byte) ([]relayHeartbeat, error) {
	for len(data) > 0 {
		relay, size := protowire.ConsumeVarint(data)
		if size < 0 {
			return nil, errMalformed
		}
		heartbeat, more := protowire.ConsumeVarint(data[size:])
		if more < 0 {
			return nil, errMalformed
		}
		all, data = append(all, relayHeartbeat{int(min(relay, maxNumber)), heartbeat}), data[size+more:]
	}
	return all, nil
}

// appendVersions decodes pairs of a kind and a version.
func appendVersions(all []ActiveVersion, data []byte) ([]ActiveVersion, error) {
	for len(data) > 0 {
		kind, size := protowire.ConsumeVarint(data)
		if size < 0 {
			return nil, errMalformed
		}
		version, more := protowire.ConsumeFixed32(data[size:])
		if more < 0 {
			return nil, errMalformed
		}
		all, data = append(all, ActiveVersion{int(min(kind, maxNumber)), version}), data[size+more:]
	}
	return all, nil
}
