package rpc

import (
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/hamba/avro/v2"
)

var schemas sync.Map // reflect.Type to avro.Schema

// schemaOf returns the Avro schema of a Go type, with records for structs. It panics for a type that has none. Two types
// of the same name do not meet: each schema is parsed with a cache of its own.
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

// writeSchema writes the JSON form of a type's schema. Records that are in defined are referred to by name.
func writeSchema(b *strings.Builder, t reflect.Type, defined map[reflect.Type]bool) {
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
		writeSchema(b, t.Elem(), defined)
		b.WriteString(`}`)
	case reflect.Map:
		if t.Key().Kind() != reflect.String {
			panic("rpc: no Avro schema for the keys of " + t.String())
		}
		b.WriteString(`{"type":"map","values":`)
		writeSchema(b, t.Elem(), defined)
		b.WriteString(`}`)
	case reflect.Struct:
		writeRecord(b, t, defined)
	default:
		panic("rpc: no Avro schema for " + t.String())
	}
}

// writeRecord writes the schema of a struct, or its name if it is defined already.
func writeRecord(b *strings.Builder, t reflect.Type, defined map[reflect.Type]bool) {
	name := strings.ReplaceAll(t.PkgPath(), "/", "_") + "_" + t.Name()
	if defined[t] {
		fmt.Fprintf(b, "%q", name)
		return
	}
	defined[t] = true
	fmt.Fprintf(b, `{"type":"record","name":%q,"fields":[`, name)
	for i := range t.NumField() {
		f := t.Field(i)
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(b, `{"name":%q,"type":`, f.Name)
		writeSchema(b, f.Type, defined)
		b.WriteString(`}`)
	}
	b.WriteString(`]}`)
}
