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
		return l.releaseUnseen(id, r)
	}
	if rec.claim != r.ID {
		// Another claim holds the key, or this one did and was given back
		// before. Both get the same answer, or a release resent after a lost
		// answer would seem to have failed.
		l.giveUp(rec, r.ID)
		return Result{Status: StatusReleased, Reason: r.Reason}
	}
	if rec.owner != r.Owner {
		return Result{Status: StatusBad, Detail: "only its owner can release a claim"}
	}
	if rec.phase == phaseReleased {
		return Result{Status: StatusReleased, Reason: rec.reason}
	}
	if rec.phase == phaseAnswered && !rec.lost {
		return rec.result()
	}
	l.dropAnswer(rec)
	l.untrackOwner(rec.owner.Host, id)
	rec.phase = phaseReleased
	rec.reason = r.Reason
	l.giveUp(rec, r.ID)
	l.settled(id)
	return Result{Status: StatusReleased, Reason: r.Reason}
}

// releaseUnseen remembers a release that overtook its claim, so that the claim
// is refused when it arrives. Without it the key would stay in flight, and
// then unknown, though its owner has long told its caller that nothing ran.
func (l *Ledger) releaseUnseen(id KeyID, r Release) Result {
	if err := r.Key.Validate(); err != nil {
		return Result{Status: StatusBad, Detail: err.Error()}
	}
	if status, detail := l.tooOld(r.Key, id); status != StatusInvalid {
		return Result{Status: status, Detail: detail}
	}
	if l.moved(id) {
		return Result{Status: StatusMoved}
	}
	if refusal, full := l.full(r.Key); full {
		return refusal
	}
	rec := l.insert(id, r.Key, r.Digest, r.Owner, r.ID)
	rec.phase = phaseReleased
	rec.reason = r.Reason
	l.giveUp(rec, r.ID)
	return Result{Status: StatusReleased, Reason: r.Reason}
}

// giveUp remembers that a claim is no longer wanted. A copy of it that was
// delayed in the network would otherwise win the key after its release with
// nobody left to send the call, and the key would end as unknown though it
// never ran. The memory is bounded; a copy older than it costs such a false
// unknown, never a second run.
func (l *Ledger) giveUp(rec *record, claim ClaimID) {
	if rec.isDead(claim) || !l.room(rec.team, int64(len(claim))) {
		return
	}
	if len(rec.dead) == maxDead {
		rec.dead = slices.Delete(rec.dead, 0, 1)
		l.charge(rec, -int64(len(claim)))
	}
	rec.dead = append(rec.dead, claim)
	l.charge(rec, int64(len(claim)))
}

func (r *record) isDead(claim ClaimID) bool { return slices.Contains(r.dead, claim) }

func (l *Ledger) record(r Record) Result {
	id := r.Key.ID()
	rec, known := l.records[id]
	if !known || rec.claim != r.ID {
		return Result{Status: StatusMissing, Detail: "no such claim"}
	}
	switch {
	case rec.phase == phaseReleased:
		return rec.result()
	case rec.phase == phaseAnswered && !rec.lost:
		// The first recorded outcome stands, or two callers of one key could
		// be told different things.
		return rec.result()
	}
	if !validKind(r.Answer.Kind) {
		return Result{Status: StatusBad, Detail: "an outcome must be done, failed or unknown"}
	}
	l.dropAnswer(rec)
	l.keep(rec, r.Answer)
	l.untrackOwner(rec.owner.Host, id)
	l.settled(id)
	return rec.result()
}

func validKind(kind outcome.Kind) bool {
	return kind == outcome.KindDone || kind == outcome.KindFailed || kind == outcome.KindUnknown
}

// Bounds on the texts of a kept answer.
const (
	maxHeaderFields = 32
	maxHeaderBytes  = 8 << 10
	maxDetail       = 512
)

func (l *Ledger) keep(rec *record, answer Answer) {
	answer.Header = boundHeader(answer.Header)
	answer.Detail = answer.Detail[:min(len(answer.Detail), maxDetail)]
	if !answer.BodyOmitted {
		answer.BodyLength = int64(len(answer.Body))
	}
	noRoom := !l.room(rec.team, int64(len(answer.Body)+maxHeaderBytes))
	if noRoom {
		answer.Header = nil
	}
	size := int64(len(answer.Body))
	if size > l.options.MaxBody || size > 0 && noRoom {
		answer = answer.withoutBody()
	}
	rec.answer = wire.MustMarshal(answer)
	rec.lost = answer.Kind == outcome.KindUnknown && answer.Reason == outcome.ReasonOwnerLost
	rec.phase = phaseAnswered
	l.charge(rec, int64(len(rec.answer)))
}

// room tells whether a team may take so many bytes more. An outcome is recorded
// even without room, but cut to a few hundred bytes.
func (l *Ledger) room(team ident.Team, bytes int64) bool {
	return l.bytes+bytes <= l.options.MaxBytes && l.teams[team]+bytes <= l.options.MaxTeamBytes
}

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

// MaxSentBody is the largest body that is sent to a ledger at all.
const MaxSentBody = 256 << 10

// LimitBody returns the answer as it may be sent to a ledger: one with a larger
// body has its length and digest instead. The ledger cuts further as its own
// options say.
func (a Answer) LimitBody() Answer {
	a.Header = boundHeader(a.Header)
	if len(a.Body) > MaxSentBody {
		a = a.withoutBody()
	}
	return a
}

func (a Answer) withoutBody() Answer {
	a.BodyLength = int64(len(a.Body))
	a.BodyDigest = DigestBody(a.Body)
	a.BodyOmitted = true
	a.Body = nil
	return a
}

func (l *Ledger) dropAnswer(rec *record) {
	l.charge(rec, -int64(len(rec.answer)))
	rec.answer, rec.lost = nil, false
}
