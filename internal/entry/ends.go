package entry

import (
	"context"
	"encoding/binary"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

const (
	// endEvery is how often an end is told again, since a message to another entry may
	// be lost, and endRepeat for how long.
	endEvery  = time.Second
	endRepeat = 10 * time.Second
	// lookWorkers bounds the upstreams looked at at once, and maxLooks those that wait:
	// a rack may be lost at one moment.
	lookWorkers, maxLooks = 8, 256
	// maxOwnEnds bounds the ends that this entry tells others of.
	maxOwnEnds = 64
)

// endsMessage is what an entry tells all others of requests that end upstreams. It may
// be taken any number of times.
type endsMessage struct {
	Ends []endWord `cbor:"1,keyasint,omitempty"`
	// Served are requests that ran to a good end and were held or suspected.
	Served []quarantine.Fingerprint `cbor:"2,keyasint,omitempty"`
}

// endWord is an end and how long ago it was seen: told on as new, an end would come back
// to entries that have forgotten it, and never cease to count.
type endWord struct {
	End quarantine.Crash `cbor:"1,keyasint"`
	Age time.Duration    `cbor:"2,keyasint,omitempty"`
}

// ends is what this entry knows of requests that end upstreams. Each entry judges by
// itself, by the same ends.
type ends struct {
	ledger *quarantine.Tracker
	lost   quarantine.Lost
	served quarantine.Served
	// seen tells when each end was seen, as far as this entry knows.
	seen quarantine.Seen
	// own are the ends that this entry saw itself, which it tells the others of, and
	// again to those that have started since.
	own      []ownEnd
	peers    []Peer
	lastTold time.Time
}

type ownEnd struct {
	end  quarantine.Crash
	seen time.Time
}

func newEnds() ends {
	return ends{ledger: quarantine.NewTracker()}
}

// take takes in what this entry or another has seen, and reports whether the judgement
// has changed.
func (n *ends) take(now time.Time, m endsMessage) bool {
	before := n.ledger.Revision()
	var ended []quarantine.Crash
	for _, word := range m.Ends {
		if word.Age < 0 || word.Age >= quarantine.CrashRetention {
			continue
		}
		ended = append(ended, word.End)
		n.seen.Record(word.End.Life, now.Add(-word.Age))
	}
	n.ledger.Ended(ended...)
	n.ledger.Served(m.Served...)
	n.settle(now)
	return n.ledger.Revision() != before
}

// settle forgets ends that no longer count.
func (n *ends) settle(now time.Time) {
	n.seen.Follow(n.ledger.Incarnations(), now)
	if old := n.seen.Old(now); len(old) > 0 {
		n.ledger.Forget(old...)
		n.seen.Follow(n.ledger.Incarnations(), now)
	}
	n.own = slices.DeleteFunc(n.own, func(o ownEnd) bool { return now.Sub(o.seen) >= quarantine.CrashRetention })
}

// due returns the ends that the other entries are to be told: new ones a few times, and
// all once an entry has started that knows nothing of them. Those that decide are then
// told by the first of the entries too, for who saw them may be lost.
func (n *ends) due(now time.Time, self ident.Host, peers []Peer) endsMessage {
	var m endsMessage
	if now.Sub(n.lastTold) < endEvery {
		return m
	}
	n.lastTold = now
	n.settle(now)
	others := !slices.Equal(peers, n.peers)
	n.peers = slices.Clone(peers)
	for _, o := range n.own {
		if others || now.Sub(o.seen) < endRepeat {
			m.Ends = append(m.Ends, endWord{End: o.end, Age: now.Sub(o.seen)})
		}
	}
	if others && !slices.ContainsFunc(peers, func(p Peer) bool { return p.Host < self }) {
		m.Ends = append(m.Ends, n.decisive(now, maxOwnEnds-len(m.Ends))...)
	}
	return m
}

// decisive lists the ends of held requests, with these requests only, the latest first.
func (n *ends) decisive(now time.Time, most int) []endWord {
	var list []endWord
	for _, end := range slices.Backward(n.ledger.Save().Ends) {
		end.Prints = slices.DeleteFunc(end.Prints, func(p quarantine.Fingerprint) bool { return !slices.Contains(n.ledger.Quarantined(), p) })
		if len(end.Prints) > 0 && len(list) < most {
			list = append(list, endWord{End: end, Age: n.seen.Age(end.Life, now)})
		}
	}
	return list
}

// printOfPrompt tells a prompt from all others.
func printOfPrompt(p *Prompt) quarantine.Fingerprint {
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

// printOfCall tells a call from all others.
func printOfCall(c *ServiceCall) quarantine.Fingerprint {
	r := quarantine.Request{
		Service: string(c.Service), Team: string(c.Caller.Team()), Method: c.Method, Target: c.Path, Body: c.Body,
	}
	return r.Fingerprint()
}

// mayRun refuses a request that ends the upstreams that run it.
func (e *Entry) mayRun(p quarantine.Fingerprint) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.ends.ledger.Quarantined(), p) || e.ends.served.Has(p, time.Now()) {
		return nil
	}
	e.counts.held.Inc()
	return quarantine.ErrQuarantined
}

// mayRepeat reports whether a request is sent again by ourselves after cause; ran is the
// outcome of an attempt that may have run. Where one more end decides, it is for its
// caller to repeat it.
func (e *Entry) mayRepeat(p quarantine.Fingerprint, cause, ran error) bool {
	if ran == nil && outcome.KindOf(cause) == outcome.KindNotRun {
		return true
	}
	return !e.judged(p)
}

// judged reports whether a request is held or suspected.
func (e *Entry) judged(p quarantine.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.ends.ledger.Quarantined(), p) || slices.Contains(e.ends.ledger.Suspects(), p)
}

// noteLost notes that an attempt broke off, and looks once whether its upstream has
// ended.
func (e *Entry) noteLost(id ident.Upstream, incarnation ident.Incarnation, address string, a quarantine.Attempt) {
	life := quarantine.Incarnation{Upstream: string(id), StartedMs: uint64(incarnation)}
	e.mu.Lock()
	first := e.ends.lost.Add(life, a)
	e.mu.Unlock()
	if !first {
		return
	}
	select {
	case e.looks <- look{life: life, address: address, at: time.Now().Add(quarantine.LookAfter)}:
	default:
		// The next attempt that breaks off there asks again.
		e.mu.Lock()
		e.ends.lost.Take(life)
		e.mu.Unlock()
	}
}

// look is an upstream that is to be looked at.
type look struct {
	life    quarantine.Incarnation
	address string
	at      time.Time
}

func (e *Entry) lookLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-e.looks:
			wait.For(ctx, time.Until(next.at))
			e.look(ctx, next.life, next.address)
		}
	}
}

// look finds out whether an upstream has ended, and tells the other entries.
func (e *Entry) look(ctx context.Context, life quarantine.Incarnation, address string) {
	ctx, cancel := context.WithTimeout(ctx, quarantine.LookTimeout)
	defer cancel()
	ended := e.options.Upstreams.Ended(ctx, address)
	now := time.Now()
	e.mu.Lock()
	attempts := e.ends.lost.Take(life)
	end := quarantine.Blame(life, attempts, &e.ends.served, now)
	news := ended && len(end.Prints) > 0
	if news {
		e.ends.own = append(e.ends.own, ownEnd{end: end, seen: now})
		e.ends.own = e.ends.own[max(len(e.ends.own)-maxOwnEnds, 0):]
	}
	e.mu.Unlock()
	e.options.Log.Info("upstream lost", "upstream", life.Upstream, "ended", ended, "under_way", len(attempts))
	if news {
		e.counts.upstreamEnds.Inc()
		seen := endsMessage{Ends: []endWord{{End: end}}}
		e.takeEnds(seen)
		e.tellEnds(seen)
	}
}

// noteServed notes that a request ran to a good end, and clears it.
func (e *Entry) noteServed(p quarantine.Fingerprint) {
	e.mu.Lock()
	e.ends.served.Record(p, time.Now())
	e.mu.Unlock()
	if e.judged(p) {
		cleared := endsMessage{Served: []quarantine.Fingerprint{p}}
		e.takeEnds(cleared)
		e.tellEnds(cleared)
	}
}

// tellEnds sends what was seen to the other entries. The mutex is not held.
func (e *Entry) tellEnds(m endsMessage) {
	if len(m.Ends)+len(m.Served) > 0 {
		e.options.SendEnds(wire.MustMarshal(m))
	}
}

// TakeEnds takes another entry's word on requests that end upstreams.
func (e *Entry) TakeEnds(body []byte) error {
	var m endsMessage
	if err := wire.UnmarshalStrict(body, &m); err != nil {
		return eris.Wrap(err, "entry: ends")
	}
	if len(m.Ends) > maxOwnEnds || len(m.Served) > quarantine.MaxTold {
		return eris.Errorf("entry: ends: %d ends and %d requests, more than %d and %d", len(m.Ends), len(m.Served), maxOwnEnds, quarantine.MaxTold)
	}
	e.takeEnds(m)
	return nil
}

// takeEnds takes in what was seen. A request held for it that this entry has served
// lately is cleared.
func (e *Entry) takeEnds(m endsMessage) {
	now := time.Now()
	e.mu.Lock()
	var cleared endsMessage
	if e.ends.take(now, m) {
		for _, p := range append(slices.Clone(e.ends.ledger.Quarantined()), e.ends.ledger.Suspects()...) {
			if e.ends.served.Has(p, now) {
				cleared.Served = append(cleared.Served, p)
			}
		}
		e.ends.take(now, cleared)
		e.options.Log.Info("requests judged", "held", len(e.ends.ledger.Quarantined()), "suspects", len(e.ends.ledger.Suspects()))
	}
	e.mu.Unlock()
	e.tellEnds(cleared)
}

// observedBody notes how the answer to a call ended.
type observedBody struct {
	io.ReadCloser
	served func()
	broke  func()
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.note(b.served)
	case err != nil:
		b.note(b.broke)
	}
	return n, err
}

// note notes the first end only.
func (b *observedBody) note(end func()) {
	if end != nil && b.served != nil {
		b.served, b.broke = nil, nil
		end()
	}
}
