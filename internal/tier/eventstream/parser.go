package eventstream

import "bytes"

// Parser parses an event stream in pieces of any size. It counts the events with data.
type Parser struct {
	line       []byte // incomplete line
	data       []byte // of the incomplete event
	hasData    bool   // the incomplete event has a data field
	inEvent    bool   // an event has begun
	count      int    // complete events with data
	output     []byte // data of the complete events, each followed by a line feed; if keepOutput
	keepOutput bool
}

// NewParser returns a parser that keeps the output of the stream if keepOutput is set.
func NewParser(keepOutput bool) *Parser { return &Parser{keepOutput: keepOutput} }

// Count returns the number of complete events with data.
func (p *Parser) Count() int { return p.count }

// InEvent reports whether some bytes of an incomplete event came.
func (p *Parser) InEvent() bool { return p.inEvent || len(p.line) > 0 }

// Output returns the data of the complete events, each followed by a line feed; nil unless the parser keeps it.
func (p *Parser) Output() []byte { return p.output }

// Write parses the next bytes of the stream.
func (p *Parser) Write(b []byte) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			p.line = append(p.line, b...)
			return
		}
		line := b[:i]
		if len(p.line) > 0 {
			p.line = append(p.line, line...)
			line = p.line
		}
		p.processLine(bytes.TrimSuffix(line, []byte("\r")))
		p.line = p.line[:0]
		b = b[i+1:]
	}
}

// processLine processes a complete line without its end.
func (p *Parser) processLine(line []byte) {
	if len(line) == 0 {
		p.endEvent()
		p.inEvent = false
		return
	}
	p.inEvent = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return
	}
	if p.hasData {
		p.data = append(p.data, '\n')
	}
	p.hasData = true
	p.data = append(p.data, bytes.TrimPrefix(value, []byte(" "))...)
}

// endEvent counts the event that has begun, if it has data.
func (p *Parser) endEvent() {
	if !p.hasData {
		return
	}
	if p.count++; p.keepOutput {
		p.output = append(append(p.output, p.data...), '\n')
	}
	p.data, p.hasData = p.data[:0], false
}

// Finish processes the end of the stream, which ends a line and an event.
func (p *Parser) Finish() {
	if len(p.line) > 0 {
		p.processLine(bytes.TrimSuffix(p.line, []byte("\r")))
		p.line = p.line[:0]
	}
	p.endEvent()
	p.inEvent = false
}
