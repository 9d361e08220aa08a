// Package process has what every program of the serving tier is made of: the settings file of a node, the log, and the
// reaction to signals. It decides nothing about the tier.
//
// # Settings
//
// Load reads and checks the file that the environment variable LARCHROUTER_NODE_FILE names. A Settings value does not
// change after that; WatchSettings passes on a new one when the file was changed.
//
// # Log
//
// Programs log with log/slog through a RingHandler, which keeps the last 256 lines in memory and writes out few of
// them; see there for what each level does. What happens for each request is not logged.
//
// A message is a constant text in lower case: what differs between two lines goes into attributes. One thing has the
// same key in all packages:
//
//	err         the error that the line is about
//	node        core node, by name or address
//	id          identity of the disk of a core node or store
//	store       store, by node name
//	host        host, by its ID in the platform's list
//	route       route, by name
//	turn        ID of a turn
//	attempt     ID of a request, of which one call to a host is meant
//	epoch       epoch of a view
//	commit      commit index
//	index       index of an entry of the control state
//	version     version of the configuration
//	gen         generation of a placement
//	offset,     position in a value and its length,
//	size        in bytes
//	after, age  durations
//	ms          duration in milliseconds
//	operation   access to the disk that failed: read, write, expire
//
// Counts are named for what is counted: voters, hosts, seeds, missed. Three lines of a relay have the error under open,
// close and broke, since the operators' pages name them so.
package process
