// Package fairshare shares the link and the processor of a front among long responses, so that none of them takes them from other
// requests, however fast its host sends.
//
// A Pacer has a rate in bytes a second for all long responses together. A response that has to wait counts as hungry; each hungry one
// gets an equal part of the rate. One that takes less than its part never waits, so that slow streams are as they were, however many
// others send without end.
//
// The rate is at most that of the link. While hungry responses are open it is adjusted to the processor time that the process takes:
// it falls while that is over ProcessorShare of what the process is granted, and rises again while it is under it. While there are no other
// requests, all that is granted may be used. What leaves the processor idle is never slowed down below the link.
//
// The decision is pure: see nextRate.
package fairshare
