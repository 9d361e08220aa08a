package override

import (
	"hash/fnv"

	"google.golang.org/protobuf/encoding/protowire"

	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/protofields"
)

// Version is the first byte of a note (internal/relay/gossip); a message in the wire format of Protocol Buffers follows.
const Version = 'V'

// note is what one relay tells another.
type note struct {
	life    uint32 // of its sender
	beat    uint64 // of its sender
	list    uint64 // stands for the names of the fleet's relays, as its sender has them
	total   int    // the sum of their weights, without those that are gone
	weight  int    // the sender's
	digest  uint64
	answers bool    // the receiver is to say at once what it has
	detail  *Digest // sent where digests differ
	heard   []heard
	words   []Word
	seen    uint32 // digest of the sights
	sights  []Sight
	acts    []Acts
}

// Acts is what a relay acts on: a version, as a digest, of something that has a number (internal/relay/versionaudit).
type Acts struct {
	Kind    int
	Version uint32
}

// heard is a relay's beat that the sender has heard of.
type heard struct {
	relay int // in the order of the list
	beat  uint64
}

// The numbers of a note's fields. A number is never used anew.
const (
	noteBeat protowire.Number = iota + 1
	noteList
	noteTotal
	noteDigest
	noteAnswers
	noteDetail
	noteHeard
	noteWord
	noteSeen
	noteSight
	noteWeight
	noteActs
	noteLife
)

// listOf stands for a list of names.
func listOf(names []string) uint64 {
	h := fnv.New64a()
	for _, n := range names {
		h.Write([]byte(n))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// encode writes a note: as many of its words, then of its sights, and then of the beats heard, as there is room for. It returns
// how many words and sights are in it.
func (n note) encode() (data []byte, words, sights int) {
	number := func(b []byte, f protowire.Number, v uint64) []byte {
		return protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
	}
	fixed := func(b []byte, f protowire.Number, v uint64) []byte {
		return protowire.AppendFixed64(protowire.AppendTag(b, f, protowire.Fixed64Type), v)
	}
	b := number([]byte{Version}, noteBeat, n.beat)
	b = number(b, noteLife, uint64(n.life))
	b = fixed(b, noteList, n.list)
	b = number(number(b, noteTotal, uint64(n.total)), noteWeight, uint64(n.weight))
	b = fixed(b, noteDigest, n.digest)
	if n.seen != 0 {
		b = number(b, noteSeen, uint64(n.seen))
	}
	if n.answers {
		b = number(b, noteAnswers, 1)
	}
	if n.detail != nil {
		var d []byte
		for _, x := range n.detail {
			d = protowire.AppendFixed32(d, x)
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, noteDetail, protowire.BytesType), d)
	}
	for _, w := range n.words {
		next := protowire.AppendBytes(protowire.AppendTag(b, noteWord, protowire.BytesType), w.encode(nil))
		if len(next) > gossip.Room {
			break
		}
		b, words = next, words+1
	}
	for _, s := range n.sights {
		next := protowire.AppendBytes(protowire.AppendTag(b, noteSight, protowire.BytesType), s.encode(nil))
		if len(next) > gossip.Room {
			break
		}
		b, sights = next, sights+1
	}
	var acts []byte
	for _, a := range n.acts {
		acts = protowire.AppendFixed32(protowire.AppendVarint(acts, uint64(a.Kind)), a.Version)
	}
	if len(acts) > 0 && len(b)+len(acts)+2 <= gossip.Room {
		b = protowire.AppendBytes(protowire.AppendTag(b, noteActs, protowire.BytesType), acts)
	}
	var beats []byte
	for _, h := range n.heard {
		next := protowire.AppendVarint(protowire.AppendVarint(beats, uint64(h.relay)), h.beat)
		if len(b)+len(next)+4 > gossip.Room { // a tag and a length of two bytes
			break
		}
		beats = next
	}
	if len(beats) > 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, noteHeard, protowire.BytesType), beats)
	}
	return gossip.Seal(b), words, sights
}

// decode reads a note. One that is damaged in any way gives nothing.
func decode(data []byte) (note, error) {
	says, err := gossip.Open(data, Version)
	if err != nil {
		return note{}, err
	}
	var n note
	if err := fields(says, n.take); err != nil {
		return note{}, err
	}
	return n, nil
}

// take takes in one field.
func (n *note) take(number protowire.Number, f protofields.Field) error {
	switch number {
	case noteBeat:
		n.beat = f.Number
	case noteLife:
		n.life = uint32(f.Number)
	case noteList:
		n.list = f.Number
	case noteTotal:
		n.total = int(min(f.Number, 1<<20))
	case noteWeight:
		n.weight = int(min(f.Number, 1<<20))
	case noteDigest:
		n.digest = f.Number
	case noteAnswers:
		n.answers = f.Number == 1
	case noteSeen:
		n.seen = uint32(f.Number)
	case noteDetail:
		n.detail = new(Digest)
		for i := range n.detail {
			v, size := protowire.ConsumeFixed32(f.Bytes)
			if size < 0 {
				return errNote
			}
			n.detail[i], f.Bytes = v, f.Bytes[size:]
		}
	case noteHeard:
		for len(f.Bytes) > 0 {
			relay, size := protowire.ConsumeVarint(f.Bytes)
			if size < 0 {
				return errNote
			}
			beat, more := protowire.ConsumeVarint(f.Bytes[size:])
			if more < 0 {
				return errNote
			}
			n.heard, f.Bytes = append(n.heard, heard{int(min(relay, 1<<20)), beat}), f.Bytes[size+more:]
		}
	case noteActs:
		for len(f.Bytes) > 0 {
			kind, size := protowire.ConsumeVarint(f.Bytes)
			if size < 0 {
				return errNote
			}
			version, more := protowire.ConsumeFixed32(f.Bytes[size:])
			if more < 0 {
				return errNote
			}
			n.acts, f.Bytes = append(n.acts, Acts{int(min(kind, 1<<20)), version}), f.Bytes[size+more:]
		}
	case noteSight:
		s, err := decodeSight(f.Bytes)
		if err != nil {
			return err
		}
		n.sights = append(n.sights, s)
	case noteWord:
		w, err := decodeWord(f.Bytes)
		if err != nil {
			return err
		}
		n.words = append(n.words, w)
	}
	return nil
}
