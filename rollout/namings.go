package rollout

import "time"

// maxNamings bounds the versions of one model whose naming is remembered. A fleet
// is brought to each within a bound of some ten seconds, so that 64 namings reach
// minutes back even when one follows the other within seconds.
const maxNamings = 64

// naming is when a version was named, by the steady clock of the host that noted it.
type naming struct {
	version uint64
	at      time.Time
}

// TargetVersions holds when the versions of each model were named. It is not safe for
// concurrent use.
type TargetVersions struct {
	byModel map[string][]naming
}

// NewTargetVersions returns a record without any version.
func NewTargetVersions() *TargetVersions { return &TargetVersions{byModel: make(map[string][]naming)} }

// Record remembers that a version was named at a time. A version that is not newer
// than all before changes nothing.
func (n *TargetVersions) Record(model string, version uint64, at time.Time) {
	list := n.byModel[model]
	if len(list) > 0 && version <= list[len(list)-1].version {
		return
	}
	list = append(list, naming{version: version, at: at})
	if len(list) > maxNamings {
		// The oldest stays: its bound must not begin later for the runners that
		// still lack it.
		list = append(list[:1], list[2:]...)
	}
	n.byModel[model] = list
}

// Newest returns the newest version of a model, 0 when none was named.
func (n *TargetVersions) Newest(model string) uint64 {
	list := n.byModel[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// FirstLacked returns when the first version after has was named, and false when
// there is none.
func (n *TargetVersions) FirstLacked(model string, has uint64) (time.Time, bool) {
	for _, known := range n.byModel[model] {
		if known.version > has {
			return known.at, true
		}
	}
	return time.Time{}, false
}

// Clone returns a copy.
func (n *TargetVersions) Clone() *TargetVersions {
	copied := NewTargetVersions()
	for model, list := range n.byModel {
		copied.byModel[model] = append([]naming(nil), list...)
	}
	return copied
}
