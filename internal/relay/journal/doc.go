// Package journal is a relay's write-ahead log: which messages it accepted, which attempts it made, and how messages were
// completed. It stores records and the state that follows from them; decisions about messages are the caller's.
//
// # Contract
//
// Append writes a batch of records to the end of the log and then applies them to the state. If it fails, none of the
// batch was recorded. Open replays the log and restores the state of all acknowledged batches; of a batch that was being
// written when the process died, it may restore any prefix. The state in memory is always complete: after Open the log
// is only written, never read.
//
// All files together never exceed Options.Budget. A batch that accepts messages (OpTaken) fails with ErrFull while an
// eighth of the budget, and the spare file on the disk, are still free: records of accepted messages find space on a full
// disk too.
//
// # Files
//
// The log is a sequence of segments, files "journal-NUMBER" with a number of eight digits or more. All integers are
// little-endian. A segment has a header
//
//	magic "larchlog" 8 | format version 4 | number 8 | sequence of its first record 8 | CRC-32C of the preceding 4
//
// followed by frames
//
//	CRC-32C of the rest 4 | length of the record 4 | sequence 8 | unsynced 4 | record
//
// The sequence rises by one from record to record through all segments, so that missing records are known by number.
// Unsynced is the number of directly preceding records that were not known to survive a loss of power when this one was
// written; it is 0 at level process. A record is encoded in the wire format of Protocol Buffers: fields of value 0 are
// omitted, unknown fields are skipped, and field numbers and operation codes are never reused.
//
// Other files are "journal.spare", space that is released when the disk is full; "journal-damaged-NUMBER-OFFSET",
// unreadable bytes saved for inspection; and "journal", the one file of format 1, which Open migrates.
//
// # Replay
//
// Unreadable bytes at the end of the last segment are a torn tail: Open truncates it, as nothing in it was acknowledged.
// A gap in the sequences of the last segment is part of the torn tail if all missing records were unsynced. Unreadable
// bytes or missing sequences anywhere else are damage: replay continues at the next frame with a higher sequence, and
// Report names the missing records, the entries that may be affected, and the ids whose accepting record is missing.
//
// # Compaction
//
// Each Append also compacts, in pieces whose size package compaction decides. Compaction rewrites the live items of the
// oldest segment (entries, outages, drains, overrides and retained ids) as records at the end of the log, and removes
// segments without live items, the oldest first. A completion therefore never leaves the log before the records that it
// completes.
//
// # Durability
//
// At level process, records survive the end of the process once Append returns: they were passed to write(2). At level
// power (Options.Power) Append syncs the segment before it returns, one sync for a batch, and so does a change of
// segments; the directory is synced when a segment is created or removed. A failed sync is final: the journal is Broken,
// every further Append fails with ErrSync, and only a restart, which replays the log, shows what the disk has.
//
// # Concurrency and ownership
//
// A Journal is not safe for concurrent use; one goroutine owns it. Entries passed to Append belong to the journal
// afterwards, and the exported maps and their contents are read-only for the caller. Compaction runs within Append, so
// there are no goroutines of the journal.
//
// # Duties of the caller
//
// The caller holds the lock of the directory (package statedir) while a journal is open; Inspect needs no lock. It appends
// a record before it acts on it: OpTaken before the message is acknowledged, OpTry before the attempt is sent. It keeps a
// record that failed with an error other than ErrSync and appends it again, in order; ErrUnwritten is its own error for
// records that have to wait meanwhile. It acts on Report: suspects may have been executed, and lost ids cannot be
// completed.
package journal
