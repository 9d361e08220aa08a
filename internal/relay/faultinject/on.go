//go:build planted

// Package faultinject has faults that can be switched into the program for trials which show that their bounds fail with them.
package faultinject

import "os"

// The faults.
const (
	Lease    = "lease"    // a steward goes on granting on pledges that have lapsed
	Word     = "word"     // what operators say for the fleet is recorded and not carried out
	Contract = "contract" // a told limit is taken for the limit of each relay
)

var which = os.Getenv("LARCHROUTER_PLANT")

// Is tells whether a fault is switched in.
func Is(fault string) bool { return which == fault }
