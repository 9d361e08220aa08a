// Package wire implements the simulator's line protocol: it translates the lines of a batch to events of
// package choice, runs the instances that have an event, and writes their actions as lines. It takes no
// decisions.
//
// A line is a name and fields NAME=VALUE, separated by tabs. A batch is a BATCH line with the clock, lines with
// events and catalogs of hosts, and a YOUR_TURN line; the response is the lines of the actions and DONE. Any
// malformed line ends Serve with an error that names the line and the field.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/engine"
	"larchrouter/internal/relay/settings"
)

// instance is one configured relay and its events of the current batch.
type instance struct {
	name     string
	engine   *engine.Core
	events   []choice.Event
	timerTag int  // tag of the timer that was armed last; others are ignored
	pending  bool // in session.pending
}

// session is the state of one connection to the simulator.
type session struct {
	input      *bufio.Reader
	output     *bufio.Writer
	lineNumber int
	fields     map[string]string // of the line that was read last
	catalogs   map[int][]choice.Host
	instances  map[string]*instance
	pending    []*instance // instances with an event in this batch, in the order of their first ones
}

// Serve responds to batches until the input ends. An input that ends within a batch is an error.
func Serve(r io.Reader, w io.Writer) error {
	s := &session{input: bufio.NewReaderSize(r, 1<<16), output: bufio.NewWriterSize(w, 1<<16),
		fields: map[string]string{}, catalogs: map[int][]choice.Host{}, instances: map[string]*instance{}}
	for {
		l, err := s.read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = s.batch(l)
		}
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: batch ends without YOUR_TURN", s.lineNumber)
		}
		if err != nil {
			return err
		}
	}
}

// read returns the next line that is not empty. The line is valid until the next read.
func (s *session) read() (*line, error) {
	for {
		text, err := s.input.ReadString('\n')
		if err != nil && (text == "" || !errors.Is(err, io.EOF)) {
			return nil, err
		}
		s.lineNumber++
		if text = strings.TrimRight(text, "\r\n"); text != "" {
			return parseLine(s.lineNumber, text, s.fields)
		}
	}
}

// batch processes one batch, whose first line is given, and writes the response.
func (s *session) batch(l *line) error {
	if l.name != "BATCH" {
		return fmt.Errorf("line %d: %s where BATCH was due", l.number, l.name)
	}
	clock := l.seconds("clock", true)
	if l.err != nil {
		return l.err
	}
	s.pending = s.pending[:0]
	for {
		l, err := s.read()
		if err != nil {
			return err
		}
		if l.name == "YOUR_TURN" {
			break
		}
		if l.name == "CATALOG" {
			err = s.catalog(l)
		} else {
			err = s.event(l)
		}
		if err != nil {
			return err
		}
	}
	for _, in := range s.pending {
		if s.instances[in.name] == in {
			s.step(clock, in)
		}
	}
	s.output.WriteString("DONE\n")
	return s.output.Flush()
}

// step runs one instance and writes its actions. A panic is reported in a BUG line.
func (s *session) step(clock time.Duration, in *instance) {
	defer func() {
		if p := recover(); p != nil {
			text := strings.NewReplacer("\n", " ", "\t", " ").Replace(fmt.Sprint(p))
			fmt.Fprintf(s.output, "BUG\trelay-id=%s\tnote-text=%s\n", in.name, text)
		}
	}()
	events := in.events
	in.events, in.pending = nil, false
	for _, a := range in.engine.Step(clock, events) {
		s.printAction(in, a)
	}
}

// catalog reads the HOST lines of a catalog.
func (s *session) catalog(l *line) error {
	sheet, n := l.integer("sheet", true), l.integer("records", true)
	if l.err != nil {
		return l.err
	}
	hosts := []choice.Host{}
	for range n {
		e, err := s.read()
		if err != nil {
			return err
		}
		if e.name != "HOST" {
			return fmt.Errorf("line %d: %s where HOST was due", e.number, e.name)
		}
		h := choice.Host{Addr: e.required("host"), Dest: e.integer("cell", true), Kind: e.integer("kind", false),
			Zone: e.integer("rack-zone", false), Rate: e.float("size", false)}
		switch state := e.integer("condition", false); state {
		case 0:
			h.State = choice.Gone
		case 1:
			h.State = choice.Ready
		case 2:
			h.State = choice.Draining
		default:
			e.fail("condition", fmt.Sprintf("%d is no state", state))
		}
		if e.err != nil {
			return e.err
		}
		hosts = append(hosts, h)
	}
	s.catalogs[sheet] = hosts
	return nil
}

// event processes a line about one instance.
func (s *session) event(l *line) error {
	name := l.required("relay-id")
	if l.err != nil {
		return l.err
	}
	in := s.instances[name]
	switch l.name {
	case "CONFIGURE":
		return s.configure(l, name)
	case "DETACH":
		delete(s.instances, name)
		return nil
	}
	e, err := s.translate(l, in)
	if err == nil {
		err = l.err
	}
	if err == nil && in == nil {
		err = fmt.Errorf("line %d: %s: field relay-id: %s was never configured", l.number, l.name, name)
	}
	if err != nil {
		return err
	}
	if !in.pending {
		in.pending = true
		s.pending = append(s.pending, in)
	}
	if e != nil {
		in.events = append(in.events, e)
	}
	return nil
}

// configure creates an instance, in place of an earlier one with its name.
func (s *session) configure(l *line, name string) error {
	seed, err := strconv.ParseUint(l.required("entropy"), 10, 64)
	if err != nil {
		l.fail("entropy", "no whole number")
	}
	text := l.required("config")
	if l.err != nil {
		return l.err
	}
	set, err := settings.Parse([]byte(text))
	if err != nil {
		return fmt.Errorf("line %d: CONFIGURE: field config: %w", l.number, err)
	}
	c, err := engine.New(set, seed)
	if err != nil {
		return fmt.Errorf("line %d: CONFIGURE: field config: %w", l.number, err)
	}
	in := &instance{name: name, engine: c, pending: true}
	s.instances[name] = in
	s.pending = append(s.pending, in)
	return nil
}
