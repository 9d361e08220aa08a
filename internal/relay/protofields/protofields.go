// Package protofields decodes messages in the Protocol Buffers wire format field by field, for formats that
// have no generated code.
package protofields

import "google.golang.org/protobuf/encoding/protowire"

// Field is the value of a field. Values of types other than varint, fixed64 and bytes are not decoded.
type Field struct {
	Type   protowire.Type
	Number uint64 // value of a varint or fixed64 field
	Bytes  []byte // value of a bytes field; it aliases the message
}

// Signed returns the value of a varint field with zigzag encoding, as of type sint64.
func (f Field) Signed() int64 { return protowire.DecodeZigZag(f.Number) }

// Each calls handle for each field of a message, in the order of the encoding. It returns the first error of
// handle, or an error if the message is malformed; handle has been called for the fields before that.
func Each(data []byte, handle func(n protowire.Number, f Field) error) error {
	for len(data) > 0 {
		number, wireType, size := protowire.ConsumeTag(data)
		if size < 0 {
			return protowire.ParseError(size)
		}
		data = data[size:]
		field := Field{Type: wireType}
		switch wireType {
		case protowire.VarintType:
			field.Number, size = protowire.ConsumeVarint(data)
		case protowire.Fixed64Type:
			field.Number, size = protowire.ConsumeFixed64(data)
		case protowire.BytesType:
			field.Bytes, size = protowire.ConsumeBytes(data)
		default:
			size = protowire.ConsumeFieldValue(number, wireType, data)
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		data = data[size:]
		if err := handle(number, field); err != nil {
			return err
		}
	}
	return nil
}
