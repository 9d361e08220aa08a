// Package rpctest holds the encodings of messages and stored values against fixtures, for the tests of the packages that define them.
//
// A message has its fields in a fixed order and without names, so that a field which was moved, added, dropped or retyped shows in
// these bytes and nowhere else. See package fixture for when a fixture is written.
package rpctest

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"larchrouter/internal/fixture"
	"larchrouter/internal/rpc"
)

// Fixtures is a file of lines, each with a key and the bytes of the encoding in hexadecimal.
type Fixtures struct {
	path      string
	encodings map[string][]byte // by key
	compared  map[string]bool   // by key
}

// Open reads a file of fixtures.
func Open(t testing.TB, path string) *Fixtures {
	t.Helper()
	f := &Fixtures{path: path, encodings: map[string][]byte{}, compared: map[string]bool{}}
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) && fixture.MayWrite() {
		return f
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		f.parseLine(t, strings.TrimSpace(line))
	}
	return f
}

func (f *Fixtures) parseLine(t testing.TB, line string) {
	t.Helper()
	separator := strings.LastIndexByte(line, ' ')
	if separator < 0 {
		t.Fatalf("%s: line %q has no bytes", f.path, line)
	}
	encoding, err := hex.DecodeString(line[separator+1:])
	if err != nil {
		t.Fatalf("%s: line %q: %v", f.path, line, err)
	}
	key := line[:separator]
	if f.encodings[key] != nil {
		t.Fatalf("%s: %q occurs twice", f.path, key)
	}
	f.encodings[key] = encoding
}

// Compare checks that the fixture of a key decodes to a value, which is a pointer to a struct, and that the value is encoded as
// the fixture. A missing fixture is written if fixtures may be.
func (f *Fixtures) Compare(t testing.TB, key string, value any) {
	t.Helper()
	f.compared[key] = true
	want, known := f.encodings[key]
	if !known && fixture.MayWrite() {
		f.write(t, key, value)
		return
	}
	if !known {
		t.Errorf("%s has no fixture in %s", key, f.path)
		return
	}
	decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := rpc.Decode(want, decoded); err != nil {
		t.Errorf("%s: decode the fixture: %v", key, err)
	} else if !equal(decoded, value) {
		t.Errorf("%s: the fixture is decoded as %+v, want %+v", key, decoded, value)
	}
	if got := rpc.Encode(value); !bytes.Equal(got, want) {
		t.Errorf("%s is encoded as\n%x, the fixture is\n%x", key, got, want)
	}
}

// write adds a fixture to the file.
func (f *Fixtures) write(t testing.TB, key string, value any) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(f.path), 0o755); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(f.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := fmt.Fprintf(file, "%s %x\n", key, rpc.Encode(value)); err != nil {
		t.Fatal(err)
	}
}

// RequireAllCompared checks that each fixture of the file was compared with a value.
func (f *Fixtures) RequireAllCompared(t testing.TB) {
	t.Helper()
	for key := range f.encodings {
		if !f.compared[key] {
			t.Errorf("no value is compared with the fixture %q", key)
		}
	}
}

// equal compares a decoded value with the expected one. Empty and nil slices are equal, as their encodings are the same.
func equal(got, want any) bool {
	return reflect.DeepEqual(got, want) || reflect.DeepEqual(clearEmptySlices(got), clearEmptySlices(want))
}

// clearEmptySlices sets the empty slices among the fields of the struct that value points to, and of nested structs, to nil.
func clearEmptySlices(value any) any {
	var walk func(v reflect.Value)
	walk = func(v reflect.Value) {
		switch {
		case v.Kind() == reflect.Struct:
			for i := range v.NumField() {
				walk(v.Field(i))
			}
		case v.Kind() == reflect.Slice && v.Len() == 0:
			v.SetZero()
		}
	}
	walk(reflect.ValueOf(value).Elem())
	return value
}
