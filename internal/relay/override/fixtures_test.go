package override

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"larchrouter/internal/fixture"
)

var (
	frozenWord = Word{Subject: "endpoint:pay-1", On: true, Count: 0x010203, Origin: "r2", By: "op", AtMs: 1700000000123}
	takenBack  = Word{Subject: "gone:r3", Count: 5, Origin: "r1", By: "other", AtMs: -7}
	frozenNote = note{
		life: 0xa1a2a3a4, beat: 0x0102, list: 0x1112131415161718, total: 300, weight: 200, digest: 0x2122232425262728, answers: true,
		seen: 0x31323334, detail: &Digest{0x41, 0x42, 0x43, 0x44, 0x45, 0x46, 0x47, 0x48, 0x49, 0x4a, 0x4b, 0x4c, 0x4d, 0x4e, 0x4f, 0x50515253},
		heard: []heard{{relay: 1, beat: 0x0304}, {relay: 2, beat: 5}}, words: []Word{frozenWord},
		sights: []Sight{{Subject: "endpoint:p", Origin: 3, Bad: true, Since: 4321 * time.Millisecond, Said: 987 * time.Millisecond, Count: 0x0405}},
		acts:   []Acts{{Kind: 1, Version: 0x61626364}, {Kind: 4, Version: 0x71727374}},
	}
)

// frozenNotes has a note with every field, and one for each part that may be left out or come more than once.
var frozenNotes = []struct {
	name string
	note note
}{
	{"all fields", frozenNote},
	{"beat", note{beat: 1}},
	{"words", note{beat: 2, words: []Word{frozenWord, takenBack}}},
	{"sights", note{beat: 3, sights: []Sight{
		{Subject: "endpoint:a", Origin: 1, Bad: true, Since: time.Second, Said: time.Millisecond, Count: 2},
		{Subject: "endpoint:b", Origin: 2, Since: 2 * time.Second, Said: 3 * time.Second, Count: 4}}}},
	{"acts", note{beat: 4, acts: []Acts{{1, 0x01020304}, {2, 0x05060708}, {3, 0x090a0b0c}, {4, 0x0d0e0f10}}}},
}

// Guards against a change of the notes that relays of different builds send each other.
func TestNotesAreAsFrozen(t *testing.T) {
	var present []fixture.Line
	for _, f := range frozenNotes {
		data, words, sights := f.note.encode()
		if words != len(f.note.words) || sights != len(f.note.sights) {
			t.Fatalf("%s: does not fit into one note", f.name)
		}
		present = append(present, fixture.Line{Name: f.name, Text: hex.EncodeToString(data)})
	}
	old := fixture.Lines(t, "testdata/notes-V.txt", present)
	if len(old) != len(frozenNotes) {
		t.Errorf("%d notes in the file, %d in the test", len(old), len(frozenNotes))
	}
	for i, f := range frozenNotes {
		if present[i].Text != old[f.name] {
			t.Errorf("%s: encoded as %s, want %s", f.name, present[i].Text, old[f.name])
		}
		data, err := hex.DecodeString(old[f.name])
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(data)
		if err != nil || !reflect.DeepEqual(got, f.note) {
			t.Errorf("%s: decoded as %+v, %v, want %+v", f.name, got, err, f.note)
		}
		if data[0] != 0x56 {
			t.Errorf("%s: version %#x, want 0x56", f.name, data[0])
		}
	}
	if unset := fixture.Unset(frozenNote); len(unset) > 0 {
		t.Errorf("the note with all fields does not set %v", unset)
	}
}

// Sums that relays compare with each other: they must not depend on the build. The numbers are those of the code that
// introduced them.
func TestSumsAreAsFrozen(t *testing.T) {
	book := NewBook()
	for _, w := range []Word{frozenWord, takenBack} {
		if !book.Merge(w) {
			t.Fatalf("%+v was not taken in", w)
		}
	}
	digest := book.Digest()
	sight := sighted{origin: 3, subject: "endpoint:p"}
	for name, tc := range map[string]struct{ got, want uint64 }{
		"list of names":          {listOf([]string{"r1", "r2", "r3"}), 0x9f912859a0e7c6dd},
		"word":                   {uint64(frozenWord.sum()), 0x4037a17d},
		"word that takes back":   {uint64(takenBack.sum()), 0x3421daca},
		"bucket of a word":       {uint64(bucketOf(frozenWord.Subject)), 0xe},
		"bucket of another word": {uint64(bucketOf(takenBack.Subject)), 0xb},
		"its digest":             {uint64(digest[bucketOf(frozenWord.Subject)]), 0x4037a17d},
		"digest of a book":       {digest.whole(), 0xa4a1eb67b772af05},
		"digest of no words":     {NewBook().digest.whole(), 0xb9b23f3a46fd0825},
		"sight":                  {uint64(sight.sum(seen{bad: true, count: 0x0405})), 0x143acb95},
		"buckets of a book":      {buckets, 16},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: %#x, want %#x", name, tc.got, tc.want)
		}
	}
}
