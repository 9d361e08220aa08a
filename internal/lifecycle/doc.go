// Package lifecycle starts and ends the processes of the serving tier, the same way for all roles.
//
// # Starts
//
// A condition that passes by itself does not end a process: Await retries until the condition has passed, for startTimeout at most, and
// logs what it waits for. It covers a port that another socket has, an address that the machine does not have yet, a data folder that the
// predecessor has not closed yet, a full disk, and file descriptors that have run out. A settings file that cannot be used may be one that
// is being written: it is read again for settingsTimeout. Until everything is there a process listens nowhere, so that it is not ready.
//
// # Ends
//
// Run returns an exit code that tells the cause, and writes a last line with the cause, the code, the age of the process and its peak
// memory. After an error the lines of the log that were only kept in memory come before it. docs/operate/ends.md has the table.
package lifecycle
