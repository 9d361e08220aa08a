// Package routing is the operator's configuration: JSON that is parsed and validated completely, and turned into an
// immutable routing table with longest-prefix match.
//
// Parse reports the first fault with the field's path, its value and the remedy, for the operator. Of several fields of
// one name in an object the first one counts; unknown fields are ignored.
//
// A Config is immutable and safe for concurrent use.
package routing
