package rpc

import (
	"bytes"
	"math"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type phase string

type leaf struct {
	Name  string
	Data  []byte
	Wait  time.Duration
	Phase phase
}

type tree struct {
	Flag   bool
	I      int
	I8     int8
	I16    int16
	I32    int32
	I64    int64
	U8     uint8
	U16    uint16
	U32    uint32
	F      float64
	One    leaf
	Other  leaf // the same record once more: named by reference
	Many   []leaf
	ByName map[string]leaf
	Lists  map[phase][]string
	Deep   []map[string][]tree
}

func drawLeaf(t *rapid.T) leaf {
	return leaf{rapid.String().Draw(t, "name"), rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "data"),
		time.Duration(rapid.Int64().Draw(t, "wait")), phase(rapid.String().Draw(t, "phase"))}
}

func drawTree(depth int) *rapid.Generator[tree] {
	return rapid.Custom(func(t *rapid.T) tree {
		leaves := rapid.Custom(drawLeaf)
		v := tree{
			rapid.Bool().Draw(t, "flag"), rapid.Int().Draw(t, "i"), rapid.Int8().Draw(t, "i8"), rapid.Int16().Draw(t, "i16"),
			rapid.Int32().Draw(t, "i32"), rapid.Int64().Draw(t, "i64"), rapid.Uint8().Draw(t, "u8"), rapid.Uint16().Draw(t, "u16"),
			rapid.Uint32().Draw(t, "u32"), rapid.Float64().Draw(t, "f"), drawLeaf(t), drawLeaf(t),
			rapid.SliceOfN(leaves, 1, 5).Draw(t, "many"), rapid.MapOf(rapid.String(), leaves).Draw(t, "by name"),
			rapid.MapOf(rapid.Map(rapid.String(), func(s string) phase { return phase(s) }),
				rapid.SliceOfN(rapid.String(), 1, 3)).Draw(t, "lists"),
			[]map[string][]tree{},
		}
		if depth > 0 {
			v.Deep = rapid.SliceOfN(rapid.MapOfN(rapid.String(), rapid.SliceOfN(drawTree(depth-1), 1, 2), 0, 2), 0, 2).Draw(t, "deep")
		}
		return v
	})
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawTree(2).Draw(t, "value")
		for _, form := range [][]byte{Encode(want), Encode(&want)} {
			var got tree
			if err := Decode(form, &got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("%+v was decoded as %+v", want, got)
			}
		}
	})
}

func TestEncodeExtremeValues(t *testing.T) {
	want := tree{I: math.MinInt, I8: math.MinInt8, I16: math.MinInt16, I32: math.MinInt32, I64: math.MaxInt64, U8: math.MaxUint8,
		U16: math.MaxUint16, U32: math.MaxUint32, F: math.Inf(-1), One: leaf{Wait: math.MaxInt64}}
	var got tree
	if err := Decode(Encode(want), &got); err != nil {
		t.Fatal(err)
	}
	for i := range reflect.TypeFor[tree]().NumField() { // nil and empty are the same on the wire
		g, w := reflect.ValueOf(got).Field(i), reflect.ValueOf(want).Field(i)
		if k := g.Kind(); k == reflect.Slice || k == reflect.Map {
			if g.Len() != 0 {
				t.Errorf("%s has %v", reflect.TypeFor[tree]().Field(i).Name, g)
			}
		} else if k != reflect.Struct && !g.Equal(w) {
			t.Errorf("%s is %v, want %v", reflect.TypeFor[tree]().Field(i).Name, g, w)
		}
	}
	if got.One.Wait != want.One.Wait {
		t.Errorf("wait is %v", got.One.Wait)
	}
}

func TestDecodedStructDoesNotAliasInput(t *testing.T) {
	form := Encode(leaf{Name: "name", Data: []byte("data")})
	var got leaf
	if err := Decode(form, &got); err != nil {
		t.Fatal(err)
	}
	clear(form)
	if got.Name != "name" || string(got.Data) != "data" {
		t.Fatalf("changed with the form: %+v", got)
	}
}

func TestAppendToDecodedBytesOverwritesNothing(t *testing.T) {
	type record struct {
		A, B   []byte
		List   []leaf
		ByName map[string]leaf
		Deep   []map[string][][]byte
	}
	one := func(b byte) leaf { return leaf{Data: []byte{b}} }
	form := Encode(record{[]byte{1}, []byte{2}, []leaf{one(3), one(4)}, map[string]leaf{"x": one(5), "y": one(6)},
		[]map[string][][]byte{{"z": {{7}, {8}}}}})
	var got record
	if err := Decode(form, &got); err != nil {
		t.Fatal(err)
	}
	var next leaf
	all := func() [][]byte {
		return [][]byte{got.A, got.B, got.List[0].Data, got.List[1].Data, got.ByName["x"].Data, got.ByName["y"].Data,
			got.Deep[0]["z"][0], got.Deep[0]["z"][1]}
	}
	for _, b := range all() {
		_ = append(b, 99)
	}
	if err := Decode(Encode(one(9)), &next); err != nil { // by the same reader, usually
		t.Fatal(err)
	}
	for i, b := range append(all(), next.Data) {
		if len(b) != 1 || b[0] != byte(i+1) {
			t.Errorf("bytes %d are %v", i+1, b)
		}
	}
}

func TestEncodeLargeFields(t *testing.T) {
	want := leaf{Name: strings.Repeat("n", 3<<20), Data: bytes.Repeat([]byte{7}, 9<<20)}
	var got leaf
	if err := Decode(Encode(want), &got); err != nil {
		t.Fatal(err)
	}
	if got.Name != want.Name || !bytes.Equal(got.Data, want.Data) {
		t.Fatalf("%d and %d bytes were decoded", len(got.Name), len(got.Data))
	}
}

func TestEncodeEmptyStruct(t *testing.T) {
	type ack struct{}
	var got ack
	if err := Decode(Encode(ack{}), &got); err != nil {
		t.Fatal(err)
	}
	if form := Encode(nil); len(form) != 0 {
		t.Fatalf("%x", form)
	}
}

func TestDecodeInvalidBytes(t *testing.T) {
	form := Encode(leaf{Name: "name", Data: []byte("data"), Wait: 5, Phase: "p"})
	for i := range form {
		if err := Decode(form[:i], new(leaf)); err == nil || !strings.Contains(err.Error(), "version") {
			t.Errorf("the first %d of %d bytes: %v", i, len(form), err)
		}
	}
	if err := Decode(append(form, 0), new(leaf)); err == nil || !strings.Contains(err.Error(), "left over") {
		t.Errorf("one byte more: %v", err)
	}
	if err := Decode(nil, new(leaf)); err == nil {
		t.Error("nothing was read as a record")
	}
	var got leaf
	if err := Decode(form, &got); err != nil || got.Name != "name" {
		t.Error("after invalid forms:", got, err)
	}
	if err := Decode([]byte{0xfe, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, new(leaf)); err == nil {
		t.Error("a string of petabytes was read")
	}
}

func TestEncodeLocalTypesOfEqualName(t *testing.T) {
	one := func() {
		type local struct{ A string }
		var got local
		if err := Decode(Encode(local{"a"}), &got); err != nil || got.A != "a" {
			t.Error(got, err)
		}
	}
	two := func() {
		type local struct{ B, C int }
		var got local
		if err := Decode(Encode(local{1, 2}), &got); err != nil || got.C != 2 {
			t.Error(got, err)
		}
	}
	one()
	two()
	one()
}

func TestConcurrentFirstEncode(t *testing.T) {
	type fresh struct{ L []leaf }
	var all sync.WaitGroup
	for range 16 {
		all.Go(func() {
			var got fresh
			if err := Decode(Encode(fresh{[]leaf{{Name: "x"}}}), &got); err != nil || got.L[0].Name != "x" {
				t.Error(got, err)
			}
		})
	}
	all.Wait()
}

func TestEncodeUnsupportedTypes(t *testing.T) {
	for _, v := range []any{struct{ U uint64 }{}, struct{ U uint }{}, struct{ F float32 }{}, struct{ M map[int]string }{},
		struct{ P *leaf }{}, struct{ A any }{}, struct{ E [2]int }{}, struct{ hidden int }{}} {
		func() {
			defer func() {
				if message, _ := recover().(string); !strings.HasPrefix(message, "rpc: ") {
					t.Errorf("%T: %q", v, message)
				}
			}()
			t.Errorf("%T was encoded as %x", v, Encode(v))
		}()
	}
}
