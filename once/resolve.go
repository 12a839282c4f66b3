package once

import (
	"slices"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
)

func (l *Ledger) release(r Release) Result {
	id := r.Key.ID()
	rec, known := l.records[id]
	if !known {
		return l.releaseBeforeClaim(id, r)
	}
	if rec.claim != r.ID {
		// Either another claim holds the key, or this claim held it and was
		// released before. Both get the same answer, because otherwise a
		// release that is resent after its answer was lost would appear to have
		// failed.
		l.abandon(rec, r.ID)
		return Result{Status: StatusReleased, Reason: r.Reason}
	}
	if rec.owner != r.Owner {
		return Result{Status: StatusBad, Detail: "only its owner can release a claim"}
	}
	if rec.phase == phaseReleased {
		return Result{Status: StatusReleased, Reason: rec.reason}
	}
	if rec.phase == phaseAnswered && !rec.ownerLost {
		return rec.result()
	}
	l.dropAnswer(rec)
	l.untrackOwner(rec.owner.Host, id)
	rec.phase = phaseReleased
	rec.reason = r.Reason
	l.abandon(rec, r.ID)
	l.notifyResolved(id)
	return Result{Status: StatusReleased, Reason: r.Reason}
}

// releaseBeforeClaim stores a release that arrives before its claim, so that
// the claim is refused when it arrives. Otherwise the key would stay in flight
// and then become unknown, although the owner has already answered its caller
// that the call was not run.
func (l *Ledger) releaseBeforeClaim(id KeyID, r Release) Result {
	if err := r.Key.Validate(); err != nil {
		return Result{Status: StatusBad, Detail: err.Error()}
	}
	if status, detail := l.checkNewKey(r.Key, id); status != StatusInvalid {
		return Result{Status: status, Detail: detail}
	}
	if l.moved(id) {
		return Result{Status: StatusMoved}
	}
	if refusal, full := l.checkCapacity(r.Key); full {
		return refusal
	}
	rec := l.insert(id, r.Key, r.Digest, r.Owner, r.ID)
	rec.phase = phaseReleased
	rec.reason = r.Reason
	l.abandon(rec, r.ID)
	return Result{Status: StatusReleased, Reason: r.Reason}
}

// abandon remembers that a claim was released. Otherwise a copy of the claim
// that was delayed in the network could be granted the key after the release,
// with no process left to send the call, and the outcome would become unknown
// although the call never ran. The number of claims kept is bounded; a copy of
// an older one causes such a false unknown, but never a second run.
func (l *Ledger) abandon(rec *record, claim ClaimID) {
	if rec.isAbandoned(claim) || !l.hasCapacity(rec.team, int64(len(claim))) {
		return
	}
	if len(rec.abandoned) == maxAbandoned {
		rec.abandoned = slices.Delete(rec.abandoned, 0, 1)
		l.charge(rec, -int64(len(claim)))
	}
	rec.abandoned = append(rec.abandoned, claim)
	l.charge(rec, int64(len(claim)))
}

func (r *record) isAbandoned(claim ClaimID) bool { return slices.Contains(r.abandoned, claim) }

func (l *Ledger) record(r Record) Result {
	id := r.Key.ID()
	rec, known := l.records[id]
	if !known || rec.claim != r.ID {
		return Result{Status: StatusMissing, Detail: "no such claim"}
	}
	switch {
	case rec.phase == phaseReleased:
		return rec.result()
	case rec.phase == phaseAnswered && !rec.ownerLost:
		// The first recorded outcome is final. Otherwise two callers with the
		// same key could get different outcomes.
		return rec.result()
	}
	if !validKind(r.Answer.Kind) {
		return Result{Status: StatusBad, Detail: "an outcome must be done, failed or unknown"}
	}
	l.dropAnswer(rec)
	l.storeAnswer(rec, r.Answer)
	l.untrackOwner(rec.owner.Host, id)
	l.notifyResolved(id)
	return rec.result()
}

func validKind(kind outcome.Kind) bool {
	return kind == outcome.KindDone || kind == outcome.KindFailed || kind == outcome.KindUnknown
}

// Limits of the header and detail of a kept answer.
const (
	maxHeaderFields = 32
	maxHeaderBytes  = 8 << 10
	maxDetail       = 512
)

// storeAnswer records an answer, shortened to the ledger's limits.
func (l *Ledger) storeAnswer(rec *record, answer Answer) {
	answer.Header = boundHeader(answer.Header)
	answer.Detail = answer.Detail[:min(len(answer.Detail), maxDetail)]
	if !answer.BodyOmitted {
		answer.BodyLength = int64(len(answer.Body))
	}
	full := !l.hasCapacity(rec.team, int64(len(answer.Body)+maxHeaderBytes))
	if full {
		answer.Header = nil
	}
	size := int64(len(answer.Body))
	if size > l.options.MaxBody || size > 0 && full {
		answer = answer.withoutBody()
	}
	rec.answer = wire.MustMarshal(answer)
	rec.ownerLost = answer.Kind == outcome.KindUnknown && answer.Reason == outcome.ReasonOwnerLost
	rec.phase = phaseAnswered
	l.charge(rec, int64(len(rec.answer)))
}

// hasCapacity reports whether the ledger and the team may use the given number
// of bytes more. An outcome is recorded even without capacity, but shortened to
// a few hundred bytes.
func (l *Ledger) hasCapacity(team ident.Team, bytes int64) bool {
	return l.bytes+bytes <= l.options.MaxBytes && l.teams[team]+bytes <= l.options.MaxTeamBytes
}

// boundHeader returns the leading fields that fit within maxHeaderFields and
// maxHeaderBytes.
func boundHeader(fields []HeaderField) []HeaderField {
	total := 0
	for i, field := range fields {
		total += len(field.Name) + len(field.Value)
		if i == maxHeaderFields || total > maxHeaderBytes {
			return fields[:i]
		}
	}
	return fields
}

// MaxSentBody is the size of the largest body sent to a ledger, in bytes.
const MaxSentBody = 256 << 10

// LimitBody returns the answer in the form in which it may be sent to a ledger:
// with a limited header, and with the length and digest instead of a body
// larger than MaxSentBody. The ledger shortens it further according to its own
// options.
func (a Answer) LimitBody() Answer {
	a.Header = boundHeader(a.Header)
	if len(a.Body) > MaxSentBody {
		a = a.withoutBody()
	}
	return a
}

// withoutBody returns the answer with the body replaced by its length and
// digest.
func (a Answer) withoutBody() Answer {
	a.BodyLength = int64(len(a.Body))
	a.BodyDigest = DigestBody(a.Body)
	a.BodyOmitted = true
	a.Body = nil
	return a
}

func (l *Ledger) dropAnswer(rec *record) {
	l.charge(rec, -int64(len(rec.answer)))
	rec.answer, rec.ownerLost = nil, false
}
