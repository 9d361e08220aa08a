// Package hostile has tests of whole tiers against clients and hosts that do not keep to the protocol: clients stop in the middle of
// a body, send more than the limits permit, read no answer, or open connections and leave them idle; hosts send responses without end.
// Each test plays one kind of crowd against real processes whose limits are low, and checks what does not depend on the machine's speed: the process lives, its memory
// and its descriptors stay within what the settings grant, ordinary callers get answers, and the budget is empty at the end.
//
// The tests measure the memory of processes: run them one at a time, apart from other load, as .ci/run does.
package hostile
