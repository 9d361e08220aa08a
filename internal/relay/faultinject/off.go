//go:build !planted

// Package faultinject has faults that can be switched into the program for trials which show that their bounds fail with them. The
// program that is built without the tag "planted" has none: Is is false there, and what hangs on it is left out.
package faultinject

// The faults.
const (
	Lease    = "lease"    // a steward goes on granting on pledges that have lapsed
	Word     = "word"     // what operators say for the fleet is recorded and not carried out
	Contract = "contract" // a told limit is taken for the limit of each relay
)

// Is tells whether a fault is switched in.
func Is(string) bool { return false }
