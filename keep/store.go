package keep

import (
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// storeHost is this process's view of one store host.
type storeHost struct {
	status StoreStatus
	tiers  [prefix.TierCount]copyList
	// fullBackoff pauses a tier that had no capacity left, faultBackoff a host
	// that failed.
	fullBackoff  [prefix.TierCount]backoff
	faultBackoff backoff
	bucket       linkBucket
	// writing is the number of bytes being written to the host, windowBytes the
	// maximum of that; zero means not yet initialized.
	writing     int64
	windowBytes float64
	reading     int64 // bytes that pinned readers may be fetching
	// freeing is the number of bytes being freed, by tier.
	freeing [prefix.TierCount]int64
	// plannedBytes is the number of bytes planned since the host's last report,
	// less those freed, by tier.
	plannedBytes [prefix.TierCount]int64
	// lastFreedValue is the value of the copy last freed to gain capacity, by
	// tier.
	lastFreedValue [prefix.TierCount]float64
}

// backoff pauses the use of a tier or host that refused a request. The pause
// doubles with each consecutive refusal: with a constant pause, a host that is
// always full would be tried again whenever the prompts become due, and the
// other hosts never.
type backoff struct {
	until    time.Time
	refusals int
}

// Limits of a pause. A full tier is retried sooner than a failed host, because
// other processes free capacity in it continually.
const (
	maxBackoff         = time.Minute
	initialFullBackoff = time.Second
)

// extend starts the next pause. Refusals during a pause belong to requests sent
// before it and have no effect.
func (p *backoff) extend(now time.Time, first time.Duration) {
	if p.active(now) {
		return
	}
	length := first
	for range min(p.refusals, 10) {
		length = min(2*length, maxBackoff)
	}
	p.refusals++
	p.until = now.Add(length)
}

func (p *backoff) active(now time.Time) bool { return now.Before(p.until) }

// Limits of the write window, in seconds at the export rate. Without a window,
// writes to a host whose disk or network is slower than its reported link rate
// would queue up until all of them time out.
const (
	maxWindow = 2.0
	minWindow = 0.02
	// slowWriteFactor is the multiple of the expected time, plus one second,
	// beyond which a write counts as slow.
	slowWriteFactor = 4
)

func (s *storeHost) writeWindow(rate float64) int64 {
	if s.windowBytes == 0 {
		s.windowBytes = rate * linkBurst
	}
	return int64(s.windowBytes)
}

// recordWrite widens the window after a write that finished in time and halves
// it after a slow one.
func (s *storeHost) recordWrite(bytes int64, took time.Duration, rate float64) {
	if rate <= 0 {
		return
	}
	expected := float64(bytes+s.writing) / rate
	if took.Seconds() > 1+slowWriteFactor*expected {
		s.narrowWindow(rate)
		return
	}
	s.windowBytes = min(s.windowBytes+float64(bytes), rate*maxWindow)
}

func (s *storeHost) narrowWindow(rate float64) {
	s.windowBytes = max(s.windowBytes/2, rate*minWindow)
}

// linkBucket is a token bucket over a link's bytes.
type linkBucket struct {
	tokens float64
	last   time.Time
}

// linkBurst is the burst size, in seconds of a link's share.
const linkBurst = 1.0

// open refills the bucket and reports whether it has tokens left.
func (b *linkBucket) open(now time.Time, rate float64) bool {
	if b.last.IsZero() {
		b.tokens = rate * linkBurst
	} else {
		b.tokens = min(b.tokens+rate*now.Sub(b.last).Seconds(), rate*linkBurst)
	}
	b.last = now
	return b.tokens > 0
}

// take removes tokens. One export may take the bucket below zero; otherwise an
// export larger than the burst would be impossible.
func (b *linkBucket) take(bytes int64) {
	b.tokens -= float64(bytes)
}

// UpdateStore applies a store host's status report. A higher incarnation means
// that the host restarted: its earlier copies are gone or have other
// generations.
func (m *Manager) UpdateStore(now time.Time, status StoreStatus) {
	s := m.stores[status.Store]
	if s == nil {
		if len(m.stores) >= m.opts.MaxStores {
			m.stats.StoresRefused++
			return
		}
		s = &storeHost{}
		m.stores[status.Store] = s
		m.storeList = append(m.storeList, s)
	}
	if status.Incarnation < s.status.Incarnation {
		m.stats.OldIncarnation++
		return
	}
	if status.Incarnation > s.status.Incarnation {
		m.dropStoreCopies(s)
		s.faultBackoff = backoff{}
		s.fullBackoff = [prefix.TierCount]backoff{}
	}
	s.status = status
	s.plannedBytes = [prefix.TierCount]int64{}
}

// RemoveStore removes a store host whose lease expired, and all its copies.
func (m *Manager) RemoveStore(store ident.Upstream, incarnation ident.Incarnation) {
	s := m.stores[store]
	if s == nil || s.status.Incarnation > incarnation {
		return
	}
	m.dropStoreCopies(s)
	delete(m.stores, store)
	for i, other := range m.storeList {
		if other == s {
			m.storeList = append(m.storeList[:i], m.storeList[i+1:]...)
			break
		}
	}
}

func (m *Manager) dropStoreCopies(s *storeHost) {
	for tier := range s.tiers {
		for len(s.tiers[tier].copies) > 0 {
			m.dropCopy(s.tiers[tier].copies[0])
		}
	}
}

// Adopt adds a committed copy that a store host lists and that this process did
// not write, for example after becoming the home of the prompt. Copies of
// blocks that no known prompt uses are adopted too, so that they can be freed.
func (m *Manager) Adopt(now time.Time, source Source) bool {
	s := m.stores[source.Store]
	if s == nil || s.status.Incarnation != source.Incarnation || !validCopy(source.Copy) {
		return false
	}
	if m.copies[source.Block] != nil || len(m.copies) >= m.opts.MaxCopies {
		return false
	}
	team := ident.Team("")
	if p := m.prompts.ownerOf(source.Block); p != nil {
		team = p.scope.Team
	}
	c := m.newCopy(now, source.Block, s, m.team(team), source.Copy)
	m.commit(now, c)
	return true
}

// CopyRemoved removes a copy that a store host reports as gone, because another
// process freed it or a reader was refused.
func (m *Manager) CopyRemoved(store ident.Upstream, block prefix.BlockID, generation uint64) {
	c := m.copies[block]
	if c == nil || c.phase < Committed || c.store.status.Store != store || c.copy.Generation != generation {
		return
	}
	m.dropCopy(c)
}

// validCopy rejects descriptions from a faulty store host that would corrupt
// the capacity accounting.
func validCopy(c prefix.Copy) bool {
	return int(c.Tier) < prefix.TierCount && c.Bytes >= 0 && c.Bytes <= maxBlockBytes
}

// maxBlockBytes is the maximum size of one block.
const maxBlockBytes = 1 << 34
