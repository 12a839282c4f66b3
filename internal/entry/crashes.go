package entry

import (
	"context"
	"encoding/binary"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/crash"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

const (
	// crashInterval is the interval at which a crash is sent again, since
	// messages between entries may be lost; crashRepeat is for how long.
	crashInterval = time.Second
	crashRepeat   = 10 * time.Second
	// maxOwnCrashes bounds the crashes that this entry reports to others.
	maxOwnCrashes = 64
)

// crashMessage is what an entry sends to all others about requests that crash
// upstreams. Applying it is idempotent.
type crashMessage struct {
	Crashes []crashReport `cbor:"1,keyasint,omitempty"`
	// Served are requests that completed although they were quarantined or
	// suspected.
	Served []quarantine.Fingerprint `cbor:"2,keyasint,omitempty"`
	partMessage
	// Refuted are upstreams whose crash was sent though they ran on.
	Refuted []quarantine.Refuted `cbor:"9,keyasint,omitempty"`
}

// crashReport is a crash and the time since it was observed. Without the age, a
// crash that is forwarded would count as new at entries that have already
// dropped it, and would never expire.
type crashReport struct {
	Crash quarantine.Crash `cbor:"1,keyasint"`
	Age   time.Duration    `cbor:"2,keyasint,omitempty"`
}

// crashState is what this entry knows about requests that crash upstreams. Each
// entry decides by itself, from the same crashes.
type crashState struct {
	tracker *quarantine.Tracker
	lost    quarantine.LostAttempts
	// checks holds the checks of the upstreams at which attempts broke off.
	checks map[quarantine.Incarnation]*crash.Check
	// claims are the crashes that are not proved.
	claims quarantine.Claims
	served quarantine.Served
	// unserved finds blocks that are served no more.
	unserved quarantine.UnservedParts
	// groups assigns crashes to groups; trials and asks decide when quarantined parts are tried.
	groups quarantine.CrashGroups
	trials quarantine.TrialTimes
	asks   quarantine.TrialAsks
	// seen records when each crash was observed, as far as this entry knows.
	seen quarantine.CrashTimes
	// own are the crashes that this entry observed itself. It sends them to the
	// other entries, and again when an entry has started since.
	own      []ownCrash
	peers    []Peer
	lastSent time.Time
}

type ownCrash struct {
	crash  quarantine.Crash
	seenAt time.Time
}

func newCrashState() crashState {
	return crashState{tracker: quarantine.NewTracker(), checks: make(map[quarantine.Incarnation]*crash.Check)}
}

// apply merges crashes and served requests observed by this entry or another.
// It reports whether the set of quarantined or suspected requests has changed.
func (n *crashState) apply(now time.Time, m crashMessage) bool {
	before := n.tracker.Revision()
	var crashes []quarantine.Crash
	for _, report := range m.Crashes {
		if report.Age < 0 || report.Age >= quarantine.CrashRetention {
			continue
		}
		report.Crash.Joined = n.groups.Joins(now.Add(-report.Age))
		crashes = append(crashes, report.Crash)
		n.seen.Record(report.Crash.Incarnation, now.Add(-report.Age))
	}
	n.tracker.AddCrashes(crashes...)
	n.applyRefuted(m.Refuted, now)
	n.tracker.Served(m.Served...)
	if len(m.Unserved) > 0 {
		n.tracker.Unserved(m.Unserved...)
	}
	n.applyParts(m.partMessage, now)
	n.expire(now)
	return n.tracker.Revision() != before
}

// applyRefuted drops recorded crashes that are refuted.
func (n *crashState) applyRefuted(refuted []quarantine.Refuted, now time.Time) {
	for _, r := range refuted {
		if !n.seen.Has(r.Incarnation) || n.seen.Age(r.Incarnation, now) < r.Age {
			continue
		}
		n.tracker.Forget(r.Incarnation)
		n.own = slices.DeleteFunc(n.own, func(o ownCrash) bool { return o.crash.Incarnation == r.Incarnation })
	}
}

// expire drops crashes that are older than quarantine.CrashRetention.
func (n *crashState) expire(now time.Time) {
	n.seen.Sync(n.tracker.Incarnations(), now)
	if old := n.seen.Expired(now); len(old) > 0 {
		n.tracker.Forget(old...)
		n.seen.Sync(n.tracker.Incarnations(), now)
	}
	n.trials.Sync(n.tracker.QuarantinedParts(), now)
	n.own = slices.DeleteFunc(n.own, func(o ownCrash) bool { return now.Sub(o.seenAt) >= quarantine.CrashRetention })
}

// due returns the crashes to send to the other entries now: own recent ones
// repeatedly, and all own ones when the set of entries has changed, since a
// started entry knows none. In that case the entry with the lowest host name
// also sends the crashes of quarantined requests, because the entry that
// observed them may be lost.
func (n *crashState) due(now time.Time, self ident.Host, peers []Peer) crashMessage {
	var m crashMessage
	if now.Sub(n.lastSent) < crashInterval {
		return m
	}
	n.lastSent = now
	n.expire(now)
	peersChanged := !slices.Equal(peers, n.peers)
	n.peers = slices.Clone(peers)
	for _, o := range n.own {
		if peersChanged || now.Sub(o.seenAt) < crashRepeat {
			m.Crashes = append(m.Crashes, crashReport{Crash: n.withListedParts(o.crash), Age: now.Sub(o.seenAt)})
		}
	}
	if peersChanged && !slices.ContainsFunc(peers, func(p Peer) bool { return p.Host < self }) {
		m.Parts = slices.Clone(n.tracker.QuarantinedParts())
		m.Crashes = append(m.Crashes, n.quarantinedCrashes(now, maxOwnCrashes-len(m.Crashes))...)
	}
	return m
}

// quarantinedCrashes lists the crashes of quarantined requests, latest first
// and limited to these requests. It returns at most limit crashes.
func (n *crashState) quarantinedCrashes(now time.Time, limit int) []crashReport {
	var list []crashReport
	for _, crash := range slices.Backward(n.tracker.Save().Crashes) {
		crash.Fingerprints = slices.DeleteFunc(crash.Fingerprints, func(p quarantine.Fingerprint) bool { return !slices.Contains(n.tracker.Quarantined(), p) })
		crash = n.withListedParts(crash)
		if len(crash.Fingerprints) > 0 && len(list) < limit {
			list = append(list, crashReport{Crash: crash, Age: n.seen.Age(crash.Incarnation, now)})
		}
	}
	return list
}

// promptFingerprint returns the fingerprint that identifies a prompt for
// quarantine.
func promptFingerprint(p *Prompt) quarantine.Fingerprint {
	body := binary.BigEndian.AppendUint64(nil, p.Seed)
	body = binary.BigEndian.AppendUint64(body, uint64(p.MaxTokens))
	for _, token := range p.Tokens {
		body = binary.BigEndian.AppendUint32(body, token)
	}
	r := quarantine.Request{
		Service: string(p.Model), Team: string(p.Caller.Team()), Method: "prompt", Target: string(p.Adapter), Body: body,
	}
	return r.Fingerprint()
}

// callFingerprint returns the fingerprint that identifies a service call for
// quarantine.
func callFingerprint(c *ServiceCall) quarantine.Fingerprint {
	r := quarantine.Request{
		Service: string(c.Service), Team: string(c.Caller.Team()), Method: c.Method, Target: c.Path, Body: c.Body,
	}
	return r.Fingerprint()
}

// checkQuarantine returns an error if a request is quarantined because it
// crashes the upstreams that run it.
func (e *Entry) checkQuarantine(p quarantine.Fingerprint) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.crashes.tracker.Quarantined(), p) || e.crashes.served.Requests.Has(p, time.Now()) {
		return nil
	}
	e.counts.quarantined.Inc()
	return quarantine.ErrQuarantined
}

// mayRepeat reports whether the entry itself may send a request again after
// cause. possiblyRan is the outcome of an attempt that may have run. A request
// that one more crash would quarantine is not repeated by the entry; its caller
// may repeat it. checks are those of the upstreams at which its attempts broke off.
func (e *Entry) mayRepeat(ctx context.Context, p quarantine.Fingerprint, parts []quarantine.Fingerprint, checks crash.Checks, cause, possiblyRan error) bool {
	if possiblyRan == nil && outcome.KindOf(cause) == outcome.KindNotRun {
		return true
	}
	e.mu.Lock()
	served := e.crashes.served.Requests.Has(p, time.Now())
	e.mu.Unlock()
	return !e.isSuspect(p, parts) && (served || !checks.Suspect(ctx))
}

// isSuspect reports whether a request, or a part of its prompt, is quarantined or suspected.
func (e *Entry) isSuspect(p quarantine.Fingerprint, parts []quarantine.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(parts, e.crashes.tracker.ListsPart) || slices.Contains(e.crashes.tracker.Quarantined(), p) || slices.Contains(e.crashes.tracker.Suspects(), p)
}

// recordServed records that a request completed and clears it, and the parts of
// its prompt, from quarantine and suspicion.
func (e *Entry) recordServed(p quarantine.Fingerprint, service string, parts []quarantine.Fingerprint) {
	e.mu.Lock()
	now := time.Now()
	e.crashes.served.Record(p, parts, now)
	unserved := e.crashes.unserved.RecordServed(service, parts, slices.Values(e.crashes.tracker.SuspectedParts()), now)
	served := slices.DeleteFunc(slices.Clone(parts), func(f quarantine.Fingerprint) bool { return !e.crashes.tracker.ListsPart(f) })
	e.mu.Unlock()
	if len(served)+len(unserved) > 0 || e.isSuspect(p, nil) {
		cleared := crashMessage{Served: append(served, p), partMessage: partMessage{Unserved: unserved}}
		e.applyCrashes(cleared)
		e.sendCrashes(cleared)
	}
}

// sendCrashes sends a message to the other entries, unless it is empty. The
// mutex must not be held.
func (e *Entry) sendCrashes(m crashMessage) {
	for _, message := range m.split() {
		if len(message.Crashes)+len(message.Served)+len(message.Refuted) > 0 || !message.partMessage.empty() {
			e.options.SendCrashes(wire.MustMarshal(message))
		}
	}
}

// split returns a message without, and one with what concerns parts of prompts, and
// one with refuted crashes: entries of versions that know neither reject the latter two.
func (m crashMessage) split() [3]crashMessage {
	requests, parts := crashMessage{Served: m.Served}, crashMessage{partMessage: m.partMessage}
	for _, report := range m.Crashes {
		c := report.Crash
		if len(c.Fingerprints) > 0 {
			requests.Crashes = append(requests.Crashes, crashReport{Crash: quarantine.Crash{Incarnation: c.Incarnation, Fingerprints: c.Fingerprints}, Age: report.Age})
		}
		if len(c.Parts) > 0 {
			of := quarantine.Crash{Incarnation: c.Incarnation, Parts: c.Parts, ServedBefore: c.ServedBefore}
			parts.Crashes = append(parts.Crashes, crashReport{Crash: of, Age: report.Age})
		}
	}
	return [3]crashMessage{requests, parts, {Refuted: m.Refuted}}
}

// ApplyCrashes applies another entry's message about requests that crash
// upstreams.
func (e *Entry) ApplyCrashes(body []byte) error {
	var m crashMessage
	if err := wire.UnmarshalStrict(body, &m); err != nil {
		return eris.Wrap(err, "entry: crashes")
	}
	if len(m.Crashes) > maxOwnCrashes || len(m.Refuted) > maxOwnCrashes || len(m.Served) > quarantine.MaxListed {
		return eris.Errorf("entry: crashes: %d crashes and %d requests, more than %d and %d", len(m.Crashes), len(m.Served), maxOwnCrashes, quarantine.MaxListed)
	}
	if err := m.partMessage.check(); err != nil {
		return err
	}
	e.applyCrashes(m)
	return nil
}

// applyCrashes merges a message. Requests that it would quarantine or suspect
// are cleared again if this entry has recently served them.
func (e *Entry) applyCrashes(m crashMessage) {
	now := time.Now()
	e.mu.Lock()
	var cleared crashMessage
	if e.crashes.apply(now, m) {
		for _, p := range append(slices.Clone(e.crashes.tracker.Quarantined()), e.crashes.tracker.Suspects()...) {
			if e.crashes.served.Requests.Has(p, now) {
				cleared.Served = append(cleared.Served, p)
			}
		}
		cleared.Served = append(cleared.Served, e.crashes.servedParts(now)...)
		e.crashes.apply(now, cleared)
		t := e.crashes.tracker
		e.options.Log.Info("quarantined requests changed", "held", len(t.Quarantined()), "suspects", len(t.Suspects()),
			"held_parts", len(t.QuarantinedParts()), "suspected_parts", len(t.SuspectedParts()))
	}
	e.mu.Unlock()
	e.sendCrashes(cleared)
}

// observedBody reports whether the body of a call's answer was read to its end
// or its connection broke.
type observedBody struct {
	io.ReadCloser
	served func()
	lost   func()
	// confirm returns an error if a body that ended with its connection may have
	// been cut off by a crash; nil if the body has a length or chunks.
	confirm func() error
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF && b.confirm != nil && b.served != nil:
		if cut := b.confirm(); cut != nil {
			b.served, b.lost = nil, nil
			return n, cut
		}
		b.report(b.served)
	case err == io.EOF:
		b.report(b.served)
	case err != nil:
		b.report(b.lost)
	}
	return n, err
}

// report calls the function of the first result only.
func (b *observedBody) report(callback func()) {
	if callback != nil && b.served != nil {
		b.served, b.lost = nil, nil
		callback()
	}
}
