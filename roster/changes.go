package roster

import (
	"cmp"
	"slices"
)

// recordChange assigns the next revision to an upstream's change.
func (r *Roster) recordChange(id string) {
	r.revision++
	r.lastChange[id] = r.revision
	r.changes = append(r.changes, change{revision: r.revision, id: id})
	if len(r.changes) > 2*len(r.lastChange)+64 {
		r.changes = slices.DeleteFunc(r.changes, func(c change) bool { return r.lastChange[c.id] != c.revision })
	}
}

// Covers reports whether all changes after a revision are available. A reader with an
// earlier revision must be sent the complete roster again.
func (r *Roster) Covers(revision uint64) bool { return revision >= r.oldest && revision <= r.revision }

// Page returns the first upstreams that changed after a revision, sorted by revision, and
// the revision that a reader has after applying them. The list includes departed upstreams
// and has limit entries at most, or a few more. Pages from revision 0 on list the complete
// roster, so that thousands of upstreams are sent in answers that don't occupy the reader's
// link, or the memory of a host that answers hundreds of readers, for long.
func (r *Roster) Page(revision uint64, limit int) (list []Upstream, upTo uint64) {
	at, _ := slices.BinarySearchFunc(r.changes, revision+1, func(c change, from uint64) int { return cmp.Compare(c.revision, from) })
	for ; at < len(r.changes); at++ {
		c := r.changes[at]
		if r.lastChange[c.id] != c.revision {
			continue
		}
		// Changes of the same revision, as restored from a snapshot without revisions,
		// stay on one page.
		if len(list) >= limit && c.revision != upTo {
			return list, upTo
		}
		list, upTo = append(list, *r.upstreams[c.id]), c.revision
	}
	return list, r.revision
}

// restoreChanges restores the changes from a saved state. A state of an older format has
// no revisions.
func (r *Roster) restoreChanges(s Saved) {
	hasRevisions := len(s.Changed) == len(s.Upstreams)
	r.lastChange, r.changes, r.oldest = make(map[string]uint64, len(s.Upstreams)), nil, s.Revision
	if hasRevisions {
		r.oldest = s.Oldest
	}
	for i := range s.Upstreams {
		revision := s.Revision
		if hasRevisions {
			revision = s.Changed[i]
		}
		r.lastChange[s.Upstreams[i].ID] = revision
		r.changes = append(r.changes, change{revision: revision, id: s.Upstreams[i].ID})
	}
	slices.SortFunc(r.changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.id, b.id))
	})
}
