// Package modelhost has stand-ins for the hosts behind the serving tier, for tests and the demo, written from the
// protocol: inference servers that stream events, and servers of plain calls (tools).
//
// A host does nothing but wait. Its answers depend on the attempt's id alone, so that a test knows them in advance (Event,
// ToolBody). Every request that a host executes is recorded as a Run in a RunLog, which hosts can share. SetFault makes
// requests go wrong. Hosts and logs are safe for concurrent use; the caller closes each host.
package modelhost
