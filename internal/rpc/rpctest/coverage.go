package rpctest

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"
)

// RequireAllSet checks that no field of a value is zero and that no two of its numbers or strings are equal. Otherwise a dropped
// field, or two swapped ones, might go undetected. Fields in zero, such as ".Kind", may have any value.
func RequireAllSet(t testing.TB, what string, value any, zero ...string) {
	t.Helper()
	seen := map[any]bool{}
	var walk func(path string, v reflect.Value)
	walk = func(path string, v reflect.Value) {
		if slices.Contains(zero, path) {
			return
		}
		switch v.Kind() {
		case reflect.Pointer:
			walk(path, v.Elem())
			return
		case reflect.Struct:
			for i := range v.NumField() {
				walk(path+"."+v.Type().Field(i).Name, v.Field(i))
			}
			return
		}
		var leaf any
		switch {
		case v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0:
			t.Errorf("%s: %s is not set", what, path)
			return
		case v.Kind() == reflect.Bool:
			return
		case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8:
			leaf = string(v.Bytes())
		case v.Kind() == reflect.Slice:
			for i := range v.Len() {
				walk(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
			}
			return
		case v.CanInt():
			leaf = v.Int()
		default:
			leaf = v.String()
		}
		if seen[leaf] {
			t.Errorf("%s: %s has the value %v of another field", what, path, leaf)
		}
		seen[leaf] = true
	}
	walk("", reflect.ValueOf(value))
}

// boolField is a field of a struct that has several booleans.
type boolField struct {
	of   reflect.Type
	name string
}

// RequireBoolsDistinguished checks that two swapped booleans of a struct would be detected: if a struct has several,
// there must be a message for each in which only that one is true.
func RequireBoolsDistinguished(t testing.TB, full, single []any) {
	t.Helper()
	needed, found := map[boolField]bool{}, map[boolField]bool{}
	for _, value := range full {
		addTrueBools(needed, reflect.ValueOf(value), math.MaxInt)
	}
	for _, value := range single {
		addTrueBools(found, reflect.ValueOf(value), 1)
	}
	for f := range needed {
		if !found[f] {
			t.Errorf("%v has several booleans: add a message in which only %s is true", f.of, f.name)
		}
	}
}

// addTrueBools adds the booleans that are true in structs with several booleans, of which at most maxTrue are true.
func addTrueBools(fields map[boolField]bool, v reflect.Value, maxTrue int) {
	switch v.Kind() {
	case reflect.Pointer:
		addTrueBools(fields, v.Elem(), maxTrue)
	case reflect.Slice:
		for i := range v.Len() {
			addTrueBools(fields, v.Index(i), maxTrue)
		}
	case reflect.Struct:
		var names []string
		count := 0
		for i := range v.NumField() {
			field := v.Field(i)
			if field.Kind() != reflect.Bool {
				addTrueBools(fields, field, maxTrue)
				continue
			}
			count++
			if field.Bool() {
				names = append(names, v.Type().Field(i).Name)
			}
		}
		if count < 2 || len(names) > maxTrue {
			return
		}
		for _, name := range names {
			fields[boolField{v.Type(), name}] = true
		}
	}
}
