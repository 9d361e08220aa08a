package founding

import (
	"context"
	"slices"
	"testing"

	"larchrouter/internal/sqlitelog"
)

// memoryDisk is a Disk of one table.
type memoryDisk map[string][]byte

func (d memoryDisk) Get(_ string, key []byte) ([]byte, error) { return d[string(key)], nil }

func (d memoryDisk) Commit(_ context.Context, writes []sqlitelog.Write) error {
	for _, w := range writes {
		d[string(w.Key)] = w.Value
	}
	return nil
}

// A store remembers the first start over its restarts until it has seen a founded core, and never again after that.
func TestFirstStartIsRemembered(t *testing.T) {
	disk := memoryDisk{}
	open := func(isFirst bool) *FirstStart {
		f, err := OpenFirstStart(t.Context(), disk, "facts", "store-id", isFirst, []string{"a", "b"})
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	if _, ok := open(false).Witness(); ok {
		t.Error("a store that was not there remembers the first start")
	}
	open(true)
	w, ok := open(false).Witness()
	if !ok || w.ID != "store-id" || !slices.Equal(w.Seeds, []string{"a", "b"}) {
		t.Errorf("after a restart the store says %+v, %v", w, ok)
	}
	if err := open(false).SeeCore(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, isFirst := range []bool{false, true} {
		if _, ok := open(isFirst).Witness(); ok {
			t.Errorf("a store that has seen a founded core remembers the first start (bootstrap %v)", isFirst)
		}
	}
}
