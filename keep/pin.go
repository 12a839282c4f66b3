package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/prefix"
)

// activePin is one reader's pin on a copy. The pointer identifies the copy that
// was pinned, which may have been dropped or replaced since.
type activePin struct {
	copy    *keptCopy
	expires time.Time
}

// pinExpiry is an entry of the pin queue, which is ordered by expiry because
// all pins have the same lease.
type pinExpiry struct {
	id      PinID
	block   prefix.BlockID
	expires time.Time
}

// Pin pins the committed copy of a block for a reader under a lease. It returns
// false if no copy is readable, the scope doesn't match or MaxPins is reached.
// scope is the scope of the reader's prompt.
func (m *Manager) Pin(now time.Time, scope prefix.Scope, block prefix.BlockID) (Pin, bool) {
	m.expirePins(now)
	c := m.copies[block]
	if c == nil || !c.readable() {
		m.stats.Unreadable++
		return Pin{}, false
	}
	// A block ID contains its scope, so a mismatch means that an ID was
	// computed incorrectly. The reader then recomputes instead of reading data
	// of another team or version.
	if p := m.prompts.ownerOf(block); p != nil && p.scope != scope {
		m.stats.ScopeMismatches++
		return Pin{}, false
	}
	if len(m.pins) >= m.opts.MaxPins {
		return Pin{}, false
	}
	m.compactPinQueue()
	m.lastPinID++
	pin := Pin{
		ID:      m.lastPinID,
		Source:  c.source(),
		Expires: now.Add(m.opts.PinLease),
	}
	c.pins++
	c.pinnedUntil = pin.Expires
	c.store.reading += c.bytes()
	m.pins[pin.ID] = activePin{copy: c, expires: pin.Expires}
	m.pinQueue = append(m.pinQueue, pinExpiry{id: pin.ID, block: block, expires: pin.Expires})
	return pin, true
}

// Source returns the committed copy of a block without pinning it, for
// predictions. Readers must pin.
func (m *Manager) Source(block prefix.BlockID) (Source, bool) {
	c := m.copies[block]
	if c == nil || !c.readable() {
		return Source{}, false
	}
	return c.source(), true
}

// Readable returns the number of consecutive blocks with a committed copy,
// starting at position from.
func (m *Manager) Readable(blocks []prefix.BlockID, from int) int {
	count := 0
	for i := max(from, 0); i < len(blocks); i++ {
		c := m.copies[blocks[i]]
		if c == nil || !c.readable() {
			break
		}
		count++
	}
	return count
}

func (c *keptCopy) source() Source {
	return Source{
		Block:       c.block,
		Store:       c.store.status.Store,
		Incarnation: c.store.status.Incarnation,
		Copy:        c.copy,
	}
}

// Unpin ends a reader's pin. A zero failure means that the block was read.
// FailedVerify means that the copy was not the one requested; it is dropped.
func (m *Manager) Unpin(now time.Time, id PinID, failure Failure) {
	pin, ok := m.pins[id]
	if !ok {
		m.stats.Unmatched++
		return
	}
	m.release(id, pin)
	c := pin.copy
	switch failure {
	case FailedStore:
		m.stats.StoreFailures++
		c.store.faultBackoff.extend(now, m.opts.Retry)
	case FailedVerify:
		m.stats.VerifyFailures++
		if c.phase == Committed {
			m.dropCopy(c)
		}
	}
}

func (m *Manager) release(id PinID, pin activePin) {
	delete(m.pins, id)
	pin.copy.pins--
	pin.copy.store.reading -= pin.copy.bytes()
}

// compactPinQueue removes the entries of ended pins once the queue reaches
// twice the maximum number of pins.
func (m *Manager) compactPinQueue() {
	if len(m.pinQueue) < 2*m.opts.MaxPins {
		return
	}
	kept := m.pinQueue[:0]
	for _, queued := range m.pinQueue {
		_, held := m.pins[queued.id]
		_, lingers := m.orphanedPins[queued.block]
		if held || lingers {
			kept = append(kept, queued)
		}
	}
	m.pinQueue = kept
}

// expirePins ends the pins whose lease has expired, so that a reader that
// crashed does not keep a copy forever.
func (m *Manager) expirePins(now time.Time) {
	done := 0
	for done < len(m.pinQueue) && !now.Before(m.pinQueue[done].expires) {
		due := m.pinQueue[done]
		if pin, ok := m.pins[due.id]; ok {
			m.release(due.id, pin)
		}
		if until, ok := m.orphanedPins[due.block]; ok && !now.Before(until) {
			delete(m.orphanedPins, due.block)
		}
		done++
	}
	m.pinQueue = m.pinQueue[done:]
}
