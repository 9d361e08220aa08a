package journal

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"larchrouter/internal/relay/protofields"
)

// Field numbers of a record. A number is never reused.
const (
	recOp protowire.Number = iota + 1
	recID
	recEntry
	recAt
	recWait
	recZone
	recRan
	recStatus
	recAgain
	recBase
	recHost
	recWhy
	recSum
)

// encode appends the record in the wire format of Protocol Buffers. The order of the fields is part of the frozen format.
func (r *Record) encode(buf []byte) []byte {
	buf = putNumber(buf, recOp, opCodes[r.Op])
	buf = putText(buf, recID, r.ID)
	buf = putSigned(buf, recAt, r.At)
	buf = putSigned(buf, recWait, r.Wait)
	buf = putSigned(buf, recZone, int64(r.Zone))
	buf = putNumber(buf, recRan, bit(r.Ran))
	buf = putText(buf, recStatus, r.Status)
	buf = putSigned(buf, recAgain, r.Again)
	if r.Base != 0 {
		buf = protowire.AppendFixed64(protowire.AppendTag(buf, recBase, protowire.Fixed64Type), math.Float64bits(r.Base))
	}
	buf = putText(buf, recHost, r.Host)
	buf = putText(buf, recWhy, r.Why)
	buf = putNumber(buf, recSum, uint64(r.Sum))
	if r.Entry != nil {
		buf = putMessage(buf, recEntry, r.Entry.encode)
	}
	return buf
}

var errUnknownOp = errors.New("an operation that is not known")

// decode returns the record encoded in data; unknown fields are skipped. The result does not alias data.
func decode(data []byte) (r Record, err error) {
	err = protofields.Each(data, func(n protowire.Number, f protofields.Field) error {
		switch n {
		case recOp:
			if f.Number == 0 || f.Number >= uint64(len(ops)) {
				return errUnknownOp
			}
			r.Op = ops[f.Number]
		case recID:
			r.ID = string(f.Bytes)
		case recEntry:
			r.Entry = new(Entry)
			return r.Entry.decode(f.Bytes)
		case recAt:
			r.At = f.Signed()
		case recWait:
			r.Wait = f.Signed()
		case recZone:
			r.Zone = int(f.Signed())
		case recRan:
			r.Ran = f.Number != 0
		case recStatus:
			r.Status = string(f.Bytes)
		case recAgain:
			r.Again = f.Signed()
		case recBase:
			r.Base = math.Float64frombits(f.Number)
		case recHost:
			r.Host = string(f.Bytes)
		case recWhy:
			r.Why = string(f.Bytes)
		case recSum:
			r.Sum = uint32(f.Number)
		}
		return nil
	})
	switch {
	case err != nil:
	case r.Op == "":
		err = errUnknownOp
	case (r.Op == OpTaken || r.Op == opRewritten) && r.Entry == nil:
		err = fmt.Errorf("a record %q without a message", r.Op)
	}
	return r, err
}

// Field numbers of an entry. A number is never reused.
const (
	entID protowire.Number = iota + 1
	entClass
	entDest
	entKey
	entEffect
	entDue
	entBody
	entTries
	entWait
	entRan
	entRanAt
	entZone
	entOut
	entOutAt
	entOutTo
	entStatus
	entAgain
	entPartner
	entTakenAt
	entEndAt
	entWhy
	entSum
	entBytes
	entAttempt
	entNumber
	entOrder
)

// encode appends the entry, its body last.
func (e *Entry) encode(buf []byte) []byte {
	buf = putText(buf, entID, e.ID)
	buf = putText(buf, entClass, e.Class)
	buf = putSigned(buf, entDest, int64(e.Dest))
	buf = putText(buf, entKey, e.Key)
	buf = putText(buf, entOrder, e.Order)
	buf = putSigned(buf, entEffect, int64(e.Effect))
	buf = putSigned(buf, entDue, e.Due)
	buf = putSigned(buf, entTries, int64(e.Tries))
	buf = putSigned(buf, entWait, e.Wait)
	buf = putNumber(buf, entRan, bit(e.Ran))
	buf = putSigned(buf, entRanAt, e.RanAt)
	buf = putSigned(buf, entZone, int64(e.Zone))
	buf = putNumber(buf, entOut, bit(e.Out))
	buf = putSigned(buf, entOutAt, e.OutAt)
	buf = putSigned(buf, entOutTo, int64(e.OutTo))
	buf = putText(buf, entStatus, e.Status)
	buf = putSigned(buf, entAgain, e.Again)
	buf = putText(buf, entPartner, e.Partner)
	buf = putSigned(buf, entTakenAt, e.TakenAt)
	buf = putSigned(buf, entEndAt, e.EndAt)
	buf = putText(buf, entWhy, e.Why)
	buf = putNumber(buf, entSum, uint64(e.Sum))
	buf = putSigned(buf, entBytes, int64(e.Bytes))
	buf = putNumber(buf, entNumber, e.acceptedSeq)
	for i := range e.Log {
		buf = putMessage(buf, entAttempt, e.Log[i].encode)
	}
	return putBytes(buf, entBody, e.Body)
}

// decode sets the entry from its encoding; unknown fields are skipped.
func (e *Entry) decode(data []byte) error {
	return protofields.Each(data, func(n protowire.Number, f protofields.Field) error {
		switch n {
		case entID:
			e.ID = string(f.Bytes)
		case entClass:
			e.Class = string(f.Bytes)
		case entDest:
			e.Dest = int(f.Signed())
		case entKey:
			e.Key = string(f.Bytes)
		case entOrder:
			e.Order = string(f.Bytes)
		case entEffect:
			e.Effect = int(f.Signed())
		case entDue:
			e.Due = f.Signed()
		case entBody:
			e.Body = append([]byte(nil), f.Bytes...)
		case entTries:
			e.Tries = int(f.Signed())
		case entWait:
			e.Wait = f.Signed()
		case entRan:
			e.Ran = f.Number != 0
		case entRanAt:
			e.RanAt = f.Signed()
		case entZone:
			e.Zone = int(f.Signed())
		case entOut:
			e.Out = f.Number != 0
		case entOutAt:
			e.OutAt = f.Signed()
		case entOutTo:
			e.OutTo = int(f.Signed())
		case entStatus:
			e.Status = string(f.Bytes)
		case entAgain:
			e.Again = f.Signed()
		case entPartner:
			e.Partner = string(f.Bytes)
		case entTakenAt:
			e.TakenAt = f.Signed()
		case entEndAt:
			e.EndAt = f.Signed()
		case entWhy:
			e.Why = string(f.Bytes)
		case entSum:
			e.Sum = uint32(f.Number)
		case entBytes:
			e.Bytes = int(f.Signed())
		case entNumber:
			e.acceptedSeq = f.Number
		case entAttempt:
			var a Attempt
			if err := a.decode(f.Bytes); err != nil {
				return err
			}
			e.Log = append(e.Log, a)
		}
		return nil
	})
}

// Field numbers of an attempt. A number is never reused.
const (
	attHost protowire.Number = iota + 1
	attAt
	attTook
	attOutcome
	attRan
)

// encode appends the attempt.
func (a *Attempt) encode(buf []byte) []byte {
	buf = putText(buf, attHost, a.Host)
	buf = putSigned(buf, attAt, a.At)
	buf = putSigned(buf, attTook, a.Took)
	buf = putText(buf, attOutcome, a.Outcome)
	return putNumber(buf, attRan, bit(a.Ran))
}

// decode sets the attempt from its encoding; unknown fields are skipped.
func (a *Attempt) decode(data []byte) error {
	return protofields.Each(data, func(n protowire.Number, f protofields.Field) error {
		switch n {
		case attHost:
			a.Host = string(f.Bytes)
		case attAt:
			a.At = f.Signed()
		case attTook:
			a.Took = f.Signed()
		case attOutcome:
			a.Outcome = string(f.Bytes)
		case attRan:
			a.Ran = f.Number != 0
		}
		return nil
	})
}
