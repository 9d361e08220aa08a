// Package teletype carries calls between the tier's own processes: remote procedure calls in frames over one kept
// TCP connection for each pair, their bodies in Avro. It decides nothing: a call ends in an answer, an error that the
// other side gave, or an error that proves nothing about the other side.
package teletype

import (
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/hamba/avro/v2"
)

var schemas sync.Map // reflect.Type to avro.Schema

// schemaOf derives the Avro schema of a Go type: records for structs, by their avro tags or field names.
func schemaOf(t reflect.Type) avro.Schema {
	if s, ok := schemas.Load(t); ok {
		return s.(avro.Schema)
	}
	var b strings.Builder
	describe(&b, t, map[reflect.Type]bool{})
	s := avro.MustParse(b.String())
	schemas.Store(t, s)
	return s
}

func describe(b *strings.Builder, t reflect.Type, seen map[reflect.Type]bool) {
	switch t.Kind() {
	case reflect.Bool:
		b.WriteString(`"boolean"`)
	case reflect.String:
		b.WriteString(`"string"`)
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Uint32, reflect.Int16, reflect.Uint16, reflect.Uint8:
		b.WriteString(`"long"`)
	case reflect.Float64:
		b.WriteString(`"double"`)
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			b.WriteString(`"bytes"`)
			return
		}
		b.WriteString(`{"type":"array","items":`)
		describe(b, t.Elem(), seen)
		b.WriteString(`}`)
	case reflect.Map:
		b.WriteString(`{"type":"map","values":`)
		describe(b, t.Elem(), seen)
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
			describe(b, f.Type, seen)
			b.WriteString(`}`)
		}
		b.WriteString(`]}`)
	default:
		panic("teletype: no Avro schema for " + t.String())
	}
}

// Encode gives the Avro form of a struct. All integers are int, int32, int64 or uint32, all fields exported.
func Encode(v any) []byte {
	t := reflect.TypeOf(v)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	b, err := avro.Marshal(schemaOf(t), v)
	if err != nil {
		panic(fmt.Sprintf("teletype: %s: %v", t, err)) // a type that schemaOf took and Avro does not: found by any test
	}
	return b
}

// Decode reads the Avro form into the struct that v points to.
func Decode(b []byte, v any) error {
	return avro.Unmarshal(schemaOf(reflect.TypeOf(v).Elem()), b, v)
}
