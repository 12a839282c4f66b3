// Package disktest provides an in-memory file system that injects disk faults:
// crashes that lose unsynced data, short writes, a full disk and failed syncs.
package disktest
