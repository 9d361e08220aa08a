// Package rpc carries calls between the tier's own processes: remote procedure calls in frames over one kept
// TCP connection for each pair, their bodies in Avro. It decides nothing: a call ends in an answer, an error that the
// other side gave, or an error that proves nothing about the other side.
package rpc

import (
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hamba/avro/v2"
)

var schemas sync.Map // reflect.Type to avro.Schema

// schemaOf derives the Avro schema of a Go type: records for structs, by their avro tags or field names.
func schemaOf(t reflect.Type) avro.Schema {
	if s, ok := schemas.Load(t); ok {
		return s.(avro.Schema)
	}
	var b strings.Builder
	writeSchema(&b, t, map[reflect.Type]bool{})
	s, err := avro.ParseWithCache(b.String(), "", new(avro.SchemaCache))
	if err != nil {
		panic(fmt.Sprintf("rpc: no Avro schema for %s: %v", t, err))
	}
	schemas.Store(t, s)
	return s
}

func writeSchema(b *strings.Builder, t reflect.Type, seen map[reflect.Type]bool) {
	switch t.Kind() {
	case reflect.Bool:
		b.WriteString(`"boolean"`)
	case reflect.String:
		b.WriteString(`"string"`)
	case reflect.Int, reflect.Int64, reflect.Uint32:
		b.WriteString(`"long"`)
	case reflect.Int32, reflect.Int16, reflect.Uint16, reflect.Int8, reflect.Uint8:
		b.WriteString(`"int"`)
	case reflect.Float64:
		b.WriteString(`"double"`)
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			b.WriteString(`"bytes"`)
			return
		}
		b.WriteString(`{"type":"array","items":`)
		writeSchema(b, t.Elem(), seen)
		b.WriteString(`}`)
	case reflect.Map:
		if t.Key().Kind() != reflect.String {
			panic("rpc: no Avro schema for the keys of " + t.String())
		}
		b.WriteString(`{"type":"map","values":`)
		writeSchema(b, t.Elem(), seen)
		b.WriteString(`}`)
	case reflect.Struct:
		name := strings.ReplaceAll(t.PkgPath(), "/", "_") + "_" + t.Name()
		if seen[t] {
			fmt.Fprintf(b, "%q", name)
			return
		}
		seen[t] = true
		fmt.Fprintf(b, `{"type":"record","name":%q,"fields":[`, name)
		for i := range t.NumField() {
			f := t.Field(i)
			if i > 0 {
				b.WriteString(",")
			}
			fmt.Fprintf(b, `{"name":%q,"type":`, f.Name)
			writeSchema(b, f.Type, seen)
			b.WriteString(`}`)
		}
		b.WriteString(`]}`)
	default:
		panic("rpc: no Avro schema for " + t.String())
	}
}

// avroAPI has Avro's own bounds out of the way: a frame's is the one that counts.
var avroAPI = avro.Config{MaxByteSliceSize: MaxFrame, MaxSliceAllocSize: MaxFrame}.Freeze()

// Encode gives the Avro form of a struct with exported fields: booleans, strings, numbers but uint, uint64 and float32,
// slices, maps from strings, and structs of these. The form of nil is empty.
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

var readers = sync.Pool{New: func() any { return avro.NewReader(nil, 0, avro.WithReaderConfig(avroAPI)) }}

// Decode reads the whole Avro form into the struct that v points to. The struct shares nothing with the form.
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

var typesWithBytes sync.Map // reflect.Type to whether it has byte slices

func hasBytes(t reflect.Type, seen map[reflect.Type]bool) bool {
	if seen[t] {
		return false
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Slice:
		return t.Elem().Kind() == reflect.Uint8 || hasBytes(t.Elem(), seen)
	case reflect.Map:
		return hasBytes(t.Elem(), seen)
	case reflect.Struct:
		for i := range t.NumField() {
			if hasBytes(t.Field(i).Type, seen) {
				return true
			}
		}
	}
	return false
}

// clipBytes ends the capacity of byte slices with their length: Avro's reader cuts short ones from a common buffer, and an
// append to one would write over the next.
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
	has, known := typesWithBytes.Load(t)
	if !known {
		has = hasBytes(t, map[reflect.Type]bool{})
		typesWithBytes.Store(t, has)
	}
	if !has.(bool) {
		return
	}
	switch t.Kind() {
	case reflect.Slice:
		for i := range v.Len() {
			clipBytes(v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			one := reflect.New(t.Elem()).Elem()
			one.Set(v.MapIndex(k))
			clipBytes(one)
			v.SetMapIndex(k, one)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			clipBytes(v.Field(i))
		}
	}
}
