// Package hclfile reads the HCL files that operators write: each method reads one argument, and everything wrong with a
// file is told at once, each fault with its file, line, column and what is allowed.
package hclfile

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/gocty"
)

// Fault is one thing that is wrong with a file, and where.
type Fault struct {
	File         string
	Line, Column int // from 1; 0 where the fault is of the file as a whole
	Text         string
}

// Error gives file, line and column, and the text; a fault of the file as a whole has no line and column.
func (f Fault) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.Text
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Faults are all that is wrong with a file, in the order of its lines.
type Faults []Fault

// Error gives one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Reader collects the faults of one file.
type Reader struct{ faults Faults }

// Fault records that something is wrong at a place of the file.
func (r *Reader) Fault(at hcl.Range, format string, args ...any) {
	r.faults = append(r.faults, Fault{at.Filename, at.Start.Line, at.Start.Column, fmt.Sprintf(format, args...)})
}

// Diags records the errors among what the parser of HCL reports, warnings left out. Where a name is not known, allowed, unless it is
// empty, is added as the names that are.
func (r *Reader) Diags(all hcl.Diagnostics, allowed string) {
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
		r.Fault(at, "%s", text)
	}
}

// Any tells whether something is wrong so far.
func (r *Reader) Any() bool { return len(r.faults) > 0 }

// Sorted returns the faults in the order of the file, each once.
func (r *Reader) Sorted() Faults {
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) })
	return slices.Compact(r.faults)
}

// Block is the content of a file or of a block in it. Its methods read one argument each: what is
// missing has the value given, what is wrong is a fault and has it too.
type Block struct {
	*Reader
	Attrs  hcl.Attributes
	Blocks hcl.Blocks
	At     hcl.Range
}

// Parse parses a file and opens its body. What is wrong with its syntax are Faults; of what it says more is found as it is read.
func Parse(data []byte, path string, attrs []string, blocks map[string]string) (top Block, err error) {
	r := &Reader{}
	parsed, diags := hclsyntax.ParseConfig(data, path, hcl.InitialPos)
	if r.Diags(diags, ""); diags.HasErrors() {
		return Block{}, r.Sorted()
	}
	return r.Open(parsed.Body, hcl.Range{Filename: path, Start: hcl.Pos{Line: 1, Column: 1}}, attrs, blocks), nil
}

// Open reads a body that may have such arguments, and blocks with so many labels.
func (r *Reader) Open(body hcl.Body, at hcl.Range, attrs []string, blocks map[string]string) Block {
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
	r.Diags(diags, strings.Join(allowed, ", "))
	return Block{r, content.Attributes, content.Blocks, at}
}

// One returns the only block of a type, which has no label, as far as it is there.
func (b Block) One(name string, attrs ...string) (Block, bool) {
	var found *hcl.Block
	for _, c := range b.Blocks {
		if c.Type != name {
			continue
		}
		if found != nil {
			b.Fault(c.DefRange, "a second %s block; one is allowed, the first is in line %d", name, found.DefRange.Start.Line)
			continue
		}
		found = c
	}
	if found == nil {
		return Block{Reader: b.Reader, At: b.At}, false
	}
	return b.Open(found.Body, found.DefRange, attrs, nil), true
}

const maxNameBytes = 100 // bytes

// Label checks a block's label, and faults it where it was used before.
func (b Block) Label(what string, c *hcl.Block, seen map[string]hcl.Range) (string, bool) {
	n, at := c.Labels[0], c.LabelRanges[0]
	if n == "" || len(n) > maxNameBytes || strings.IndexFunc(n, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
	}) >= 0 {
		b.Fault(at, "%s %q: a name has 1 to %d letters, digits, '-', '_' or '.'", what, n, maxNameBytes)
		return n, false
	}
	if first, ok := seen[n]; ok {
		b.Fault(at, "%s %q is there twice, first in line %d", what, n, first.Start.Line)
		return n, false
	}
	seen[n] = at
	return n, true
}

// Where is the place of an argument, or of the block that lacks it.
func (b Block) Where(name string) hcl.Range {
	if a := b.Attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return b.At
}

// Has is whether the block has an argument of the name.
func (b Block) Has(name string) bool { return b.Attrs[name] != nil }

// Need faults an argument that is not there.
func (b Block) Need(name, what string) {
	if !b.Has(name) {
		b.Fault(b.At, "%s is missing: %s", name, what)
	}
}

func (b Block) decode(name string, want cty.Type, into any, what string) bool {
	a := b.Attrs[name]
	if a == nil {
		return false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		b.Diags(diags, "")
		return false
	}
	if v.IsNull() || !v.IsWhollyKnown() || v.Type() != want && !(want == cty.List(cty.String) && isTextList(v)) {
		b.Fault(a.Expr.Range(), "%s must be %s", name, what)
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
		b.Fault(a.Expr.Range(), "%s must be %s", name, what)
		return false
	}
	return true
}

func isTextList(v cty.Value) bool {
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

// Text reads a text, which must not be empty. Where there is none, or a faulty one, it gives or.
func (b Block) Text(name, or string) string {
	s := or
	if b.decode(name, cty.String, &s, "a text in quotes") && s == "" {
		b.Fault(b.Where(name), "%s must not be empty", name)
		return or
	}
	return s
}

// Texts reads a list of texts; nil where there is none, or a faulty one.
func (b Block) Texts(name string) (all []string) {
	b.decode(name, cty.List(cty.String), &all, "a list of texts, such as [\"a\", \"b\"]")
	return all
}

// Truth reads true or false. Where there is neither, it gives or.
func (b Block) Truth(name string, or bool) bool {
	b.decode(name, cty.Bool, &or, "true or false")
	return or
}

// Number reads one from least to most.
func (b Block) Number(name string, or, least, most float64) float64 {
	n := or
	if !b.decode(name, cty.Number, &n, "a number") {
		return or
	}
	if n < least || n > most {
		b.Fault(b.Where(name), "%s is %s, must be from %s to %s", name, Show(n), Show(least), Show(most))
		return or
	}
	return n
}

// Show writes a number as files have it: without a point where it has no fraction.
func Show(n float64) string {
	if n == math.Trunc(n) && math.Abs(n) < 1e15 {
		return fmt.Sprintf("%.0f", n)
	}
	return fmt.Sprintf("%g", n)
}

// Whole reads a number without a fraction, from least to most. Where there is none, or a faulty one, it gives or.
func (b Block) Whole(name string, or, least, most int) int {
	n := b.Number(name, float64(or), float64(least), float64(most))
	if n != math.Trunc(n) {
		b.Fault(b.Where(name), "%s is %g, must be a whole number from %d to %d", name, n, least, most)
		return or
	}
	return int(n)
}

// Span reads a time from least to most.
func (b Block) Span(name string, or, least, most time.Duration) time.Duration {
	var s string
	if !b.decode(name, cty.String, &s, `a time in quotes, such as "250ms", "15s" or "24h"`) {
		return or
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		b.Fault(b.Where(name), `%s is %q, must be a time such as "250ms", "15s" or "24h"`, name, s)
		return or
	}
	if d < least || d > most {
		b.Fault(b.Where(name), "%s is %v, must be from %v to %v", name, d, least, most)
		return or
	}
	return d
}

// Choose reads a text that must be one of some.
func (b Block) Choose(name, or string, among ...string) string {
	s := b.Text(name, or)
	if b.Has(name) && !slices.Contains(among, s) {
		b.Fault(b.Where(name), "%s is %q, must be one of %s", name, s, strings.Join(among, ", "))
		return or
	}
	return s
}
