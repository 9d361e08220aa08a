// Package protofields reads messages in the wire format of Protocol Buffers field by field, for formats whose messages are
// written by hand.
package protofields

import "google.golang.org/protobuf/encoding/protowire"

// Field is a field's value as it was read. Which of the two counts depends on its type; of other types than varint, fixed64
// and bytes none does.
type Field struct {
	Type   protowire.Type
	Number uint64
	Bytes  []byte
}

// Signed is the value of a field that was written in zigzag.
func (f Field) Signed() int64 { return protowire.DecodeZigZag(f.Number) }

// Each hands out the fields of a message. Damage is an error; it cannot make it read past the end.
func Each(data []byte, take func(n protowire.Number, f Field) error) error {
	for len(data) > 0 {
		n, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return protowire.ParseError(size)
		}
		data = data[size:]
		f := Field{Type: kind}
		switch kind {
		case protowire.VarintType:
			f.Number, size = protowire.ConsumeVarint(data)
		case protowire.Fixed64Type:
			f.Number, size = protowire.ConsumeFixed64(data)
		case protowire.BytesType:
			f.Bytes, size = protowire.ConsumeBytes(data)
		default:
			size = protowire.ConsumeFieldValue(n, kind, data)
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		data = data[size:]
		if err := take(n, f); err != nil {
			return err
		}
	}
	return nil
}
