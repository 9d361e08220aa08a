package relay

import (
	"strings"

	"larchrouter/internal/relay/journal"
)

// endedMessages is a bounded memory of messages that have ended, oldest out first.
type endedMessages struct {
	capacity     int
	byID         map[string]endedMessage
	ring         []endedSlot
	next         int
	lastSequence uint64
}

// endedMessage is a message in the memory; endedSlot is its position in the ring. A slot whose sequence differs from that of
// its id is empty: the id was removed, and perhaps added again.
type (
	endedMessage struct {
		checksum uint32
		sequence uint64
	}
	endedSlot struct {
		id       string
		sequence uint64
	}
)

// has reports whether an id is remembered.
func (s *endedMessages) has(id string) bool { _, ok := s.byID[id]; return ok }

// matches reports whether the remembered message of the entry's id is the same message.
func (s *endedMessages) matches(e *journal.Entry) bool { return s.byID[e.ID].checksum == e.Checksum() }

// add remembers the message of an entry.
func (s *endedMessages) add(e *journal.Entry) {
	s.put(strings.Clone(e.ID), e.Checksum()) // a value from a header may retain the whole header
}

// isCurrent reports whether a slot still holds its id.
func (s *endedMessages) isCurrent(in endedSlot) bool {
	e, ok := s.byID[in.id]
	return ok && e.sequence == in.sequence
}

// each calls handle for all remembered messages, oldest first.
func (s *endedMessages) each(handle func(id string, sum uint32)) {
	for _, part := range [...][]endedSlot{s.ring[s.next:], s.ring[:s.next]} {
		for _, in := range part {
			if s.isCurrent(in) {
				handle(in.id, s.byID[in.id].checksum)
			}
		}
	}
}

// put remembers a message by its id and checksum.
func (s *endedMessages) put(id string, sum uint32) {
	if s.byID == nil {
		s.byID = map[string]endedMessage{}
	}
	if known, again := s.byID[id]; again {
		s.byID[id] = endedMessage{sum, known.sequence}
		return
	}
	s.lastSequence++
	s.byID[id] = endedMessage{sum, s.lastSequence}
	if len(s.ring) < s.capacity {
		s.ring = append(s.ring, endedSlot{id, s.lastSequence})
		return
	}
	if old := s.ring[s.next]; s.isCurrent(old) {
		delete(s.byID, old.id)
	}
	s.ring[s.next] = endedSlot{id, s.lastSequence}
	s.next = (s.next + 1) % len(s.ring)
}

// remove forgets a message.
func (s *endedMessages) remove(id string) { delete(s.byID, id) }
