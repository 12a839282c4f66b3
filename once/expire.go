package once

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
)

// maxExpirePerCommand bounds the number of records that one command drops, and
// with it the time that a command takes.
const maxExpirePerCommand = 64

// checkNewKey returns the status and detail with which a key without a record
// is refused, or StatusInvalid if it may be claimed. A key that may have been
// run and expired since is refused.
func (l *Ledger) checkNewKey(key Key, id KeyID) (Status, string) {
	date, dated := key.Date()
	if dated {
		// A record expires only once both its key's date and its claim lie
		// further back than the retention. The date of an expired key is
		// therefore at or before the cutoff from then on, and this check
		// refuses the key permanently.
		if date.UnixMilli() <= l.expiryCutoff() {
			return StatusExpired, "the date in this key is older than the retention"
		}
		if date.UnixMilli() > l.now+l.options.SkewMillis {
			return StatusBad, "the date in this key lies in the future"
		}
		return StatusInvalid, ""
	}
	if l.expired.has(id) {
		return StatusExpired, "a key of this name was used longer ago than the retention"
	}
	if l.options.RequireDate {
		return StatusBad, "keys must carry a date: a UUID of version 7 or <Unix milliseconds>.<text>"
	}
	if l.expired.count()+int64(len(l.records)) >= l.options.MaxExpired {
		return StatusFull, "no more keys without a date can be remembered; use keys that carry one"
	}
	return StatusInvalid, ""
}

// expireHolds marks the claims whose hold has ended without an outcome as
// unknown.
func (l *Ledger) expireHolds() {
	for {
		due, ok := l.holds.popDue(l.now)
		if !ok {
			return
		}
		rec := l.records[due.id]
		if rec != nil && rec.phase == phaseClaimed && rec.holdEnd <= l.now {
			l.markOwnerLost(due.id, rec)
		}
	}
}

// expiryCutoff returns the date, in Unix milliseconds, up to which dated keys
// are refused as expired.
func (l *Ledger) expiryCutoff() int64 {
	return max(l.minCutoff, l.now-l.options.RetentionMillis)
}

// expiresAt returns the ledger time at which a record is dropped. It is later
// than the end of the record's hold: a key whose record were dropped while in
// flight could be granted a second time.
func (l *Ledger) expiresAt(rec *record) int64 {
	return max(rec.retainFrom+l.options.RetentionMillis, rec.holdEnd+l.options.MaxHoldMillis)
}

// expireRecords drops up to maxExpirePerCommand records past their retention,
// oldest first. The choice depends on the records alone and not on stale
// entries in the queue, because a ledger restored from a snapshot doesn't have
// those.
func (l *Ledger) expireRecords() {
	for dropped := 0; dropped < maxExpirePerCommand; {
		due, ok := l.expiries.popDue(l.now)
		if !ok {
			return
		}
		rec := l.records[due.id]
		if rec == nil {
			continue
		}
		if at := l.expiresAt(rec); at != due.at {
			l.expiries.add(at, due.id)
			continue
		}
		if !rec.dated {
			l.expired.add(due.id)
		}
		l.charge(rec, -rec.bytes)
		delete(l.records, due.id)
		dropped++
	}
}

// deadline is one entry of a queue ordered by time and then by key, so that
// every replica processes entries in the same order.
type deadline struct {
	at int64
	id KeyID
}

// deadlines is a min-heap of deadlines.
type deadlines []deadline

func (d deadlines) Len() int      { return len(d) }
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deadlines) Less(i, j int) bool {
	if d[i].at != d[j].at {
		return d[i].at < d[j].at
	}
	return bytes.Compare(d[i].id[:], d[j].id[:]) < 0
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	item := (*d)[last]
	*d = (*d)[:last]
	return item
}

func (d *deadlines) add(at int64, id KeyID) { heap.Push(d, deadline{at: at, id: id}) }

// next returns the earliest time in the queue.
func (d deadlines) next() (int64, bool) {
	if len(d) == 0 {
		return 0, false
	}
	return d[0].at, true
}

// popDue removes and returns the earliest deadline if it is at or before now.
func (d *deadlines) popDue(now int64) (deadline, bool) {
	if len(*d) == 0 || (*d)[0].at > now {
		return deadline{}, false
	}
	return heap.Pop(d).(deadline), true
}

// DigestBody returns the digest of the body of an answer.
func DigestBody(body []byte) Digest { return sha256.Sum256(body) }
