// Package earlysignal handles the signals that reach a node of the tier before the Go runtime and the program have installed their
// handlers. Importing it is enough. By default such a signal ends the process:
//
//   - SIGTERM ends it with code 0: it has done nothing yet. The same holds until the program calls signal.Notify for SIGTERM.
//   - SIGHUP and SIGUSR1 are ignored until the program handles them: the settings are read after that anyway.
//
// It does so in processes that have LARCHROUTER_NODE_FILE in their environment, and for signals whose disposition is the default one.
// A signal that arrives before the dynamic linker has started the program still ends the process.
package earlysignal
