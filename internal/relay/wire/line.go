package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"larchrouter/choice"
)

// outcomeNames are the outcomes by their names in the protocol.
var outcomeNames = map[string]choice.Outcome{
	"served": choice.Served, "server_error": choice.Error, "turned_away": choice.Refused,
	"no_answer": choice.Timeout, "no_connection": choice.NoConnection, "connection_lost": choice.Reset,
	"called_off": choice.Cancelled, "not_sent": choice.NotSent,
}

// line is a parsed line. Its methods read one field each, and return a zero value for one that is missing or
// malformed.
type line struct {
	number int // from 1
	name   string
	fields map[string]string
	err    error // the first error of a field
}

// parseLine parses a line. Its fields are stored in the given map, which is cleared first.
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
		if name != "config" && name != "note-text" { // these two extend to the end of the line
			value, rest, _ = strings.Cut(value, "\t")
		}
		if _, duplicate := l.fields[name]; duplicate {
			return nil, fmt.Errorf("line %d: %s: field %s stands twice", number, l.name, name)
		}
		l.fields[name] = value
	}
	return l, nil
}

// fail records an error of a field, unless there is one already.
func (l *line) fail(field, what string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: field %s: %s", l.number, l.name, field, what)
	}
}

// required returns the text of a field, which must not be empty.
func (l *line) required(field string) string {
	v := l.fields[field]
	if v == "" {
		l.fail(field, "missing")
	}
	return v
}

// float returns the number of a field; 0 if it is absent and not required.
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

// seconds returns the duration of a field in seconds; 0 if it is absent and not required.
func (l *line) seconds(field string, required bool) time.Duration {
	f := l.float(field, required)
	if math.Abs(f) > 1e9 {
		l.fail(field, fmt.Sprintf("%g seconds is out of range", f))
		return 0
	}
	return seconds(f)
}

// integer returns the integer of a field; 0 if it is absent and not required.
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

// outcome returns the outcome that a field names.
func (l *line) outcome(field string) choice.Outcome {
	o, ok := outcomeNames[l.required(field)]
	if !ok {
		l.fail(field, fmt.Sprintf("%q is no outcome", l.fields[field]))
	}
	return o
}

// floats returns the numbers of a field, separated by commas; nil if it is absent, empty or "-".
func (l *line) floats(field string) []float64 {
	v := l.fields[field]
	if v == "" || v == "-" {
		return nil
	}
	var numbers []float64
	for part := range strings.SplitSeq(v, ",") {
		f, err := strconv.ParseFloat(part, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			l.fail(field, fmt.Sprintf("%q is no row of numbers", v))
			return nil
		}
		numbers = append(numbers, f)
	}
	return numbers
}

// seconds converts a time in seconds, rounded to microseconds.
func seconds(f float64) time.Duration { return time.Duration(math.Round(f*1e6)) * time.Microsecond }
