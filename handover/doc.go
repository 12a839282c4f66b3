// Package handover decides what entries pass on of what they have learned, so that an entry that
// starts need not learn it again.
//
// An entry learns the prefill rate of a service's engines, the sizes of its prompts and how long
// callers wait from its own requests, a few at a time: with many entries, or under load, none has
// enough observations for seconds after its start, and all choose by assumed values meanwhile. The
// load that this package answers is that of a restart of all entries into a crowd. Entries report
// their observations rarely (Reporter), a host that has those of many pools them (Merge), and an
// entry that holds few of its own starts from the result.
//
// A snapshot may be damaged, old, written by another build or by a process that is wrong. It only
// replaces the values that an entry would assume otherwise: each entry's own observations prevail as
// soon as it has enough of them.
package handover
