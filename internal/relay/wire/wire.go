// Package wire speaks the simulator's line protocol and maps it to package
// choice. It decides nothing.
package wire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/engine"
	"larchrouter/internal/relay/settings"
)

var outcomeNames = map[string]choice.Outcome{
	"served": choice.Served, "server_error": choice.Error, "turned_away": choice.Refused,
	"no_answer": choice.Timeout, "no_connection": choice.NoConnection, "connection_lost": choice.Reset,
	"called_off": choice.Cancelled, "not_sent": choice.NotSent,
}

// line is one parsed line; the first fault met while reading fields stays.
type line struct {
	number int
	name   string
	fields map[string]string
	err    error
}

// parseLine fills the given map, which is emptied first.
func parseLine(number int, text string, fields map[string]string) (*line, error) {
	clear(fields)
	l := &line{number: number, fields: fields}
	var rest string
	l.name, rest, _ = strings.Cut(text, "\t")
	for rest != "" {
		name, value, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.Contains(name, "\t") {
			return nil, fmt.Errorf("line %d: %s: part %q is not name=value", number, l.name, rest)
		}
		rest = ""
		if name != "config" && name != "note-text" { // text runs to the end of the line
			value, rest, _ = strings.Cut(value, "\t")
		}
		if _, twice := l.fields[name]; twice {
			return nil, fmt.Errorf("line %d: %s: field %s stands twice", number, l.name, name)
		}
		l.fields[name] = value
	}
	return l, nil
}

func (l *line) fail(field, what string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: field %s: %s", l.number, l.name, field, what)
	}
}

func (l *line) required(field string) string {
	v := l.fields[field]
	if v == "" {
		l.fail(field, "missing")
	}
	return v
}

func (l *line) float(field string, required bool) float64 {
	v, ok := l.fields[field]
	if !ok || v == "" {
		if required || ok {
			l.fail(field, "missing")
		}
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		l.fail(field, fmt.Sprintf("%q is no number", v))
		return 0
	}
	return f
}

func (l *line) seconds(field string, required bool) time.Duration {
	f := l.float(field, required)
	if math.Abs(f) > 1e9 {
		l.fail(field, fmt.Sprintf("%g seconds is out of range", f))
		return 0
	}
	return seconds(f)
}

func (l *line) integer(field string, required bool) int {
	v, ok := l.fields[field]
	if !ok && !required {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		if v == "" {
			l.fail(field, "missing")
		} else {
			l.fail(field, fmt.Sprintf("%q is no whole number", v))
		}
	}
	return int(n)
}

func (l *line) outcome(field string) choice.Outcome {
	o, ok := outcomeNames[l.required(field)]
	if !ok {
		l.fail(field, fmt.Sprintf("%q is no outcome", l.fields[field]))
	}
	return o
}

func (l *line) floats(field string) []float64 {
	v := l.fields[field]
	if v == "" || v == "-" {
		return nil
	}
	var row []float64
	for part := range strings.SplitSeq(v, ",") {
		f, err := strconv.ParseFloat(part, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			l.fail(field, fmt.Sprintf("%q is no row of numbers", v))
			return nil
		}
		row = append(row, f)
	}
	return row
}

func seconds(f float64) time.Duration { return time.Duration(math.Round(f*1e6)) * time.Microsecond }

// instance is one chooser with the events that a batch holds for it.
type instance struct {
	name     string
	engine   *engine.Core
	events   []choice.Event
	timerTag int  // tag of the one that counts
	pending  bool // among those with an event in this batch
}

type session struct {
	input      *bufio.Reader
	output     *bufio.Writer
	lineNumber int
	fields     map[string]string // of the line read last
	catalogs   map[int][]choice.Host
	instances  map[string]*instance
	pending    []*instance // instances with an event in this batch, by first event
}

// Serve answers batches until the input ends.
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

// read returns the next line that is not empty.
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

// step runs one chooser and prints what it answers; a panic becomes the fault line.
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

// translate maps one event line; the event is nil where choice has no use for it.
func (s *session) translate(l *line, in *instance) (choice.Event, error) {
	switch l.name {
	case "ACCEPT":
		return choice.Arrival{ID: l.required("op-id"), Class: l.integer("priority", false), Dest: l.integer("far-end", true),
			Left: l.seconds("left", true), Key: l.fields["subject"]}, nil
	case "ATTEMPT_END":
		return choice.Result{ID: l.required("op-id"), Host: l.required("host"), Attempt: l.integer("try", false),
			Outcome: l.outcome("how"), Took: l.seconds("cost-time", false), Done: l.integer("over", false) == 1,
			Wait: time.Duration(l.integer("remark-ms", false)) * time.Millisecond, Report: l.floats("feedback")}, nil
	case "UPDATE":
		scope := l.integer("scope", false)
		if scope < 0 || scope > 3 {
			l.fail("scope", fmt.Sprintf("%d is no scope", scope))
		}
		if scope == 3 {
			return choice.Listing{Failed: true}, nil
		}
		sheet := l.integer("sheet", false)
		hosts, ok := s.catalogs[sheet]
		if !ok {
			l.fail("sheet", fmt.Sprintf("no CATALOG %d was given", sheet))
		}
		return choice.Listing{Whole: scope != 0, Hosts: hosts}, nil
	case "CLIENT_GONE":
		return choice.Withdrawn{ID: l.required("op-id")}, nil
	case "FIRED":
		if tag := l.integer("tag", false); in == nil || tag != in.timerTag {
			return nil, nil // another took its place
		}
		return choice.Woken{}, nil
	case "PROBE_DONE":
		l.required("host")
		l.outcome("how")
		return nil, nil // no probe is ever sent
	case "FROM_PEER":
		e := choice.Heard{From: l.integer("author", false)}
		if b := l.fields["bytes"]; b != "" && b != "-" {
			var err error
			if e.Note, err = base64.StdEncoding.DecodeString(b); err != nil {
				l.fail("bytes", "not base64")
			}
		}
		return e, nil
	case "FIRST_BYTE":
		l.required("op-id")
		return nil, nil
	}
	return nil, fmt.Errorf("line %d: unknown message %q", l.number, l.name)
}

func (s *session) printAction(in *instance, a choice.Action) {
	inst := in.name
	sec := func(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', -1, 64) }
	switch a := a.(type) {
	case choice.Send:
		fmt.Fprintf(s.output, "PLACE\trelay-id=%s\top-id=%s\thost=%s\tmax-wait=%s\n", inst, a.ID, a.Host, sec(a.Timeout))
	case choice.Refuse:
		fmt.Fprintf(s.output, "DENY\trelay-id=%s\top-id=%s\tnot-before-for=%s\n", inst, a.ID, sec(a.After))
	case choice.Fail:
		fmt.Fprintf(s.output, "SURRENDER\trelay-id=%s\top-id=%s\n", inst, a.ID)
	case choice.Cancel:
		fmt.Fprintf(s.output, "REVOKE\trelay-id=%s\top-id=%s\ttry=%d\n", inst, a.ID, a.Attempt)
	case choice.Wake:
		in.timerTag++
		fmt.Fprintf(s.output, "ARM\trelay-id=%s\twait=%s\ttag=%d\n", inst, sec(a.After), in.timerTag)
	case choice.Subscribe:
		fmt.Fprintf(s.output, "OBSERVE\trelay-id=%s\twant=1\n", inst)
	case choice.Tell:
		fmt.Fprintf(s.output, "SAY\trelay-id=%s\taddressee=%d\tbytes=%s\n", inst, a.To, base64.StdEncoding.EncodeToString(a.Note))
	case choice.Log:
		fmt.Fprintf(s.output, "EMIT\trelay-id=%s\tnote-text=%s\n", inst, a.Text)
	}
}
