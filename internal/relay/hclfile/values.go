package hclfile

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/gocty"
)

// Where returns the position of an argument, or of the block if it lacks the argument.
func (b Block) Where(name string) hcl.Range {
	if a := b.Attrs[name]; a != nil {
		return a.Expr.Range()
	}
	return b.At
}

// Has reports whether the block has an argument.
func (b Block) Has(name string) bool { return b.Attrs[name] != nil }

// Need records a fault if an argument is missing. what says what it is for.
func (b Block) Need(name, what string) {
	if !b.Has(name) {
		b.Fault(b.At, "%s is missing: %s", name, what)
	}
}

// decode stores the value of an argument of type want in into, and reports whether it did. A value of another
// type is a fault, whose text says with what that the argument must be.
func (b Block) decode(name string, want cty.Type, into any, what string) bool {
	attr := b.Attrs[name]
	if attr == nil {
		return false
	}
	v, diags := attr.Expr.Value(nil)
	if diags.HasErrors() {
		b.Diags(diags, "")
		return false
	}
	if v.IsNull() || !v.IsWhollyKnown() || v.Type() != want && !(want == cty.List(cty.String) && isTextList(v)) {
		b.Fault(attr.Expr.Range(), "%s must be %s", name, what)
		return false
	}
	if want == cty.List(cty.String) {
		var texts []string
		for it := v.ElementIterator(); it.Next(); {
			_, element := it.Element()
			texts = append(texts, element.AsString())
		}
		*into.(*[]string) = texts
		return true
	}
	if err := gocty.FromCtyValue(v, into); err != nil {
		b.Fault(attr.Expr.Range(), "%s must be %s", name, what)
		return false
	}
	return true
}

// isTextList reports whether a value is a tuple of strings, none of them null, as the parser yields for a list
// of texts.
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
		if _, element := it.Element(); element.IsNull() {
			return false
		}
	}
	return true
}

// Text reads a text, which must not be empty. The default is or.
func (b Block) Text(name, or string) string {
	s := or
	if b.decode(name, cty.String, &s, "a text in quotes") && s == "" {
		b.Fault(b.Where(name), "%s must not be empty", name)
		return or
	}
	return s
}

// Texts reads a list of texts. The default is nil.
func (b Block) Texts(name string) (texts []string) {
	b.decode(name, cty.List(cty.String), &texts, "a list of texts, such as [\"a\", \"b\"]")
	return texts
}

// Truth reads a boolean. The default is or.
func (b Block) Truth(name string, or bool) bool {
	b.decode(name, cty.Bool, &or, "true or false")
	return or
}

// Number reads a number from least to most. The default is or.
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

// Show formats a number as in files: without a decimal point if it is an integer.
func Show(n float64) string {
	if n == math.Trunc(n) && math.Abs(n) < 1e15 {
		return fmt.Sprintf("%.0f", n)
	}
	return fmt.Sprintf("%g", n)
}

// Whole reads an integer from least to most. The default is or.
func (b Block) Whole(name string, or, least, most int) int {
	n := b.Number(name, float64(or), float64(least), float64(most))
	if n != math.Trunc(n) {
		b.Fault(b.Where(name), "%s is %g, must be a whole number from %d to %d", name, n, least, most)
		return or
	}
	return int(n)
}

// Span reads a duration from least to most. The default is or.
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

// Choose reads a text that must be one of the given ones. The default is or.
func (b Block) Choose(name, or string, allowed ...string) string {
	s := b.Text(name, or)
	if b.Has(name) && !slices.Contains(allowed, s) {
		b.Fault(b.Where(name), "%s is %q, must be one of %s", name, s, strings.Join(allowed, ", "))
		return or
	}
	return s
}
