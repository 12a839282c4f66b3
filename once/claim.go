package once

import (
	"fmt"
)

// maxHosts bounds the number of entry hosts whose latest incarnation is kept.
const maxHosts = 1 << 14

// claim grants the key to the claim, or returns why it can't be granted.
func (l *Ledger) claim(c Claim) Result {
	if err := c.Key.Validate(); err != nil {
		return Result{Status: StatusBad, Detail: err.Error()}
	}
	// A claim from an earlier incarnation of the process can be delayed in the
	// network. Granting it would leave the key in flight with no process to
	// send the call.
	if c.Owner.Incarnation < l.incarnations[c.Owner.Host] {
		return Result{Status: StatusStaleOwner, Detail: "a later incarnation of this entry host is known"}
	}
	if _, known := l.incarnations[c.Owner.Host]; !known && len(l.incarnations) >= maxHosts {
		return Result{Status: StatusFull, RetryMillis: 1000, Detail: "too many entry hosts have claimed"}
	}
	l.recordIncarnation(c.Owner)
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
		// The same claim, resent because its answer was lost.
		return Result{Status: StatusGranted}
	case rec.isAbandoned(c.ID):
		return Result{Status: StatusReleased, Reason: rec.reason}
	case rec.phase == phaseReleased:
		return l.reclaim(id, rec, c)
	default:
		return rec.result()
	}
}

// claimNew grants a key that has no record.
func (l *Ledger) claimNew(id KeyID, c Claim) Result {
	if status, detail := l.checkNewKey(c.Key, id); status != StatusInvalid {
		return Result{Status: status, Detail: detail}
	}
	if l.moved(id) {
		return Result{Status: StatusMoved}
	}
	if refusal, full := l.checkCapacity(c.Key); full {
		return refusal
	}
	rec := l.insert(id, c.Key, c.Digest, c.Owner, c.ID)
	rec.request = c.Request
	l.grant(id, rec, c)
	return Result{Status: StatusGranted}
}

// reclaim grants a released key to another claim. The call was not sent under
// the previous one.
func (l *Ledger) reclaim(id KeyID, rec *record, c Claim) Result {
	rec.claim = c.ID
	rec.owner = c.Owner
	rec.request = c.Request
	rec.reason = ""
	l.grant(id, rec, c)
	return Result{Status: StatusGranted}
}

// grant marks the key as claimed and starts its hold.
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

// insert adds a record for the key. The caller sets its phase.
func (l *Ledger) insert(id KeyID, key Key, digest Digest, owner Owner, claim ClaimID) *record {
	date, dated := key.Date()
	retainFrom := l.now
	if dated {
		retainFrom = max(retainFrom, date.UnixMilli())
	}
	rec := &record{
		digest:     digest,
		claim:      claim,
		owner:      owner,
		team:       key.Team,
		dated:      dated,
		retainFrom: retainFrom,
	}
	l.records[id] = rec
	l.expiries.add(l.expiresAt(rec), id)
	l.charge(rec, recordBytes)
	return rec
}

// charge adds bytes, which may be negative, to the memory accounted to the
// record, its team and the ledger.
func (l *Ledger) charge(rec *record, bytes int64) {
	rec.bytes += bytes
	l.bytes += bytes
	l.teams[rec.team] += bytes
	if l.teams[rec.team] == 0 {
		delete(l.teams, rec.team)
	}
}

// checkCapacity returns a StatusFull result and true if the ledger or the team
// has no memory left for another claim.
func (l *Ledger) checkCapacity(key Key) (Result, bool) {
	const detail = "the at-most-once ledger is full (%s)"
	scope := ""
	switch {
	case l.bytes+recordBytes > l.options.MaxBytes:
		scope = "all teams"
	case l.teams[key.Team]+recordBytes > l.options.MaxTeamBytes:
		scope = "this team"
	default:
		return Result{}, false
	}
	retry := int64(1000)
	if next, ok := l.expiries.next(); ok {
		retry = max(retry, next-l.now)
	}
	return Result{Status: StatusFull, RetryMillis: retry, Detail: fmt.Sprintf(detail, scope)}, true
}
