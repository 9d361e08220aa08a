package routing

import (
	"iter"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// node is an object of a configuration. Its methods return the value of a field, or a fallback if the field is absent or
// null. An invalid field is recorded as a fault, unless there was one before, and parsing goes on with a fallback.
type node struct {
	gjson.Result
	path   string  // of the object in the document, empty for the document
	err    *error  // the first fault; shared by all nodes of a document
	fields []field // of the object, in their order
}

type field struct {
	name  string
	value gjson.Result
}

// readFields reads all fields of an object once, into a buffer that is reused. To search the text for each field would take
// most of the time for a large configuration.
func readFields(object gjson.Result, buffer []field) []field {
	buffer = buffer[:0]
	object.ForEach(func(key, value gjson.Result) bool {
		buffer = append(buffer, field{key.Str, value})
		return true
	})
	return buffer
}

// Get returns the first field of a name. It replaces the search of gjson.Result.
func (n node) Get(name string) gjson.Result {
	for i := range n.fields {
		if n.fields[i].name == name {
			return n.fields[i].value
		}
	}
	return gjson.Result{}
}

// pathOf returns the path of a field.
func (n node) pathOf(name string) string {
	if n.path == "" {
		return name
	}
	return n.path + "." + name
}

// fail records a fault of a field, unless there is one.
func (n node) fail(name string, value any, remedy string, args ...any) {
	if *n.err == nil {
		*n.err = invalidField(n.pathOf(name), value, remedy, args...)
	}
}

// isSet reports whether a field is neither absent nor null.
func (n node) isSet(name string) bool { return n.Get(name).Type != gjson.Null }

func (n node) stringField(name, fallback string) string {
	switch v := n.Get(name); v.Type {
	case gjson.Null:
		return fallback
	case gjson.String:
		return strings.Clone(v.Str) // a copy, so that the document can be freed
	default:
		n.fail(name, v.Raw, "give a string")
		return fallback
	}
}

// strings returns an array of strings; none if it is absent or null.
func (n node) strings(name string) (values []string) {
	v := n.Get(name)
	if v.Type == gjson.Null {
		return nil
	}
	if !v.IsArray() {
		n.fail(name, v.Raw, "give an array of strings")
		return nil
	}
	v.ForEach(func(_, element gjson.Result) bool {
		if element.Type != gjson.String {
			n.fail(name+"."+strconv.Itoa(len(values)), element.Raw, "give a string")
			return false
		}
		values = append(values, strings.Clone(element.Str))
		return true
	})
	return values
}

func (n node) boolField(name string) bool {
	v := n.Get(name)
	if v.Type != gjson.Null && !v.IsBool() {
		n.fail(name, v.Raw, "give true or false")
	}
	return v.Type == gjson.True
}

// numberField returns a number between lowest and highest.
func (n node) numberField(name string, lowest, highest, fallback float64) float64 {
	v := n.Get(name)
	if v.Type == gjson.Null {
		return fallback
	}
	if v.Type != gjson.Number || !(v.Num >= lowest && v.Num <= highest) {
		n.fail(name, v.Raw, "give a number from %v to %v", lowest, highest)
		return fallback
	}
	return v.Num
}

// intField returns an integer between lowest and maxInt.
func (n node) intField(name string, lowest, fallback int) int {
	v := n.numberField(name, float64(lowest), maxInt, float64(fallback))
	if v != math.Trunc(v) {
		n.fail(name, v, "give a whole number")
	}
	return int(v)
}

// durationField returns a duration that is given as a number of units; 0 is a fault unless allowZero is set.
func (n node) durationField(name string, unit time.Duration, allowZero bool, fallback time.Duration) time.Duration {
	if !n.isSet(name) {
		return fallback
	}
	v := n.numberField(name, 0, float64(maxDuration/unit), 0)
	d := time.Duration(v * float64(unit))
	if d == 0 && !allowZero {
		n.fail(name, n.Get(name).Raw, "give more than 0")
	}
	return d
}

// versionField returns an integer above 0, without rounding.
func (n node) versionField(name string) int64 {
	v := n.Get(name)
	if v.Type == gjson.Number {
		if i, err := strconv.ParseInt(v.Raw, 10, 64); err == nil && i > 0 {
			return i
		}
		if v.Num >= 1 && v.Num <= maxInt && v.Num == math.Trunc(v.Num) { // 7.0
			return int64(v.Num)
		}
	}
	value := v.Raw
	if !v.Exists() {
		value = "absent"
	}
	n.fail(name, value, "give a whole number above 0")
	return 0
}

// objectField returns an object; ok is false if it is absent, null or not an object.
func (n node) objectField(name string) (object node, ok bool) {
	v := n.Get(name)
	if v.Type == gjson.Null {
		return node{}, false
	}
	if !v.IsObject() {
		n.fail(name, v.Raw, "give an object")
		return node{}, false
	}
	return node{v, n.pathOf(name), n.err, readFields(v, nil)}, true
}

// objects iterates over the objects of an array, until the first fault. Each is valid until the next one.
func (n node) objects(name string, required bool) iter.Seq[node] {
	return func(yield func(node) bool) {
		v := n.Get(name)
		if v.Type == gjson.Null && !required {
			return
		}
		if !v.IsArray() {
			value := v.Raw
			if !v.Exists() {
				value = "absent"
			}
			n.fail(name, value, "give an array of objects")
			return
		}
		i := 0
		var buffer []field
		v.ForEach(func(_, element gjson.Result) bool {
			path := name + "." + strconv.Itoa(i)
			i++
			if !element.IsObject() {
				n.fail(path, element.Raw, "give an object")
			}
			if *n.err != nil {
				return false
			}
			buffer = readFields(element, buffer)
			return yield(node{element, n.pathOf(path), n.err, buffer})
		})
	}
}
