// Package discovery is service discovery: the platform's list of hosts as an immutable, versioned table.
//
// Client fetches the complete list from the platform's HTTP API. It has no schedule of its own: one core node at a time
// has the singleton role of fetching, and decides when. That node numbers each changed list (NextNumber) and distributes
// it through the feed, in full or as a Delta to a list that the follower has (History).
//
// Lists are soft state: they are not in the replicated log. A follower keeps the list with the highest (Term, Number),
// see List.Newer. A List must not be changed once it is shared.
package discovery
