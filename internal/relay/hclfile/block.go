package hclfile

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Block is the content of a file or of a block in it. Its methods read one argument each. They return the given
// default for an argument that is missing, and record a fault and return the default for one that is faulty.
type Block struct {
	*Reader
	Attrs  hcl.Attributes
	Blocks hcl.Blocks // nested blocks of all types
	At     hcl.Range  // position of the block's header, or of the file's first character
}

// Parse parses a file and opens its body, as Open does. The error for a syntax error is of type Faults. Other
// faults, also of unknown names, are recorded in the Reader of the returned block.
func Parse(data []byte, path string, attrs []string, blocks map[string]string) (top Block, err error) {
	r := &Reader{}
	parsed, diags := hclsyntax.ParseConfig(data, path, hcl.InitialPos)
	if r.Diags(diags, ""); diags.HasErrors() {
		return Block{}, r.Sorted()
	}
	return r.Open(parsed.Body, hcl.Range{Filename: path, Start: hcl.Pos{Line: 1, Column: 1}}, attrs, blocks), nil
}

// Open reads a body that may have the given arguments and types of blocks, and records a fault for each other
// one. blocks maps a type to the name of its label, which is empty for blocks without one. at is the position
// of the returned block.
func (r *Reader) Open(body hcl.Body, at hcl.Range, attrs []string, blocks map[string]string) Block {
	schema := &hcl.BodySchema{}
	var allowed []string
	for _, name := range attrs {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
		allowed = append(allowed, name)
	}
	for blockType, label := range blocks {
		header := hcl.BlockHeaderSchema{Type: blockType}
		if label != "" {
			header.LabelNames = []string{label}
		}
		schema.Blocks = append(schema.Blocks, header)
		allowed = append(allowed, blockType+" { }")
	}
	slices.Sort(allowed)
	content, diags := body.Content(schema)
	r.Diags(diags, strings.Join(allowed, ", "))
	return Block{r, content.Attributes, content.Blocks, at}
}

// One opens the only nested block of a type without a label, and reports whether there is one. Each further
// block of the type is a fault. If there is none, the returned block has no arguments and the position of b.
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

// maxNameBytes is the maximum length of a block's label.
const maxNameBytes = 100

// Label returns the label of a nested block, and reports whether it is valid and not in seen, to which it is
// added. what names the type of the block in faults.
func (b Block) Label(what string, c *hcl.Block, seen map[string]hcl.Range) (string, bool) {
	label, at := c.Labels[0], c.LabelRanges[0]
	if label == "" || len(label) > maxNameBytes || strings.ContainsFunc(label, notInNames) {
		b.Fault(at, "%s %q: a name has 1 to %d letters, digits, '-', '_' or '.'", what, label, maxNameBytes)
		return label, false
	}
	if first, ok := seen[label]; ok {
		b.Fault(at, "%s %q is there twice, first in line %d", what, label, first.Start.Line)
		return label, false
	}
	seen[label] = at
	return label, true
}

// notInNames reports whether a character may not be part of a name.
func notInNames(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
}
