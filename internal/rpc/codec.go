package rpc

import (
	"fmt"
	"reflect"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hamba/avro/v2"
)

// avroAPI has limits that no frame reaches: MaxFrame is the one that counts.
var avroAPI = avro.Config{MaxByteSliceSize: MaxFrame, MaxSliceAllocSize: MaxFrame}.Freeze()

var readers = sync.Pool{New: func() any { return avro.NewReader(nil, 0, avro.WithReaderConfig(avroAPI)) }}

// Encode returns the Avro form of a struct, or of the struct that v points to; that of nil is empty. The package comment
// says which types fields may have; Encode panics for others.
func Encode(v any) []byte {
	if v == nil {
		return nil
	}
	t := reflect.TypeOf(v)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	b, err := avroAPI.Marshal(schemaOf(t), v)
	if err != nil {
		panic(fmt.Sprintf("rpc: %s: %v", t, err)) // a type that schemaOf took and Avro does not: found by any test
	}
	return b
}

// Decode reads an Avro form, to its last byte, into the struct that v points to. The struct does not refer to b
// afterwards. After an error the struct's fields are undefined.
func Decode(b []byte, v any) error {
	t := reflect.TypeOf(v).Elem()
	r := readers.Get().(*avro.Reader)
	defer readers.Put(r)
	r.Reset(b).ReadVal(schemaOf(t), v)
	err := r.Error
	if r.Error = nil; err == nil {
		if r.Peek(); r.Error == nil {
			err = errors.New("bytes are left over")
		}
	}
	r.Error = nil
	r.Reset(nil)
	if err != nil {
		return errors.Wrapf(err, "%s cannot be read, the two sides differ in version", t)
	}
	clipBytes(reflect.ValueOf(v).Elem())
	return nil
}

var typesWithBytes sync.Map // reflect.Type to bool: whether values have byte slices

// containsBytes reports whether values of a type have byte slices. Types in visited are not looked at again.
func containsBytes(t reflect.Type, visited map[reflect.Type]bool) bool {
	if visited[t] {
		return false
	}
	visited[t] = true
	switch t.Kind() {
	case reflect.Slice:
		return t.Elem().Kind() == reflect.Uint8 || containsBytes(t.Elem(), visited)
	case reflect.Map:
		return containsBytes(t.Elem(), visited)
	case reflect.Struct:
		for i := range t.NumField() {
			if containsBytes(t.Field(i).Type, visited) {
				return true
			}
		}
	}
	return false
}

// clipBytes reduces the capacity of byte slices to their length. Avro's reader cuts short ones from a common buffer, and
// an append to one would overwrite the next.
func clipBytes(v reflect.Value) {
	t := v.Type()
	switch t.Kind() {
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			v.SetCap(v.Len())
			return
		}
	case reflect.Map, reflect.Struct:
	default:
		return
	}
	contains, known := typesWithBytes.Load(t)
	if !known {
		contains = containsBytes(t, map[reflect.Type]bool{})
		typesWithBytes.Store(t, contains)
	}
	if contains.(bool) {
		clipMembers(v)
	}
}

// clipMembers applies clipBytes to the members of a slice, map or struct.
func clipMembers(v reflect.Value) {
	switch v.Kind() {
	case reflect.Slice:
		for i := range v.Len() {
			clipBytes(v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			member := reflect.New(v.Type().Elem()).Elem() // members of a map cannot be changed in place
			member.Set(v.MapIndex(key))
			clipBytes(member)
			v.SetMapIndex(key, member)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			clipBytes(v.Field(i))
		}
	}
}
