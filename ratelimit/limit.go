// Package ratelimit bounds the requests that all entries together send to upstreams that name a
// limit in their answers.
//
// An entry alone cannot keep such a limit: it is a rate over all entries, and with more entries
// than requests a second the share of each is a fraction of a request. Therefore entries report
// the limits that they learn to the leader of the control group. The leader divides each limit
// among the entries in proportion to the requests that they serve, and among fewer entries than
// all where the limit is small. A share may be used for Validity after the leader last confirmed
// it, and a share that was lowered counts in full until then, so that the shares in use never add
// up to more than the limit, whoever starts, stops or is partitioned meanwhile. An entry without
// confirmed shares sends FallbackRate, a small part of the limit divided by the number of entries.
package ratelimit

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxObserved bounds the upstreams whose limits are known, some 60 bytes each.
	maxObserved = 4096
	// forgetAfter is how long an entry remembers a limit that the control hosts don't list, and
	// how long the leader lists a limit that has ended.
	forgetAfter = 10 * time.Second
	// minPerSecond is the lowest rate that a limit counts as. Without requests nobody would learn
	// that the limit has ended.
	minPerSecond = 0.1
)

// Limit is an upstream's statement about the requests that it takes from all entries together.
type Limit struct {
	// Limited is false if the upstream names no limit.
	Limited bool `cbor:"1,keyasint,omitempty"`
	// PerSecond is the number of requests a second.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// effective returns the rate that the limit counts as, in requests a second.
func (l Limit) effective() float64 { return max(l.PerSecond, minPerSecond) }

// Observation is a limit that an upstream stated, as told to other processes.
type Observation struct {
	Upstream string `cbor:"1,keyasint"`
	// StartedMs identifies the incarnation of the upstream.
	StartedMs uint64 `cbor:"2,keyasint,omitempty"`
	Limit     Limit  `cbor:"3,keyasint"`
	// Age is the time since the statement.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// Observations holds the newest known limit of each upstream that has named one. It is not safe
// for concurrent use.
type Observations struct {
	byUpstream map[string]observed
	// listed are the limits in the control hosts' latest list.
	listed   map[string]Limit
	revision uint64
}

type observed struct {
	startedMs uint64
	limit     Limit
	// at is the time of the statement, confirmedAt the latest time at which it was known to hold.
	at, confirmedAt time.Time
}

// NewObservations returns an empty set.
func NewObservations() *Observations {
	return &Observations{byUpstream: make(map[string]observed), listed: make(map[string]Limit)}
}

// Record records a statement made at a time and reports whether it changed what is known. Older
// statements than the known one are ignored, and so is the end of a limit that isn't known.
func (o *Observations) Record(upstream string, startedMs uint64, limit Limit, at, now time.Time) bool {
	known, found := o.byUpstream[upstream]
	switch {
	case !found && (!limit.Limited || len(o.byUpstream) >= maxObserved):
		return false
	case found && at.Before(known.at):
		return false
	}
	o.byUpstream[upstream] = observed{startedMs: startedMs, limit: limit, at: at, confirmedAt: now}
	if found && known.limit == limit && known.startedMs == startedMs {
		return false
	}
	o.revision++
	return true
}

// Limit returns the known limit of an upstream.
func (o *Observations) Limit(upstream string) Limit { return o.byUpstream[upstream].limit }

// Forget removes what is known of an upstream, as when another incarnation takes its place.
func (o *Observations) Forget(upstream string) {
	if _, found := o.byUpstream[upstream]; found {
		delete(o.byUpstream, upstream)
		o.revision++
	}
}

// Revision increases with each change of what List returns.
func (o *Observations) Revision() uint64 { return o.revision }

// List lists all that is known, by upstream, for the control hosts' list.
func (o *Observations) List(now time.Time) []Observation {
	list := make([]Observation, 0, len(o.byUpstream))
	for upstream := range o.byUpstream {
		list = append(list, o.observation(upstream, now))
	}
	slices.SortFunc(list, func(a, b Observation) int { return strings.Compare(a.Upstream, b.Upstream) })
	return list
}

func (o *Observations) observation(upstream string, now time.Time) Observation {
	known := o.byUpstream[upstream]
	return Observation{Upstream: upstream, StartedMs: known.startedMs, Limit: known.limit, Age: now.Sub(known.at)}
}

// Retain removes the upstreams for which live is false and limits that ended long ago.
func (o *Observations) Retain(live func(upstream string, startedMs uint64) bool, now time.Time) {
	for upstream, known := range o.byUpstream {
		if !live(upstream, known.startedMs) || !known.limit.Limited && now.Sub(known.at) >= forgetAfter {
			o.Forget(upstream)
		}
	}
}

// SetList applies the control hosts' list as of a time.
func (o *Observations) SetList(list []Observation, asOf, now time.Time) {
	clear(o.listed)
	for _, item := range list {
		o.listed[item.Upstream] = item.Limit
		o.Record(item.Upstream, item.StartedMs, item.Limit, asOf.Add(-item.Age), now)
	}
	o.ConfirmList(now)
}

// ConfirmList records that the control hosts' latest list still holds. Limits that the list has
// lacked for long are forgotten: the leader knows that they have ended, or that the upstream has
// gone.
func (o *Observations) ConfirmList(now time.Time) {
	for upstream, known := range o.byUpstream {
		if listed, found := o.listed[upstream]; found && listed == known.limit {
			known.confirmedAt = now
			o.byUpstream[upstream] = known
		} else if now.Sub(known.confirmedAt) >= forgetAfter {
			o.Forget(upstream)
		}
	}
}

// Unlisted lists what is known and differs from the control hosts' list, to be reported to them.
func (o *Observations) Unlisted(now time.Time) []Observation {
	var list []Observation
	for upstream, known := range o.byUpstream {
		if o.listed[upstream] != known.limit {
			list = append(list, o.observation(upstream, now))
		}
	}
	return list
}
