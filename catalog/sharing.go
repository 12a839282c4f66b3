package catalog

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxFormer bounds Sharing.Former; each takes 9 bytes in a snapshot.
const maxFormer = 1 << 14

// Sharing says which kept prompts the teams that are not isolated share. It follows from the series
// of configurations and is part of the replicated state, since nothing tells later which team's
// request made a kept prompt: without it a team's prompts would stay in use by the others after the
// team is isolated.
type Sharing struct {
	// Pool is the version of the configuration that began the present pool of kept prompts, 0 for
	// the first pool. A configuration that isolates a team that shared the pool begins another one.
	Pool Version `cbor:"1,keyasint,omitempty"`
	// Former identifies, by name and keys, the teams that shared the present pool and are no
	// longer in the configuration: one may return isolated, or under another name. It is sorted.
	Former []uint64 `cbor:"2,keyasint,omitempty"`
	// Unknown indicates that not all teams that shared the present pool are known.
	Unknown bool `cbor:"3,keyasint,omitempty"`
}

// Succeed sets the document's Sharing from the configuration that it replaces, nil for none.
func (d *Document) Succeed(previous *Document) {
	d.Sharing = &Sharing{}
	if previous == nil {
		return
	}
	sharing := previous.sharing()
	sharing.Former = previous.formerTeams(sharing.Former, d)
	if d.isolatesFromPool(previous, &sharing) {
		d.Sharing.Pool = d.Version
		return
	}
	if len(sharing.Former) > maxFormer {
		sharing.Former, sharing.Unknown = nil, true
	}
	d.Sharing = &sharing
}

// sharing returns the Sharing of an accepted document. One from the state of a release that kept none
// has isolated teams that may have shared the pool before, or teams may have left it.
func (d *Document) sharing() Sharing {
	switch {
	case d.Sharing != nil:
		return *d.Sharing
	case len(d.isolatedTeams()) > 0:
		return Sharing{Pool: d.Version}
	}
	return Sharing{Unknown: true}
}

// Restore sets the Sharing of a document that was read from a snapshot.
func (d *Document) Restore() {
	sharing := d.sharing()
	d.Sharing = &sharing
}

// CachePool returns the pool of kept prompts of the teams that are not isolated.
func (d *Document) CachePool() Version {
	if d.Sharing == nil {
		return 0
	}
	return d.Sharing.Pool
}

// isolatesFromPool reports whether a team that may have shared the previous configuration's pool is
// isolated by d. A team that shared it is known by its name or, if it is gone, by a key that it had.
func (d *Document) isolatesFromPool(previous *Document, sharing *Sharing) bool {
	isolated, isolatedBefore := d.isolatedTeams(), previous.isolatedTeams()
	shared := make(map[string]bool)
	for i := range previous.Teams {
		if name := previous.Teams[i].Name; !isolatedBefore[name] {
			shared[name] = true
		}
	}
	for i := range d.Teams {
		team := &d.Teams[i]
		switch {
		case !isolated[team.Name]:
		case shared[team.Name], sharing.Unknown && !isolatedBefore[team.Name]:
			return true
		case slices.ContainsFunc(team.identities(), func(id uint64) bool { return contains(sharing.Former, id) }):
			return true
		}
	}
	return false
}

// formerTeams adds to the identities of former teams those of the teams that shared the document's pool
// and are not in the next one.
func (d *Document) formerTeams(former []uint64, next *Document) []uint64 {
	former = slices.Clone(former)
	isolated, stays := d.isolatedTeams(), make(map[string]bool, len(next.Teams))
	for i := range next.Teams {
		stays[next.Teams[i].Name] = true
	}
	for i := range d.Teams {
		if team := &d.Teams[i]; !isolated[team.Name] && !stays[team.Name] {
			former = append(former, team.identities()...)
		}
	}
	slices.Sort(former)
	return slices.Compact(former)
}

// isolatedTeams returns the names of the isolated teams.
func (d *Document) isolatedTeams() map[string]bool {
	names := make(map[string]bool)
	for i := range d.Teams {
		if d.Teams[i].Isolated {
			names[d.Teams[i].Name] = true
		}
	}
	return names
}

// identities returns hashes of a team's name and keys.
func (t *Team) identities() []uint64 {
	list := []uint64{xxhash.Sum64String("name " + t.Name)}
	for _, key := range t.Keys {
		list = append(list, xxhash.Sum64String("key "+key))
	}
	return list
}

func contains(sorted []uint64, id uint64) bool {
	_, found := slices.BinarySearch(sorted, id)
	return found
}
