package config

import (
	"iter"
	"slices"
)

// tableFanout is the number of children of each of a table's two levels. With
// 4,096 buckets, a table of 27,000 items has about seven items per bucket, and
// a change copies two nodes of 64 pointers and one bucket.
const tableFanout = 64

// tableFanoutBits is the binary logarithm of tableFanout.
const tableFanoutBits = 6

type bucket[K comparable, V any] []tableItem[K, V]

type tableItem[K comparable, V any] struct {
	key   K
	value *V
}

type tableNode[K comparable, V any] [tableFanout]bucket[K, V]

// table is a persistent hash map: with and without return a changed table and
// leave the original unchanged.
type table[K comparable, V any] struct {
	hash func(K) uint64
	root *[tableFanout]*tableNode[K, V]
	size int
}

func newTable[K comparable, V any](hash func(K) uint64) table[K, V] {
	return table[K, V]{hash: hash, root: new([tableFanout]*tableNode[K, V])}
}

// slot returns the indices of key's bucket on the two levels.
func (t table[K, V]) slot(key K) (outer, inner int) {
	h := t.hash(key)
	return int(h % tableFanout), int(h >> tableFanoutBits % tableFanout)
}

func (t table[K, V]) get(key K) (*V, bool) {
	outer, inner := t.slot(key)
	node := t.root[outer]
	if node == nil {
		return nil, false
	}
	for i := range node[inner] {
		if node[inner][i].key == key {
			return node[inner][i].value, true
		}
	}
	return nil, false
}

// with returns the table with key set to value.
func (t table[K, V]) with(key K, value *V) table[K, V] {
	return t.change(key, func(items bucket[K, V], at int) bucket[K, V] {
		item := tableItem[K, V]{key: key, value: value}
		if at < 0 {
			return append(items, item)
		}
		items[at] = item
		return items
	})
}

// without returns the table with key removed.
func (t table[K, V]) without(key K) table[K, V] {
	return t.change(key, func(items bucket[K, V], at int) bucket[K, V] {
		if at < 0 {
			return items
		}
		return slices.Delete(items, at, at+1)
	})
}

// change copies the path to key's bucket and replaces the bucket with the
// result of edit. edit gets a copy of the bucket and the index of key, or -1.
func (t table[K, V]) change(key K, edit func(items bucket[K, V], at int) bucket[K, V]) table[K, V] {
	outer, inner := t.slot(key)
	root := *t.root
	node := new(tableNode[K, V])
	if root[outer] != nil {
		*node = *root[outer]
	}
	before := node[inner]
	at := slices.IndexFunc(before, func(item tableItem[K, V]) bool { return item.key == key })
	items := make(bucket[K, V], len(before), len(before)+1)
	copy(items, before)
	node[inner] = edit(items, at)
	root[outer] = node
	t.size += len(node[inner]) - len(before)
	t.root = &root
	return t
}

// bulkChanges is the number of changes from which an editor is cheaper than
// copying a path for each change.
const bulkChanges = 64

// apply returns the table with the items of drop removed and then those of put
// set.
func (t table[K, V]) apply(drop []K, put []tableItem[K, V]) table[K, V] {
	if len(drop)+len(put) >= bulkChanges {
		return t.applyBulk(drop, put)
	}
	for _, key := range drop {
		t = t.without(key)
	}
	for _, item := range put {
		t = t.with(item.key, item.value)
	}
	return t
}

func (t table[K, V]) applyBulk(drop []K, put []tableItem[K, V]) table[K, V] {
	e := editor[K, V]{table: t}
	root := *t.root
	e.table.root = &root
	for _, key := range drop {
		e.remove(key)
	}
	for _, item := range put {
		e.set(item)
	}
	return e.table
}

// editor changes a table in place after copying each node it changes once.
type editor[K comparable, V any] struct {
	table table[K, V]
	owned [tableFanout]bool
}

// bucket returns key's bucket, which may be written to, and the index of key in
// it, or -1.
func (e *editor[K, V]) bucket(key K) (*bucket[K, V], int) {
	outer, inner := e.table.slot(key)
	if !e.owned[outer] {
		e.owned[outer] = true
		e.table.root[outer] = e.table.root[outer].clone()
	}
	items := &e.table.root[outer][inner]
	at := slices.IndexFunc(*items, func(item tableItem[K, V]) bool { return item.key == key })
	return items, at
}

func (n *tableNode[K, V]) clone() *tableNode[K, V] {
	copied := new(tableNode[K, V])
	if n == nil {
		return copied
	}
	for i := range n {
		copied[i] = slices.Clone(n[i])
	}
	return copied
}

func (e *editor[K, V]) remove(key K) {
	items, at := e.bucket(key)
	if at >= 0 {
		*items = slices.Delete(*items, at, at+1)
		e.table.size--
	}
}

func (e *editor[K, V]) set(item tableItem[K, V]) {
	items, at := e.bucket(item.key)
	if at >= 0 {
		(*items)[at] = item
		return
	}
	*items = append(*items, item)
	e.table.size++
}

// all yields the items in no particular order.
func (t table[K, V]) all() iter.Seq[*V] {
	return func(yield func(*V) bool) {
		for _, node := range t.root {
			if node != nil && !node.each(yield) {
				return
			}
		}
	}
}

// each yields the node's items and reports whether to continue.
func (n *tableNode[K, V]) each(yield func(*V) bool) bool {
	for _, items := range n {
		for i := range items {
			if !yield(items[i].value) {
				return false
			}
		}
	}
	return true
}
