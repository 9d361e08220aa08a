package chain

import (
	"bytes"
	"testing"
)

func TestLargeEntryIsSentInChunks(t *testing.T) {
	entries := []Entry{{1, "small", []byte("v")}, {2, "large", largeValue(1, 3)}, {3, "none", nil}}
	var in receiveStream
	stream := newSendStream(Ack{})
	updates := drain(stream, entries, 3)
	if len(updates) != 4 {
		t.Fatal(len(updates), "updates")
	}
	for i, u := range updates {
		size := 0
		for _, f := range u.Fragments {
			size += len(f.Data)
		}
		if size > ChunkSize || u.Complete != (i == 3) {
			t.Error("update", i, "of", size, u.Complete)
		}
		if !in.handleUpdate(u) || in.position() != stream.inFlight[i].after {
			t.Error("update", i, "rejected, or the position differs", in.position())
		}
	}
	if len(in.entries) != 3 || in.lastIndex != 3 || in.partial != nil {
		t.Fatal("received", len(in.entries), in.lastIndex)
	}
	for i, e := range in.entries {
		if e.Index != entries[i].Index || e.Key != entries[i].Key || !bytes.Equal(e.Value, entries[i].Value) {
			t.Error("entry", i, "differs")
		}
	}
}

func TestWindowBoundsBytesInFlight(t *testing.T) {
	entries := []Entry{{1, "large", largeValue(1, 20)}}
	stream := newSendStream(Ack{})
	updates := drain(stream, entries, 1)
	if stream.inFlightBytes < windowSize || stream.inFlightBytes > windowSize+ChunkSize+fragmentCost {
		t.Error("bytes in flight:", stream.inFlightBytes)
	}
	var in receiveStream
	in.handleUpdate(updates[0])
	stream.handleAck(1, Ack{Received: in.position()}, -1)
	if more := drain(stream, entries, 1); len(more) != 1 {
		t.Error("one chunk was acknowledged, but", len(more), "were sent")
	}
}

func TestSmallEntriesFillWindow(t *testing.T) {
	var entries []Entry
	for index := range int64(20_000) {
		entries = append(entries, Entry{Index: index + 1, Key: "k"})
	}
	stream := newSendStream(Ack{})
	updates := drain(stream, entries, 20_000)
	if stream.inFlightBytes > windowSize+ChunkSize+fragmentCost || len(updates) > 1+windowSize/ChunkSize || updates[0].Complete {
		t.Error("in flight:", stream.inFlightBytes, len(updates))
	}
}

func TestResendBacksOffExponentially(t *testing.T) {
	entries := []Entry{{1, "k", []byte("v")}}
	stream := newSendStream(Ack{})
	drain(stream, entries, 1)
	stream.resend() // counts as progress because of the first acknowledgement
	var sentAt []int
	for call := 1; call <= 64; call++ {
		stream.resend()
		if len(drain(stream, entries, 1)) > 0 {
			sentAt = append(sentAt, call)
		}
	}
	for i, at := range []int{1, 3, 7, 15, 31, 47, 63} { // after 1 call, then at intervals of 2, 4, 8 and 16 calls
		if i >= len(sentAt) || sentAt[i] != at {
			t.Fatal("retransmitted at calls", sentAt)
		}
	}
	stream.handleAck(1, Ack{Received: Position{LastIndex: 1}}, -1)
	stream.resend()
	if stream.backoff != 1 {
		t.Error("progress does not reset the backoff")
	}
}

// Guards against a backoff that grows while a stream is idle: backoff is for slow links, and a loss after an idle time must be
// retransmitted at the first call of resend.
func TestIdleStreamDoesNotBackOff(t *testing.T) {
	entries := []Entry{{1, "k", []byte("v")}}
	stream := newSendStream(Ack{})
	drain(stream, entries, 1)
	stream.handleAck(1, Ack{Received: Position{LastIndex: 1}}, 1)
	for range 100 {
		stream.resend()
	}
	entries = append(entries, Entry{2, "k", []byte("w")})
	if n := len(drain(stream, entries, 2)); n != 1 {
		t.Fatal(n, "updates")
	}
	stream.resend() // the update is lost
	if n := len(drain(stream, entries, 2)); n != 1 {
		t.Errorf("%d retransmissions after one call, backoff %d", n, stream.backoff)
	}
}

// Guards against a transfer whose last update is lost: all entries are acknowledged, but the receiver has not applied them.
func TestLostEndOfTransferIsResent(t *testing.T) {
	entries := []Entry{{1, "k", []byte("v")}}
	stream := newSendStream(Ack{})
	drain(stream, entries, 1)
	stream.handleAck(1, Ack{Received: Position{LastIndex: 1}}, -1)
	sent := 0
	for range 4 {
		stream.resend()
		sent += len(drain(stream, entries, 1))
	}
	if sent == 0 {
		t.Error("the end of the transfer was not retransmitted")
	}
}

func TestAckAheadOfSentPositionSkipsEntries(t *testing.T) {
	entries := []Entry{{1, "k", nil}, {2, "large", largeValue(1, 4)}, {3, "l", nil}}
	stream := newSendStream(Ack{})
	stream.nextUpdate(entries, 3)
	stream.handleAck(1, Ack{Received: Position{LastIndex: 2}}, -1) // an update sent before a rewind was received
	updates := drain(stream, entries, 3)
	if len(updates) != 1 || updates[0].After != (Position{LastIndex: 2}) || updates[0].Fragments[0].Index != 3 {
		t.Error("sent", updates)
	}
}

func TestAckOfEarlierIncarnationIsIgnored(t *testing.T) {
	entries := []Entry{{1, "k", nil}, {2, "l", nil}}
	stream := new(sendStream)
	stream.handleAck(7, Ack{Commit: 1, Received: Position{LastIndex: 1}}, -1)
	before := *stream
	stream.handleAck(6, Ack{Commit: 0, Received: Position{}}, 2)
	if stream.acknowledged != before.acknowledged || stream.incarnation != 7 || stream.completeThrough != -1 {
		t.Error("handled", stream.acknowledged, stream.completeThrough)
	}
	drain(stream, entries, 2)
	stream.handleAck(8, Ack{Commit: 1, Received: Position{LastIndex: 1}}, -1)
	if stream.incarnation != 8 || stream.inFlightBytes != 0 || len(drain(stream, entries, 2)) == 0 {
		t.Error("nothing was sent to a restarted receiver")
	}
}

func TestNewBaseRestartsTransferAtOnce(t *testing.T) {
	entries := []Entry{{1, "k", nil}, {2, "l", nil}, {3, "m", nil}}
	stream := newSendStream(Ack{})
	drain(stream, entries, 3)
	stream.handleAck(1, Ack{Commit: 1, Received: Position{LastIndex: 1}}, -1)
	u, ok := stream.nextUpdate(entries, 3)
	if !ok || u.Base != 1 || u.After != (Position{LastIndex: 1}) || u.Fragments[0].Index != 2 {
		t.Error("sent", ok, u)
	}
}

func TestNothingIsSentBeforeFirstAck(t *testing.T) {
	o := new(sendStream)
	if _, some := o.nextUpdate([]Entry{{1, "k", nil}}, 1); some {
		t.Error("sent")
	}
	o.resend()
}

func TestReceiverRestartInsideEntry(t *testing.T) {
	entries := []Entry{{1, "large", largeValue(1, 4)}}
	stream := newSendStream(Ack{})
	var in receiveStream
	for range 2 {
		u, _ := stream.nextUpdate(entries, 1)
		in.handleUpdate(u)
		stream.handleAck(1, Ack{Received: in.position()}, -1)
	}
	in = receiveStream{}
	stream.handleAck(2, Ack{Received: in.position()}, -1)
	for _, u := range drain(stream, entries, 1) {
		in.handleUpdate(u)
	}
	if len(in.entries) != 1 || !bytes.Equal(in.entries[0].Value, entries[0].Value) {
		t.Error("entry not received")
	}
}

func TestSenderRestartResumesInsideEntry(t *testing.T) {
	entries := []Entry{{1, "large", largeValue(1, 4)}}
	var in receiveStream
	u, _ := newSendStream(Ack{}).nextUpdate(entries, 1)
	in.handleUpdate(u)
	updates := drain(newSendStream(Ack{Received: in.position()}), entries, 1)
	if updates[0].Fragments[0].Offset != ChunkSize {
		t.Error("the transfer resumed at offset", updates[0].Fragments[0].Offset)
	}
	for _, u := range updates {
		in.handleUpdate(u)
	}
	if len(in.entries) != 1 || !bytes.Equal(in.entries[0].Value, entries[0].Value) {
		t.Error("entry not received")
	}
}

func TestEntryCompactedDuringTransferIsSentCompletely(t *testing.T) {
	before := []Entry{{1, "large", largeValue(1, 3)}}
	after := []Entry{{2, "large", []byte("newer")}}
	stream := newSendStream(Ack{})
	var in receiveStream
	u, _ := stream.nextUpdate(before, 1)
	in.handleUpdate(u)
	for _, u := range drain(stream, after, 2) {
		if !in.handleUpdate(u) {
			t.Fatal("rejected")
		}
	}
	if len(in.entries) != 2 || !bytes.Equal(in.entries[0].Value, before[0].Value) || string(in.entries[1].Value) != "newer" {
		t.Error("received", len(in.entries))
	}
}

// Guards against a transfer that stalls inside an entry: the receiver has the beginning of an entry that the sender has compacted
// away, and either its last chunk was lost or the sender was restarted.
func TestPartialEntryUnavailableAtSenderIsDropped(t *testing.T) {
	before := []Entry{{1, "large", largeValue(1, 3)}}
	for name, after := range map[string][]Entry{
		"replaced":                   {{2, "large", largeValue(2, 3)}},
		"replaced by an empty value": {{2, "large", nil}},
	} {
		for _, restarts := range []bool{false, true} {
			var in receiveStream
			stream := newSendStream(Ack{})
			for i, u := range drain(stream, before, 1) {
				if i < 2 {
					in.handleUpdate(u)
				}
			}
			if restarts {
				stream = newSendStream(Ack{Received: in.position()})
			}
			for range 40 {
				stream.handleAck(1, Ack{Received: in.position()}, -1)
				for _, u := range drain(stream, after, 2) {
					in.handleUpdate(u)
				}
				stream.resend()
			}
			if len(in.entries) != 1 || in.entries[0].Index != 2 || !bytes.Equal(in.entries[0].Value, after[0].Value) {
				t.Errorf("%s, sender restarts %v: received %d entries, at %v", name, restarts, len(in.entries), in.position())
			}
		}
	}
}
