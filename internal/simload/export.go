package simload

import (
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/prefix"
)

// exporter executes an export: it reserves, writes and commits its blocks one at a
// time, in the background.
type exporter struct {
	engine      *engine
	store       *store
	tier        prefix.Tier
	blocks      []prefix.BlockID
	incarnation ident.Incarnation
	// reserved, committed and failed are called on the steps of each block.
	reserved  func(prefix.BlockID, reservation)
	committed func(prefix.BlockID, prefix.Copy)
	failed    func(prefix.BlockID, exportFailure)
}

// exportFailure is the reason why a granted block was not written.
type exportFailure uint8

const (
	engineLost exportFailure = iota
	storeLost
)

func (x *exporter) step() {
	for len(x.blocks) > 0 {
		id := x.blocks[0]
		x.blocks = x.blocks[1:]
		h := x.engine.cache.blocks[id]
		if h == nil || x.engine.dead {
			x.failed(id, engineLost)
			continue
		}
		answer := x.store.reserve(id, x.tier)
		x.reserved(id, answer)
		if answer == granted {
			x.write(h)
			return
		}
	}
}

func (x *exporter) write(h *cachedBlock) {
	h.pins++
	path := []*link{x.engine.link, x.store.link}
	if x.tier == prefix.Disk {
		path = append(path, x.store.disk)
	}
	sendThrough(path, blockBytes, true, func() {
		h.pins--
		copied, ok := x.store.commit(h.id, h.origin, x.incarnation)
		if ok {
			x.committed(h.id, copied)
		} else {
			x.failed(h.id, storeLost)
		}
		x.step()
	})
}
