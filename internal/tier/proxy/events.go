package proxy

import "bytes"

// eventParser parses an event stream (text/event-stream) in pieces of any size. It counts the events with data.
type eventParser struct {
	line       []byte // incomplete line
	data       []byte // of the incomplete event
	hasData    bool   // the incomplete event has a data field
	inEvent    bool   // an event has begun
	count      int    // complete events with data
	output     []byte // data of the complete events, each followed by a line feed; if keepOutput
	keepOutput bool
}

// write parses the next bytes of the stream.
func (p *eventParser) write(b []byte) {
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
func (p *eventParser) processLine(line []byte) {
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
func (p *eventParser) endEvent() {
	if !p.hasData {
		return
	}
	if p.count++; p.keepOutput {
		p.output = append(append(p.output, p.data...), '\n')
	}
	p.data, p.hasData = p.data[:0], false
}

// finish processes the end of the stream, which ends a line and an event.
func (p *eventParser) finish() {
	if len(p.line) > 0 {
		p.processLine(bytes.TrimSuffix(p.line, []byte("\r")))
		p.line = p.line[:0]
	}
	p.endEvent()
	p.inEvent = false
}
