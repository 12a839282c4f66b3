// Package expiring has a map whose entries expire after a fixed time, in the order in which they were set.
package expiring

import (
	"container/list"
	"time"
)

// Map maps keys to values until they expire, at most a number of them: beyond it the one set first is
// dropped. Each call takes the same time however many entries there are, over all calls. It is not safe for
// concurrent use.
type Map[K comparable, V any] struct {
	ttl     time.Duration
	limit   int
	entries map[K]*list.Element
	// order holds the entries, the one set first at the front.
	order *list.List
	// dropped is called with the value of each entry that is removed or replaced.
	dropped func(V)
}

type entry[K comparable, V any] struct {
	key   K
	value V
	at    time.Time
}

// NewMap returns a map of at most limit entries that expire after ttl. dropped is called with the value of
// each entry that is removed or replaced; nil for nothing.
func NewMap[K comparable, V any](ttl time.Duration, limit int, dropped func(V)) *Map[K, V] {
	return &Map[K, V]{ttl: ttl, limit: limit, entries: make(map[K]*list.Element), order: list.New(), dropped: dropped}
}

// Set sets the value of a key, which expires after the map's time from now.
func (m *Map[K, V]) Set(key K, value V, now time.Time) {
	m.Delete(key)
	m.Expire(now)
	if len(m.entries) >= m.limit {
		m.remove(m.order.Front())
	}
	m.entries[key] = m.order.PushBack(&entry[K, V]{key, value, now})
}

// Get returns the value of a key that has not expired.
func (m *Map[K, V]) Get(key K, now time.Time) (value V, found bool) {
	at := m.entries[key]
	if at == nil {
		return value, false
	}
	e := at.Value.(*entry[K, V])
	if now.Sub(e.at) > m.ttl {
		return value, false
	}
	return e.value, true
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	if at := m.entries[key]; at != nil {
		m.remove(at)
	}
}

// Expire removes the entries that have expired.
func (m *Map[K, V]) Expire(now time.Time) {
	for at := m.order.Front(); at != nil && now.Sub(at.Value.(*entry[K, V]).at) > m.ttl; at = m.order.Front() {
		m.remove(at)
	}
}

// Len returns the number of entries, with those that have expired and were not removed.
func (m *Map[K, V]) Len() int { return len(m.entries) }

func (m *Map[K, V]) remove(at *list.Element) {
	e := m.order.Remove(at).(*entry[K, V])
	delete(m.entries, e.key)
	if m.dropped != nil {
		m.dropped(e.value)
	}
}
