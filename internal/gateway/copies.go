package gateway

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/replicate"
)

// copyFill is the share of a store up to which it takes second copies. Stores evict nothing: the
// rest is for parts that are in no store.
const copyFill = 0.5

// copies decides about the second copies of shared parts in stores.
type copies struct {
	// mbps is LoadOptions.CopyMbps.
	mbps   float64
	budget replicate.Budget
	// decided counts the decisions.
	decided [replicate.NoRoom + 1]int
}

// plannedCopy is a second copy that a plan may make.
type plannedCopy struct {
	part, bytes int
	// returned indicates that the part was asked for lately.
	returned bool
}

// keepSalt returns the salt by which entries find the store that keeps a part. It alternates with
// time: a part that is in no store a while after it was saved is saved at another one, since the
// first may have no room, or may hold it without any entry knowing.
func (s *state) keepSalt(salt string, now time.Time) string {
	if !s.shareParts || now.UnixMilli()/saveTimeout.Milliseconds()%2 == 0 {
		return salt
	}
	return salt + "#"
}

// planCopy returns the store for a second copy of a part, -1 for none: the part is large and in one
// store alone.
func (s *state) planCopy(rates *placement.Rates, p *plan, view *promptView, part int, stores []placement.Store, addresses []string, now time.Time) int {
	size := view.prompt.Parts[part]
	if s.copies.mbps <= 0 || size.Tokens < replicate.MinReadTokens || s.isPending(view.keys[part], now) || s.isRetired(view.keys[part], addresses) {
		return -1
	}
	spare := make([]placement.Store, len(stores))
	copy(spare, stores)
	for i := range spare {
		if float64(spare[i].Used+size.Tokens) > copyFill*float64(spare[i].Capacity) {
			spare[i].Open = false
		}
	}
	holders := 0
	for _, at := range view.prompt.Complete[part] {
		spare[at].Open = false
		if stores[at].Capacity > 0 {
			holders++
		}
	}
	if holders != 1 {
		return -1
	}
	at := placement.KeepAt(rates, s.keepSalt(view.salt, now), size, view.prompt.TokenBytes, spare)
	if at < 0 {
		s.copies.decided[replicate.NoRoom]++
		return -1
	}
	p.copies = append(p.copies, plannedCopy{part: part, bytes: size.Tokens * view.prompt.TokenBytes, returned: s.recent.knows(view.keys[part], now)})
	return at
}

// takeCopies takes the copies of a plan from the budget and drops those that exceed it.
func (s *state) takeCopies(p *plan, now time.Time) {
	for _, c := range p.copies {
		share := s.copies.mbps * 1e6 / 8 / float64(max(s.entries, 1))
		decision := s.copies.budget.Take(c.bytes, share, c.returned, now)
		s.copies.decided[decision]++
		if decision != replicate.Copy {
			p.send.Prompt.Save[c.part] = ""
		}
	}
	if len(p.copies) > 0 && !slices.ContainsFunc(p.send.Prompt.Save, func(address string) bool { return address != "" }) {
		p.send.Prompt.Save = nil
	}
}
