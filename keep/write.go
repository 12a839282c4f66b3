package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

// Reserved handles a store's answer to a slot request and returns the next
// step.
func (m *Manager) Reserved(now time.Time, id CopyID, answer Reservation) Step {
	c := m.matchAttempt(id, Reserving)
	if c == nil {
		return Stop
	}
	if answer.Incarnation != c.store.status.Incarnation {
		m.stats.OldIncarnation++
		m.abandonWrite(now, c)
		return Stop
	}
	switch {
	case answer.Committed && !validCopy(answer.Copy):
		m.Failed(now, id, FailedVerify)
		return Stop
	case answer.Committed:
		m.updateCopy(c, answer.Copy)
		m.commit(now, c)
		return Stop
	case answer.Full:
		c.store.fullBackoff[c.copy.Tier].extend(now, initialFullBackoff)
		m.dropCopy(c)
		return Stop
	case !answer.Granted:
		m.Failed(now, id, FailedRace)
		return Stop
	}
	c.copy.Slot = answer.Copy.Slot
	c.copy.Generation = answer.Copy.Generation
	m.setPhase(now, c, Writing)
	return Write
}

// Written handles an engine's report that a block is completely written and
// returns the next step.
func (m *Manager) Written(now time.Time, id CopyID, bytes int64, checksum uint64) Step {
	c := m.matchAttempt(id, Writing)
	if c == nil {
		return Stop
	}
	written := c.copy
	written.Bytes = bytes
	written.Checksum = checksum
	if !validCopy(written) {
		m.Failed(now, id, FailedVerify)
		return Stop
	}
	m.updateCopy(c, written)
	m.setPhase(now, c, Verifying)
	return Commit
}

// Committed handles a store's report that it verified and committed a slot. The
// copy becomes readable if state matches the slot that was written; Committed
// reports whether it does.
func (m *Manager) Committed(now time.Time, id CopyID, state prefix.Copy) bool {
	c := m.matchAttempt(id, Verifying)
	if c == nil {
		return false
	}
	// The store may have given the slot to another writer after this
	// reservation expired. A reader would then get that writer's content as
	// this block, so anything but an exact match ends the attempt.
	if state != c.copy {
		m.Failed(now, id, FailedVerify)
		return false
	}
	m.commit(now, c)
	c.store.recordWrite(c.bytes(), now.Sub(c.plannedAt), m.exportRate(c.store))
	return true
}

// Failed ends an attempt that is not yet committed.
func (m *Manager) Failed(now time.Time, id CopyID, failure Failure) {
	c := m.byID[id]
	if c == nil || !c.inWrite() {
		m.stats.Unmatched++
		return
	}
	p := m.prompts.ownerOf(c.block)
	switch failure {
	case FailedStore:
		// Only the store is paused, not the prompt: another store may accept
		// it.
		m.stats.StoreFailures++
		c.store.faultBackoff.extend(now, m.opts.Retry)
		m.dropCopy(c)
		return
	case FailedEngine:
		m.stats.EngineFailures++
		m.recordRunnerLost(p, c.block)
	case FailedVerify:
		m.stats.VerifyFailures++
	case FailedRace:
		m.stats.Races++
	}
	m.abandonWrite(now, c)
}

// matchAttempt returns the copy of an attempt if it is in the given phase.
// Otherwise the result is late, duplicate or out of order, and counts as
// unmatched.
func (m *Manager) matchAttempt(id CopyID, phase Phase) *keptCopy {
	c := m.byID[id]
	if c == nil || c.phase != phase {
		m.stats.Unmatched++
		return nil
	}
	return c
}

func (m *Manager) setPhase(now time.Time, c *keptCopy, phase Phase) {
	c.phase = phase
	c.deadline = now.Add(m.opts.WriteTimeout)
}

func (m *Manager) commit(now time.Time, c *keptCopy) {
	m.subtractPhase(c)
	c.phase = Committed
	c.committedAt = now
	c.store.faultBackoff = backoff{}
	c.store.fullBackoff[c.copy.Tier] = backoff{}
	m.stats.Commits++
}

// abandonWrite drops a failed attempt and delays the next one of its prompt.
func (m *Manager) abandonWrite(now time.Time, c *keptCopy) {
	if p := m.prompts.ownerOf(c.block); p != nil {
		p.retryAt = now.Add(m.opts.Retry)
	}
	m.dropCopy(c)
}

// updateCopy updates the slot of a copy that is being written and the capacity
// it uses.
func (m *Manager) updateCopy(c *keptCopy, copied prefix.Copy) {
	m.subtractPhase(c)
	m.removeFromLists(c)
	c.copy = copied
	m.addToLists(c)
	m.addPhase(c)
}

// expireWrites ends the attempts whose current step timed out.
func (m *Manager) expireWrites(now time.Time) {
	kept := m.writing[:0]
	for _, c := range m.writing {
		if !c.inWrite() {
			continue
		}
		if now.Before(c.deadline) {
			kept = append(kept, c)
			continue
		}
		c.store.narrowWindow(m.exportRate(c.store))
		m.Failed(now, c.id, FailedStore)
	}
	clear(m.writing[len(kept):])
	m.writing = kept
}
