package override

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// anyOverride draws an override of a few subjects, so that draws conflict.
func anyOverride(t *rapid.T) Override {
	return Override{Subject: rapid.SampledFrom([]string{"endpoint:a", "endpoint:b", "partner:p"}).Draw(t, "subject"),
		Active:  rapid.Bool().Draw(t, "on"),
		Counter: rapid.Uint64Range(1, 3).Draw(t, "count"), Origin: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "origin"),
		Author: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "by"), AtMs: rapid.Int64Range(-1, 1).Draw(t, "at")}
}

// Stores merge overrides to the same state and digest, in whatever order and however often they arrive.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		overrides := rapid.SliceOfN(rapid.Custom(anyOverride), 1, 12).Draw(t, "overrides")
		a, b := NewStore(), NewStore()
		for _, o := range overrides {
			a.Merge(o)
		}
		for _, o := range rapid.Permutation(overrides).Draw(t, "order") {
			b.Merge(o)
			if b.Merge(o) {
				t.Fatal("the same override twice changed the store")
			}
		}
		for _, o := range a.All() {
			if a.Merge(o) {
				t.Fatal("a store merged with itself changed")
			}
		}
		if fmt.Sprint(a.All()) != fmt.Sprint(b.All()) || a.Digest() != b.Digest() {
			t.Fatalf("%v\n%v", a.All(), b.All())
		}
		x, y, z := overrides[0], overrides[len(overrides)/2], overrides[len(overrides)-1]
		if x.Compare(y) > 0 && y.Compare(z) > 0 && x.Compare(z) <= 0 || x.Compare(y) != -y.Compare(x) {
			t.Fatal("overrides have no order")
		}
	})
}
