package rpc

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"
	"time"
)

// What goes over a connection is the same in each version of the program: these bytes are those of the code before it was
// renamed, and are never written anew for a rename.

func TestFramesKeepTheirBytes(t *testing.T) {
	for _, one := range []struct {
		name   string
		kind   kind
		method Method
		number uint64
		body   string
		want   string
	}{
		{"call", kindCall, 20, 0x0102030405060708, "body", "0000000e00140102030405060708626f6479"},
		{"response", kindResponse, 21, 0x1112131415161718, "", "0000000a01151112131415161718"},
		{"error", kindError, 255, 0x2122232425262728, "text", "0000000e02ff212223242526272874657874"},
		{"notification", kindNotification, 1, 0, "b", "0000000b0301000000000000000062"},
	} {
		b := frame{one.kind, one.method, one.number, []byte(one.body)}.encode()
		if got := hex.EncodeToString(b); got != one.want {
			t.Errorf("%s is %s, was %s", one.name, got, one.want)
		}
		old, err := hex.DecodeString(one.want)
		if err != nil {
			t.Fatal(err)
		}
		f, err := readFrame(bufio.NewReader(bytes.NewReader(old)))
		if err != nil || f.kind != one.kind || f.method != one.method || f.number != one.number || string(f.body) != one.body {
			t.Errorf("%s is read as kind %d, method %d, number %x, body %q (%v)", one.name, f.kind, f.method, f.number, f.body, err)
		}
	}
}

// sample has a field of each type that bodies are made of.
type sample struct {
	Bool     bool
	Text     string
	Int      int
	Int64    int64
	Int32    int32
	Int16    int16
	Int8     int8
	Uint32   uint32
	Uint16   uint16
	Uint8    uint8
	Float    float64
	Duration time.Duration
	Bytes    []byte
	List     []string
	Map      map[string]int
	Struct   inner
	Structs  []inner
}

type inner struct{ A, B int }

func TestBodiesKeepTheirBytes(t *testing.T) {
	want := sample{Bool: true, Text: "text", Int: -1 << 40, Int64: 1 << 41, Int32: -1 << 30, Int16: -1 << 14, Int8: -100, Uint32: 1<<32 - 1, Uint16: 1<<16 - 1, Uint8: 255,
		Float: 1.5, Duration: time.Second, Bytes: []byte{1, 2, 255}, List: []string{"a", "b"}, Map: map[string]int{"k": 7}, Struct: inner{1, 2}, Structs: []inner{{3, 4}, {5, 6}}}
	const was = "010874657874ffffffffff3f80808080808001ffffffff07ffff01c701feffffff1ffeff07fe03000000000000f83f80a8d6b907060102ff030802610262000106026b0e000204030806080a0c00"
	if got := hex.EncodeToString(Encode(&want)); got != was {
		t.Errorf("a body is\n%s, was\n%s", got, was)
	}
	old, err := hex.DecodeString(was)
	if err != nil {
		t.Fatal(err)
	}
	var got sample
	if err := Decode(old, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the old bytes are read as %+v (%v), want %+v", got, err, want)
	}
}
