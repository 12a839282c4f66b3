package once

import (
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/outcome"
)

// recordIncarnation stores the owner's incarnation if it is the newest of its
// host, and marks the claims of earlier incarnations as unknown.
func (l *Ledger) recordIncarnation(owner Owner) {
	if owner.Incarnation > l.incarnations[owner.Host] {
		if owner.Incarnation > 0 {
			l.markIncarnationsLost(owner.Host, owner.Incarnation-1)
		}
		l.incarnations[owner.Host] = owner.Incarnation
	}
}

// markIncarnationsLost marks the claims of a host's incarnations up to and
// including last as unknown.
func (l *Ledger) markIncarnationsLost(host ident.Host, last ident.Incarnation) {
	l.incarnations[host] = max(l.incarnations[host], last)
	for id := range l.byOwner[host] {
		rec := l.records[id]
		if rec.owner.Incarnation <= last {
			l.markOwnerLost(id, rec)
		}
	}
}

// markOwnerLost records the outcome of a claim in flight as unknown.
func (l *Ledger) markOwnerLost(id KeyID, rec *record) {
	l.untrackOwner(rec.owner.Host, id)
	l.storeAnswer(rec, Answer{
		Kind:    outcome.KindUnknown,
		Reason:  outcome.ReasonOwnerLost,
		Detail:  "the entry host that claimed this key has not said what became of the call",
		Request: rec.request,
	})
	l.notifyResolved(id)
}

// trackOwner adds a key to those that its owner's host has in flight.
func (l *Ledger) trackOwner(host ident.Host, id KeyID) {
	keys := l.byOwner[host]
	if keys == nil {
		keys = make(map[KeyID]struct{})
		l.byOwner[host] = keys
	}
	keys[id] = struct{}{}
}

func (l *Ledger) untrackOwner(host ident.Host, id KeyID) {
	keys := l.byOwner[host]
	delete(keys, id)
	if len(keys) == 0 {
		delete(l.byOwner, host)
	}
}
