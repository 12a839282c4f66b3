package roster

import (
	"cmp"
	"slices"
)

// noteChange gives an upstream's change the next revision.
func (r *Roster) noteChange(id string) {
	r.revision++
	r.changed[id] = r.revision
	r.order = append(r.order, change{revision: r.revision, id: id})
	if len(r.order) > 2*len(r.changed)+64 {
		r.order = slices.DeleteFunc(r.order, func(c change) bool { return r.changed[c.id] != c.revision })
	}
}

// Covers reports whether all changes after a revision are known. Readers that hold an
// earlier one must be told all upstreams again.
func (r *Roster) Covers(revision uint64) bool { return revision >= r.floor && revision <= r.revision }

// Page lists the first upstreams that changed after a revision, by their changes, most
// of them or a few more, and the revision that a reader has come to with them. Those that
// are gone by now are among them. From revision 0 on, pages tell the whole roster: a
// reader is told thousands of upstreams without an answer that takes its link, or the
// memory of who answers hundreds of readers, for long.
func (r *Roster) Page(revision uint64, most int) (list []Upstream, upTo uint64) {
	at, _ := slices.BinarySearchFunc(r.order, revision+1, func(c change, from uint64) int { return cmp.Compare(c.revision, from) })
	for ; at < len(r.order); at++ {
		c := r.order[at]
		if r.changed[c.id] != c.revision {
			continue
		}
		// Changes of one revision, as a snapshot without revisions has them, stay together.
		if len(list) >= most && c.revision != upTo {
			return list, upTo
		}
		list, upTo = append(list, *r.upstreams[c.id]), c.revision
	}
	return list, r.revision
}

// restoreChanges takes the changes from a saved state. One of an earlier format tells no
// revisions.
func (r *Roster) restoreChanges(s Saved) {
	told := len(s.Changed) == len(s.Upstreams)
	r.changed, r.order, r.floor = make(map[string]uint64, len(s.Upstreams)), nil, s.Revision
	if told {
		r.floor = s.Floor
	}
	for i := range s.Upstreams {
		revision := s.Revision
		if told {
			revision = s.Changed[i]
		}
		r.changed[s.Upstreams[i].ID] = revision
		r.order = append(r.order, change{revision: revision, id: s.Upstreams[i].ID})
	}
	slices.SortFunc(r.order, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.id, b.id))
	})
}
