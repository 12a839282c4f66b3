package entry

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/quarantine"
)

const (
	// maxTrials bounds the trials of one message.
	maxTrials = 16
	// minPartRetry is the shortest time after which the caller of a prompt with a quarantined part
	// should retry.
	minPartRetry = time.Second
)

// partMessage is the part of a crashMessage that concerns parts of prompts.
type partMessage struct {
	// Asks are trials that the entry on Host wants to send, by their parts.
	Asks [][]quarantine.Fingerprint `cbor:"3,keyasint,omitempty"`
	Host string                     `cbor:"4,keyasint,omitempty"`
	// Trials are trials that are sent now, Unused those that reached no engine.
	Trials [][]quarantine.Fingerprint `cbor:"5,keyasint,omitempty"`
	Unused [][]quarantine.Fingerprint `cbor:"6,keyasint,omitempty"`
	// Parts are quarantined parts, for entries that have just started.
	Parts []quarantine.QuarantinedPart `cbor:"7,keyasint,omitempty"`
	// Unserved are suspected parts of which no request is served although others are.
	Unserved []quarantine.Fingerprint `cbor:"8,keyasint,omitempty"`
}

func (m *partMessage) empty() bool {
	return len(m.Asks)+len(m.Trials)+len(m.Unused)+len(m.Parts)+len(m.Unserved) == 0
}

// check returns an error if a message exceeds its bounds.
func (m *partMessage) check() error {
	tooMany := func(list [][]quarantine.Fingerprint) bool {
		return len(list) > maxTrials || slices.ContainsFunc(list, func(parts []quarantine.Fingerprint) bool { return len(parts) > quarantine.MaxQuarantinedParts })
	}
	if tooMany(m.Asks) || tooMany(m.Trials) || tooMany(m.Unused) || len(m.Parts) > quarantine.MaxQuarantinedParts || len(m.Unserved) > quarantine.MaxSuspectedParts {
		return eris.Errorf("entry: crashes: more than %d trials, or than %d parts", maxTrials, min(quarantine.MaxQuarantinedParts, quarantine.MaxSuspectedParts))
	}
	return nil
}

// promptParts returns the fingerprints of the blocks of a prompt that others may share, in the prompts of
// its team and in those of all teams, without duplicates: all complete blocks that are followed by other
// tokens.
func promptParts(p *Prompt, blockTokens int) []quarantine.Fingerprint {
	var parts []quarantine.Fingerprint
	for at := 0; at+blockTokens < len(p.Tokens); at += blockTokens {
		f := quarantine.Tokens(string(p.Model), string(p.Caller.Team()), string(p.Adapter), p.Tokens[at:at+blockTokens])
		if !slices.Contains(parts, f) {
			parts = append(parts, f.Scopes()...)
		}
	}
	return parts
}

// applyParts applies what a message says about parts.
func (n *crashState) applyParts(m partMessage, now time.Time) {
	for _, parts := range m.Trials {
		n.tracker.RecordTrial(parts)
		n.asks.Forget(parts...)
	}
	for _, parts := range m.Unused {
		n.tracker.ReturnTrial(parts)
	}
	if len(m.Parts) > 0 {
		n.tracker.AddQuarantined(m.Parts...)
	}
	for _, parts := range m.Asks {
		if !slices.ContainsFunc(parts, func(f quarantine.Fingerprint) bool { return !n.tracker.IsQuarantinedPart(f) }) {
			n.asks.Record(parts, m.Host, now)
		}
	}
}

// servedParts returns the quarantined and suspected parts that this entry has seen served since the
// first crash that counts against each: they are sound.
func (n *crashState) servedParts(now time.Time) []quarantine.Fingerprint {
	var served []quarantine.Fingerprint
	for part, first := range n.tracker.FirstCrashes() {
		if n.served.Parts.HasSince(part, now.Add(-n.seen.Age(first, now)), now) {
			served = append(served, part)
		}
	}
	return served
}

// withListedParts returns a crash without the parts that are neither quarantined nor suspected.
// Crashes are sent again and again, and most parts of long prompts are of no interest.
func (n *crashState) withListedParts(c quarantine.Crash) quarantine.Crash {
	unlisted := func(f quarantine.Fingerprint) bool { return !n.tracker.ListsPart(f) }
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), unlisted)
	c.ServedBefore = slices.DeleteFunc(slices.Clone(c.ServedBefore), unlisted)
	return c
}

// trialOf decides about a prompt with quarantined parts: whether it may be sent as a trial, whether to
// tell the other entries that this one wants to send one, and else when a trial is due.
func (n *crashState) trialOf(parts []quarantine.Fingerprint, host string, now time.Time) (granted, ask bool, due time.Time) {
	for _, part := range parts {
		alone, shared, _ := n.trials.Due(part)
		if len(parts) > 1 {
			alone = shared
		}
		if alone.After(due) {
			due = alone
		}
	}
	if !n.trials.Grant(parts, now) {
		return false, false, due
	}
	if n.asks.Grants(parts, host, now) {
		n.asks.Forget(parts...)
		return true, false, due
	}
	if ask = !n.asks.Asked(parts, now); ask {
		n.asks.Record(parts, host, now)
	}
	return false, ask, due
}

// checkQuarantine returns why the prompt must be sent to no engine, nil if it may be sent.
func (a *answer) checkQuarantine() error {
	if err := a.entry.checkQuarantine(a.job.fingerprint); err != nil {
		return err
	}
	return a.entry.checkParts(a.job)
}

// checkParts returns an error if a part of a prompt is quarantined, unless the prompt is sent as a
// trial.
func (e *Entry) checkParts(j *job) error {
	host, now := string(e.options.Host), time.Now()
	e.mu.Lock()
	quarantined := slices.DeleteFunc(slices.Clone(j.parts), func(f quarantine.Fingerprint) bool {
		return !e.crashes.tracker.IsQuarantinedPart(f) || slices.Contains(j.trial, f)
	})
	if len(quarantined) == 0 {
		e.mu.Unlock()
		return nil
	}
	granted, ask, due := e.crashes.trialOf(quarantined, host, now)
	e.mu.Unlock()
	parts := [][]quarantine.Fingerprint{quarantined}
	switch {
	case granted:
		j.trial = quarantined
		message := crashMessage{partMessage: partMessage{Trials: parts}}
		e.applyCrashes(message)
		e.sendCrashes(message)
		return nil
	case ask:
		e.sendCrashes(crashMessage{partMessage: partMessage{Asks: parts, Host: host}})
	}
	e.counts.quarantined.Inc()
	return &outcome.NotRun{
		Reason: outcome.ReasonQuarantinedPart, RetryAfter: max(due.Sub(now), minPartRetry),
		Detail: "prompts with a block of this one have crashed the engines that ran them; they are sent again, one at a time, to find out whether the block is sound",
	}
}

// reachedEngine reports whether an engine has seen an attempt.
func (a *answer) reachedEngine() bool { return a.refused || a.possiblyRan != nil || a.stream != nil }

// returnTrial tells the other entries that a trial reached no engine, if it did not. One that was
// refused counts: engines that refuse many requests would get one trial after the other.
func (a *answer) returnTrial() {
	if len(a.job.trial) == 0 || a.reachedEngine() {
		return
	}
	message := crashMessage{partMessage: partMessage{Unused: [][]quarantine.Fingerprint{a.job.trial}}}
	a.entry.applyCrashes(message)
	a.entry.sendCrashes(message)
}
