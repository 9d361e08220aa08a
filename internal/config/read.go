package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/gocty"
)

// Fault is one thing that is wrong with a file, and where.
type Fault struct {
	File         string
	Line, Column int // from 1; 0 where the fault is of the file as a whole
	Text         string
}

func (f Fault) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.Text
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Faults are all that is wrong with a file, in the order of its lines.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// reader collects the faults of one file.
type reader struct{ faults Faults }

func (r *reader) fault(at hcl.Range, format string, args ...any) {
	r.faults = append(r.faults, Fault{at.Filename, at.Start.Line, at.Start.Column, fmt.Sprintf(format, args...)})
}

func (r *reader) diags(all hcl.Diagnostics, allowed string) {
	for _, d := range all {
		if d.Severity != hcl.DiagError {
			continue
		}
		text := d.Summary
		if d.Detail != "" {
			text = strings.ReplaceAll(d.Detail, "\n", " ")
		}
		if allowed != "" && strings.HasPrefix(d.Summary, "Unsupported") {
			text = strings.TrimSuffix(text, ".") + "; allowed here: " + allowed
		}
		at := hcl.Range{}
		if d.Subject != nil {
			at = *d.Subject
		}
		r.fault(at, "%s", text)
	}
}

// sorted returns the faults in the order of the file, each once.
func (r *reader) sorted() Faults {
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) })
	return slices.Compact(r.faults)
}

// block is the content of a file or of a block in it. Its methods read one argument each: what is
// missing has the value given, what is wrong is a fault and has it too.
type block struct {
	*reader
	attrs  hcl.Attributes
	blocks hcl.Blocks
	at     hcl.Range
}

// open reads a body that may have such arguments, and blocks with so many labels.
func (r *reader) open(body hcl.Body, at hcl.Range, attrs []string, blocks map[string]string) block {
	schema := &hcl.BodySchema{}
	var allowed []string
	for _, a := range attrs {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: a})
		allowed = append(allowed, a)
	}
	for name, label := range blocks {
		b := hcl.BlockHeaderSchema{Type: name}
		if label != "" {
			b.LabelNames = []string{label}
		}
		schema.Blocks = append(schema.Blocks, b)
		allowed = append(allowed, name+" { }")
	}
	slices.Sort(allowed)
	content, diags := body.Content(schema)
	r.diags(diags, strings.Join(allowed, ", "))
	return block{r, content.Attributes, content.Blocks, at}
}

// one returns the only block of a type, which has no label, as far as it is there.
func (b block) one(name string, attrs ...string) (block, bool) {
	var found *hcl.Block
	for _, c := range b.blocks {
		if c.Type != name {
			continue
		}
		if found != nil {
			b.fault(c.DefRange, "a second %s block; one is allowed, the first is in line %d", name, found.DefRange.Start.Line)
			continue
		}
		found = c
	}
	if found == nil {
		return block{reader: b.reader, at: b.at}, false
	}
	return b.open(found.Body, found.DefRange, attrs, nil), true
}

// where is the place of an argument, or of the block that lacks it.
func (b block) where(name string) hcl.Range {
	if a := b.attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return b.at
}

func (b block) has(name string) bool { return b.attrs[name] != nil }

// need faults an argument that is not there.
func (b block) need(name, what string) {
	if !b.has(name) {
		b.fault(b.at, "%s is missing: %s", name, what)
	}
}

func (b block) value(name string, want cty.Type, into any, what string) bool {
	a := b.attrs[name]
	if a == nil {
		return false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		b.diags(diags, "")
		return false
	}
	if v.IsNull() || !v.IsWhollyKnown() || v.Type() != want && !(want == cty.List(cty.String) && listOfText(v)) {
		b.fault(a.Expr.Range(), "%s must be %s", name, what)
		return false
	}
	if want == cty.List(cty.String) {
		var all []string
		for it := v.ElementIterator(); it.Next(); {
			_, e := it.Element()
			all = append(all, e.AsString())
		}
		*into.(*[]string) = all
		return true
	}
	if err := gocty.FromCtyValue(v, into); err != nil {
		b.fault(a.Expr.Range(), "%s must be %s", name, what)
		return false
	}
	return true
}

func listOfText(v cty.Value) bool {
	if !v.Type().IsTupleType() {
		return false
	}
	for _, t := range v.Type().TupleElementTypes() {
		if t != cty.String {
			return false
		}
	}
	for it := v.ElementIterator(); it.Next(); {
		if _, e := it.Element(); e.IsNull() {
			return false
		}
	}
	return true
}

func (b block) text(name, or string) string {
	s := or
	if b.value(name, cty.String, &s, "a text in quotes") && s == "" {
		b.fault(b.where(name), "%s must not be empty", name)
		return or
	}
	return s
}

func (b block) texts(name string) (all []string) {
	b.value(name, cty.List(cty.String), &all, "a list of texts, such as [\"a\", \"b\"]")
	return all
}

func (b block) truth(name string, or bool) bool {
	b.value(name, cty.Bool, &or, "true or false")
	return or
}

// number reads one from least to most.
func (b block) number(name string, or, least, most float64) float64 {
	n := or
	if !b.value(name, cty.Number, &n, "a number") {
		return or
	}
	if n < least || n > most {
		b.fault(b.where(name), "%s is %s, must be from %s to %s", name, show(n), show(least), show(most))
		return or
	}
	return n
}

func show(n float64) string {
	if n == math.Trunc(n) && math.Abs(n) < 1e15 {
		return fmt.Sprintf("%.0f", n)
	}
	return fmt.Sprintf("%g", n)
}

func (b block) whole(name string, or, least, most int) int {
	n := b.number(name, float64(or), float64(least), float64(most))
	if n != math.Trunc(n) {
		b.fault(b.where(name), "%s is %g, must be a whole number from %d to %d", name, n, least, most)
		return or
	}
	return int(n)
}

// span reads a time from least to most.
func (b block) span(name string, or, least, most time.Duration) time.Duration {
	var s string
	if !b.value(name, cty.String, &s, `a time in quotes, such as "250ms", "15s" or "24h"`) {
		return or
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		b.fault(b.where(name), `%s is %q, must be a time such as "250ms", "15s" or "24h"`, name, s)
		return or
	}
	if d < least || d > most {
		b.fault(b.where(name), "%s is %v, must be from %v to %v", name, d, least, most)
		return or
	}
	return d
}

// choose reads a text that must be one of some.
func (b block) choose(name, or string, among ...string) string {
	s := b.text(name, or)
	if b.has(name) && !slices.Contains(among, s) {
		b.fault(b.where(name), "%s is %q, must be one of %s", name, s, strings.Join(among, ", "))
		return or
	}
	return s
}
