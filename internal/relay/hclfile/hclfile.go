// Package hclfile reads the HCL files that operators write. It reports all faults of a file at once, each with
// file, line, column and what is allowed.
//
// Parse returns the file's body as a Block. The caller reads each argument with one method of Block, which
// returns a default for a missing or faulty one and records the fault in the Reader that all blocks of the file
// share. Once everything is read, the caller checks Reader.Any and returns Reader.Sorted as the error. Nothing
// here is safe for concurrent use.
package hclfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Fault is one fault of a file and its position.
type Fault struct {
	File         string
	Line, Column int // from 1; 0 if the fault has no position
	Text         string
}

// Error returns "file:line:column: text", or "file: text" for a fault without a position.
func (f Fault) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.Text
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Faults are the faults of a file in the order of their positions. They are the error of Parse.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Reader collects the faults of one file. The zero value is ready for use.
type Reader struct{ faults Faults }

// Fault records a fault at a position of the file.
func (r *Reader) Fault(at hcl.Range, format string, args ...any) {
	r.faults = append(r.faults, Fault{at.Filename, at.Start.Line, at.Start.Column, fmt.Sprintf(format, args...)})
}

// Diags records the errors among the diagnostics of the HCL parser, and ignores its warnings. allowed lists the
// names that an unknown argument or block might have had; it is added to the text of such a fault unless it is
// empty.
func (r *Reader) Diags(diags hcl.Diagnostics, allowed string) {
	for _, d := range diags {
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

// Any reports whether a fault has been recorded.
func (r *Reader) Any() bool { return len(r.faults) > 0 }

// Sorted returns the faults in the order of their positions, without duplicates.
func (r *Reader) Sorted() Faults {
	slices.SortStableFunc(r.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return slices.Compact(r.faults)
}
