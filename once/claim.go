package once

import (
	"fmt"
)

// maxHosts bounds the entry hosts whose incarnations are remembered.
const maxHosts = 1 << 14

func (l *Ledger) claim(c Claim) Result {
	if err := c.Key.Validate(); err != nil {
		return Result{Status: StatusBad, Detail: err.Error()}
	}
	// A claim of a process that has died since can be delayed in the network.
	// Granting it would leave the key in flight with nobody to send the call.
	if c.Owner.Incarnation < l.incarnations[c.Owner.Host] {
		return Result{Status: StatusStaleOwner, Detail: "a later incarnation of this entry host is known"}
	}
	if _, known := l.incarnations[c.Owner.Host]; !known && len(l.incarnations) >= maxHosts {
		return Result{Status: StatusFull, RetryMillis: 1000, Detail: "too many entry hosts have claimed"}
	}
	l.noteIncarnation(c.Owner)
	id := c.Key.ID()
	rec, known := l.records[id]
	if !known {
		return l.claimNew(id, c)
	}
	if rec.digest != c.Digest {
		return Result{Status: StatusConflict}
	}
	switch {
	case rec.phase == phaseClaimed && rec.claim == c.ID:
		// The same claim, resent after a lost answer.
		return Result{Status: StatusGranted}
	case rec.isDead(c.ID):
		return Result{Status: StatusReleased, Reason: rec.reason}
	case rec.phase == phaseReleased:
		return l.reclaim(id, rec, c)
	default:
		return rec.result()
	}
}

func (l *Ledger) claimNew(id KeyID, c Claim) Result {
	if status, detail := l.tooOld(c.Key, id); status != StatusInvalid {
		return Result{Status: status, Detail: detail}
	}
	if l.moved(id) {
		return Result{Status: StatusMoved}
	}
	if refusal, full := l.full(c.Key); full {
		return refusal
	}
	rec := l.insert(id, c.Key, c.Digest, c.Owner, c.ID)
	rec.request = c.Request
	l.grant(id, rec, c)
	return Result{Status: StatusGranted}
}

// reclaim lets another claim have a key that was given back: nothing ran.
func (l *Ledger) reclaim(id KeyID, rec *record, c Claim) Result {
	rec.claim = c.ID
	rec.owner = c.Owner
	rec.request = c.Request
	rec.reason = ""
	l.grant(id, rec, c)
	return Result{Status: StatusGranted}
}

func (l *Ledger) grant(id KeyID, rec *record, c Claim) {
	hold := c.HoldMillis
	if hold <= 0 || hold > l.options.MaxHoldMillis {
		hold = l.options.MaxHoldMillis
	}
	rec.phase = phaseClaimed
	rec.holdEnd = l.now + hold
	l.holds.add(rec.holdEnd, id)
	l.trackOwner(rec.owner.Host, id)
}

func (l *Ledger) insert(id KeyID, key Key, digest Digest, owner Owner, claim ClaimID) *record {
	date, dated := key.Date()
	from := l.now
	if dated {
		from = max(from, date.UnixMilli())
	}
	rec := &record{
		digest: digest,
		claim:  claim,
		owner:  owner,
		team:   key.Team,
		dated:  dated,
		from:   from,
	}
	l.records[id] = rec
	l.forgets.add(l.forgetAt(rec), id)
	l.charge(rec, recordBytes)
	return rec
}

func (l *Ledger) charge(rec *record, bytes int64) {
	rec.bytes += bytes
	l.bytes += bytes
	l.teams[rec.team] += bytes
	if l.teams[rec.team] == 0 {
		delete(l.teams, rec.team)
	}
}

// full tells whether there is no room for another claim.
func (l *Ledger) full(key Key) (Result, bool) {
	const detail = "the at-most-once ledger is full (%s)"
	which := ""
	switch {
	case l.bytes+recordBytes > l.options.MaxBytes:
		which = "all teams"
	case l.teams[key.Team]+recordBytes > l.options.MaxTeamBytes:
		which = "this team"
	default:
		return Result{}, false
	}
	retry := int64(1000)
	if next, ok := l.forgets.next(); ok {
		retry = max(retry, next-l.now)
	}
	return Result{Status: StatusFull, RetryMillis: retry, Detail: fmt.Sprintf(detail, which)}, true
}
