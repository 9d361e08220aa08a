package config

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"larchrouter/choice"
	"larchrouter/internal/relay/hclfile"
)

// classes reads the class blocks.
func (f *File) classes(top hclfile.Block) {
	seen := map[string]hcl.Range{}
	any := false
	for _, c := range top.Blocks {
		if c.Type != "class" {
			continue
		}
		any = true
		n, ok := top.Label("class", c, seen)
		b := top.Open(c.Body, c.DefRange, []string{"effect", "aim", "deadline", "worth", "late_share", "window", "same_zone"},
			nil)
		b.Need("effect", "safe (a repeat does no harm), keyed (the partner drops repeats for the window) or unsafe (a repeat must never happen)")
		b.Need("deadline", "when a message is given up, such as \"20s\"")
		effect := effects[b.Choose("effect", "unsafe", "safe", "keyed", "unsafe")]
		k := choice.Class{Name: n, Effect: effect,
			Deadline: b.Span("deadline", 20*time.Second, 10*time.Millisecond, 24*time.Hour),
			Worth:    b.Number("worth", 1, 0, 1e6), LateShare: b.Number("late_share", 0.3, 0, 1)}
		k.Aim = b.Span("aim", min(k.Deadline, 2*time.Second), 10*time.Millisecond, 24*time.Hour)
		if k.Aim > k.Deadline {
			b.Fault(b.Where("aim"), "aim is %v, must be at most the deadline, %v", k.Aim, k.Deadline)
		}
		if effect == choice.Keyed {
			b.Need("window", "how long partners remember a key, such as \"15s\"")
		} else {
			for _, a := range []string{"window", "same_zone"} {
				if b.Has(a) {
					b.Fault(b.Attrs[a].NameRange, "%s is for classes with effect = \"keyed\" alone", a)
				}
			}
		}
		k.Window = b.Span("window", 0, 0, 24*time.Hour)
		k.SameZone = b.Truth("same_zone", false)
		if ok {
			f.Classes = append(f.Classes, k)
		}
	}
	if !any {
		f.Classes = DefaultClasses()
	}
}

// zones reads the zone blocks.
func (f *File) zones(top hclfile.Block) {
	seen := map[string]hcl.Range{}
	for _, c := range top.Blocks {
		if c.Type != "zone" {
			continue
		}
		n, ok := top.Label("zone", c, seen)
		b := top.Open(c.Body, c.DefRange, []string{"fee"}, nil)
		if fee := b.Number("fee", 0, 0, 1); ok {
			f.Zones = append(f.Zones, Zone{n, fee})
		}
	}
}

// kinds reads the kind blocks, behind the built-in kinds.
func (f *File) kinds(top hclfile.Block) {
	seen := map[string]hcl.Range{}
	f.Kinds = append(f.Kinds, builtinKinds...)
	for _, c := range top.Blocks {
		if c.Type != "kind" {
			continue
		}
		n, ok := top.Label("kind", c, seen)
		b := top.Open(c.Body, c.DefRange, []string{"separate_limits", "per_call"}, nil)
		k := Kind{n, choice.Kind{Apart: b.Truth("separate_limits", true), PerCall: b.Whole("per_call", 1, 1, 100)}}
		if slices.ContainsFunc(builtinKinds, func(o Kind) bool { return o.Name == n }) {
			b.Fault(c.LabelRanges[0], "kind %q is built in; give yours another name", n)
		} else if ok {
			f.Kinds = append(f.Kinds, k)
		}
	}
}
