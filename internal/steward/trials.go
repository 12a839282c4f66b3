package steward

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quarantine"
)

// errTrial reports a request for a trial that names no parts, or more than can be quarantined.
var errTrial = errors.New("steward: a trial names no parts, or too many")

// quarantineView returns what entries are told. The caller holds the lock.
func (m *Machine) quarantineView(now time.Time) *QuarantineView {
	view := &QuarantineView{Revision: m.quarantine.Revision(), Quarantined: m.quarantine.Quarantined(), Suspects: m.quarantine.Suspects()}
	for _, q := range m.quarantine.QuarantinedParts() {
		part := PartView{Part: q.Part, FirstCrashMs: millis(m.sinceFirstCrash(q.Part, now))}
		if due, shared, found := m.trialTimes.Due(q.Part); found {
			part.DueMs, part.DueSharedMs = millis(due.Sub(now)), millis(shared.Sub(now))
		}
		view.Parts = append(view.Parts, part)
	}
	for _, part := range m.quarantine.SuspectedParts() {
		view.PartSuspects = append(view.PartSuspects, PartView{Part: part, FirstCrashMs: millis(m.sinceFirstCrash(part, now))})
	}
	view.Suspects = view.Suspects[:min(len(view.Suspects), quarantine.MaxListed-len(view.Parts)-len(view.PartSuspects))]
	return view
}

// sinceFirstCrash returns the time since this host learnt of the first crash that counts against a
// part, 0 if there is none. The caller holds the lock.
func (m *Machine) sinceFirstCrash(part quarantine.Fingerprint, now time.Time) time.Duration {
	first, found := m.firstCrashes[part]
	if !found {
		return 0
	}
	return m.crashesSeen.Age(first, now)
}

// applyTrial records a trial. The caller holds the lock.
func (m *Machine) applyTrial(parts []quarantine.Fingerprint) {
	recorded := m.quarantine.RecordTrial(parts)
	m.syncQuarantineTimes(time.Now())
	if recorded {
		m.notifyOrder()
	}
}

// trialDue reports whether a request with these quarantined parts may be sent now.
func (m *Machine) trialDue(parts []quarantine.Fingerprint, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.trialTimes.Grant(parts, now)
}

// quarantinedParts lists the parts whose requests are sent to no upstream, and counts the suspects.
func (m *Machine) quarantinedParts() (parts []quarantine.Fingerprint, suspects int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.quarantine.QuarantinedParts() {
		parts = append(parts, q.Part)
	}
	return parts, len(m.quarantine.SuspectedParts())
}

// partCrashes returns the number of crashes, and of their groups, at which a part was in flight.
func (m *Machine) partCrashes(part quarantine.Fingerprint) (crashes, groups int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantine.PartCrashes(part)
}

// grantTrial reports, on the leader, whether one request with these quarantined parts may be sent to
// an upstream. The trial is in the log of a quorum then, so that no later leader grants it again.
func (s *Steward) grantTrial(ctx context.Context, parts []quarantine.Fingerprint) (bool, error) {
	l := s.leading.Load()
	if l == nil {
		return false, ErrUnavailable
	}
	if len(parts) == 0 || len(parts) > quarantine.MaxQuarantinedParts {
		return false, errTrial
	}
	if !l.granting.TryLock() {
		return false, nil
	}
	defer l.granting.Unlock()
	if !s.machine.trialDue(parts, time.Now()) {
		return false, nil
	}
	if _, err := s.propose(ctx, command{Trial: parts}); err != nil {
		return false, err
	}
	s.options.Log.Info("trial of quarantined parts", "parts", parts)
	return true, nil
}

// handleTrial handles an entry's request for a trial, on any control host.
func (s *Steward) handleTrial(ctx context.Context, _ port.Peer, _ port.Method, body []byte) ([]byte, error) {
	var parts []quarantine.Fingerprint
	if err := wire.Unmarshal(body, &parts); err != nil {
		return nil, eris.Wrap(err, "steward: trial")
	}
	answer, err := s.submit(ctx, submission{Trial: parts})
	return wire.MustMarshal(submitted{Uncertain: err != nil, Granted: err == nil && answer.Granted}), nil
}

// RequestTrial asks the control hosts whether a request with these quarantined parts may be sent to
// an upstream. Of all entries, one is allowed to send one at a time.
func (f *Follower) RequestTrial(ctx context.Context, parts []quarantine.Fingerprint) bool {
	host := f.reportHost.Load()
	if host == nil {
		return false
	}
	address := net.JoinHostPort(string(*host), strconv.Itoa(f.options.PeerPort))
	raw, err := f.options.Transport.Call(ctx, address, methodTrial, wire.MustMarshal(parts))
	if err != nil {
		return false
	}
	var answer submitted
	return wire.Unmarshal(raw, &answer) == nil && answer.Granted
}
