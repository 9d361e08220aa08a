package eventstream

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// dataField begins a line with data.
const dataField = "data:"

// Parser parses an event stream in pieces of any size. It counts the events with data, and keeps nothing of them but the output, if
// that is asked for.
type Parser struct {
	limits     Limits
	keepOutput bool
	parserState
	output buffer // data of the complete events, each followed by a line feed, and of the incomplete one
}

// parserState is where a Parser is in its stream.
type parserState struct {
	count     int  // complete events with data
	committed int  // bytes of the output of complete events
	since     int  // bytes behind the last complete event with data
	hasData   bool // the incomplete event has a data field
	inEvent   bool // an event has begun

	// Of the incomplete line.
	length    int  // bytes, without a carriage return that may end it
	matched   int  // bytes of dataField that it begins with
	isData    bool // it has dataField and perhaps a part of the value
	hasValue  bool // some byte of the value came, of which a first space does not count
	heldCR    bool // the last byte was a carriage return
	isNoField bool // it does not begin with dataField
}

// NewParser returns a parser that keeps the output of the stream if keepOutput is set.
func NewParser(keepOutput bool, limits Limits) *Parser {
	return &Parser{keepOutput: keepOutput, limits: limits, output: buffer{memory: limits.Memory}}
}

// Count returns the number of complete events with data.
func (p *Parser) Count() int { return p.count }

// InEvent reports whether some bytes of an incomplete event came.
func (p *Parser) InEvent() bool { return p.inEvent || p.length > 0 || p.heldCR }

// Output returns the data of the complete events, each followed by a line feed; nil unless the parser keeps it.
func (p *Parser) Output() []byte {
	if !p.keepOutput {
		return nil
	}
	return p.output.bytes[:p.committed]
}

// Write parses the next bytes of the stream. After an error, which is one of the bounds of a stream or of the memory, none of them count.
func (p *Parser) Write(b []byte) error {
	before, length := p.parserState, len(p.output.bytes)
	err := p.write(b)
	if err != nil {
		p.parserState, p.output.bytes = before, p.output.bytes[:length]
	}
	return err
}

func (p *Parser) write(b []byte) error {
	for len(b) > 0 {
		line, rest, complete := bytes.Cut(b, []byte("\n"))
		p.since += len(b) - len(rest)
		if b = rest; p.since > MaxEventBytes {
			return errors.Wrapf(ErrEventTooLong, "%d bytes", p.since)
		}
		if err := p.addToLine(line); err != nil {
			return err
		}
		if complete {
			if err := p.endLine(); err != nil {
				return err
			}
		}
	}
	return nil
}

// addToLine adds bytes without a line feed to the line. A carriage return at their end is held, as it may belong to the line's end.
func (p *Parser) addToLine(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if p.heldCR {
		p.heldCR = false
		if err := p.addToField([]byte("\r")); err != nil {
			return err
		}
	}
	if trimmed, ok := bytes.CutSuffix(b, []byte("\r")); ok {
		p.heldCR, b = true, trimmed
	}
	return p.addToField(b)
}

// addToField adds bytes of the line to the field that it has.
func (p *Parser) addToField(b []byte) error {
	p.length += len(b)
	for len(b) > 0 && !p.isData && !p.isNoField {
		if p.isNoField = b[0] != dataField[p.matched]; !p.isNoField {
			p.matched++
			b = b[1:]
		}
		if p.matched == len(dataField) {
			if err := p.beginData(); err != nil {
				return err
			}
		}
	}
	if !p.isData || len(b) == 0 {
		return nil
	}
	if !p.hasValue && b[0] == ' ' {
		b = b[1:]
	}
	p.hasValue = true
	return p.keep(b)
}

// beginData begins the value of a data field.
func (p *Parser) beginData() error {
	p.isData = true
	if !p.hasData {
		p.hasData = true
		return nil
	}
	return p.keep([]byte("\n"))
}

// keep keeps bytes of the output.
func (p *Parser) keep(b []byte) error {
	if !p.keepOutput {
		return nil
	}
	if most := p.limits.MaxOutput; most > 0 && len(p.output.bytes)+len(b) > most {
		return errors.Wrapf(ErrOutputTooLong, "more than %d bytes", most)
	}
	return p.output.append(b...)
}

// endLine ends a line, and with an empty line the event.
func (p *Parser) endLine() error {
	isEmpty := p.length == 0
	if p.length == len(dataField)-1 && p.matched == p.length { // the field's name without a value
		if err := p.beginData(); err != nil {
			return err
		}
	}
	p.length, p.matched, p.isData, p.hasValue, p.heldCR, p.isNoField = 0, 0, false, false, false, false
	if p.inEvent = !isEmpty; isEmpty {
		return p.endEvent()
	}
	return nil
}

// endEvent counts the event that has begun, if it has data.
func (p *Parser) endEvent() error {
	if !p.hasData {
		return nil
	}
	if most := p.limits.MaxEvents; most > 0 && p.count >= most {
		return errors.Wrapf(ErrTooManyEvents, "more than %d", most)
	}
	if err := p.keep([]byte("\n")); err != nil {
		return err
	}
	p.count++
	p.committed, p.since, p.hasData = len(p.output.bytes), 0, false
	return nil
}

// Finish processes the end of the stream, which ends a line and an event. Its errors are those of Write.
func (p *Parser) Finish() error {
	if p.length > 0 || p.heldCR {
		if err := p.endLine(); err != nil {
			return err
		}
	}
	p.inEvent = false
	return p.endEvent()
}
