package proxy

import (
	"bytes"
)

// eventParser counts the eventParser of a stream and keeps their data.
type eventParser struct {
	line       []byte // that has begun
	data       []byte // of the event that has begun
	hasData    bool   // it has data
	inEvent    bool   // it has begun
	count      int
	output     []byte
	keepOutput bool
}

func (e *eventParser) write(b []byte) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			e.line = append(e.line, b...)
			return
		}
		line := b[:i]
		if len(e.line) > 0 {
			e.line = append(e.line, line...)
			line = e.line
		}
		e.processLine(bytes.TrimSuffix(line, []byte("\r")))
		e.line = e.line[:0]
		b = b[i+1:]
	}
}

func (e *eventParser) processLine(line []byte) {
	if len(line) == 0 {
		e.endEvent()
		e.inEvent = false
		return
	}
	e.inEvent = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return
	}
	if e.hasData {
		e.data = append(e.data, '\n')
	}
	e.hasData = true
	e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
}

// endEvent ends the event that has begun.
func (e *eventParser) endEvent() {
	if !e.hasData {
		return
	}
	if e.count++; e.keepOutput {
		e.output = append(append(e.output, e.data...), '\n')
	}
	e.data, e.hasData = e.data[:0], false
}

// finish takes in the finish of the stream.
func (e *eventParser) finish() {
	if len(e.line) > 0 {
		e.processLine(bytes.TrimSuffix(e.line, []byte("\r")))
		e.line = e.line[:0]
	}
	e.endEvent()
	e.inEvent = false
}
