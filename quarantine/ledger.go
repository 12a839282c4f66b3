package quarantine

import (
	"bytes"
	"maps"
	"slices"
)

const (
	// CrashThreshold is the number of upstreams that must end under a request before it is held.
	// Fewer may end by chance while a request is repeated.
	CrashThreshold = 3
	// suspectEnds is the number from which on a request is suspected: one more decides.
	suspectEnds = CrashThreshold - 1
	// MaxCrashes bounds the ends that are remembered, and MaxPrints the requests noted
	// for each: 32,768 prints, 0.5 MB. An upstream runs fewer at a time.
	MaxCrashes, MaxFingerprints = 256, 128
	// MaxTold bounds the held requests that entries are told, and the suspected ones.
	MaxTold = 256
)

// Incarnation is one life of an upstream.
type Incarnation struct {
	Upstream  string `cbor:"1,keyasint"`
	StartedMs uint64 `cbor:"2,keyasint,omitempty"`
}

// Crash is the end of an upstream with requests that were under way there.
type Crash struct {
	Life   Incarnation   `cbor:"1,keyasint"`
	Prints []Fingerprint `cbor:"2,keyasint"`
}

// Tracker holds the ends of upstreams and judges by them. Two ledgers that took in the
// same in the same order judge alike. It is not safe for concurrent use.
type Tracker struct {
	// ends are by the order in which they were first heard of.
	ends []*Crash
	// counts are the ends at which each request stood.
	counts         map[Fingerprint]int
	held, suspects []Fingerprint
	revision       uint64
}

// NewTracker returns an empty ledger.
func NewTracker() *Tracker { return &Tracker{counts: make(map[Fingerprint]int)} }

// Ended takes in ends, or further requests that were under way at known ones.
func (l *Tracker) Ended(ends ...Crash) {
	for _, e := range ends {
		l.add(e)
	}
	l.judge()
}

func (l *Tracker) add(e Crash) {
	known := l.find(e.Life)
	if known == nil {
		if len(l.ends) == MaxCrashes {
			l.drop(0)
		}
		known = &Crash{Life: e.Life}
		l.ends = append(l.ends, known)
	}
	for _, p := range e.Prints {
		if len(known.Prints) < MaxFingerprints && !slices.Contains(known.Prints, p) {
			known.Prints = append(known.Prints, p)
			l.counts[p]++
		}
	}
}

// Served clears requests that an upstream has run to a good end.
func (l *Tracker) Served(prints ...Fingerprint) {
	for _, p := range prints {
		if l.counts[p] == 0 {
			continue
		}
		delete(l.counts, p)
		for _, e := range l.ends {
			e.Prints = slices.DeleteFunc(e.Prints, func(other Fingerprint) bool { return other == p })
		}
	}
	l.judge()
}

// Forget drops ends.
func (l *Tracker) Forget(lives ...Incarnation) {
	for _, life := range lives {
		if i := slices.IndexFunc(l.ends, func(e *Crash) bool { return e.Life == life }); i >= 0 {
			l.drop(i)
		}
	}
	l.judge()
}

// Incarnations lists the upstreams whose ends are remembered.
func (l *Tracker) Incarnations() []Incarnation {
	lives := make([]Incarnation, len(l.ends))
	for i, e := range l.ends {
		lives[i] = e.Life
	}
	return lives
}

// Quarantined lists the requests that are to be sent to no upstream, at most MaxTold.
func (l *Tracker) Quarantined() []Fingerprint { return l.held }

// Suspects lists further requests of which one more end may decide, at most MaxTold.
func (l *Tracker) Suspects() []Fingerprint { return l.suspects }

// Revision grows whenever Held or Suspects change.
func (l *Tracker) Revision() uint64 { return l.revision }

func (l *Tracker) find(life Incarnation) *Crash {
	for _, e := range l.ends {
		if e.Life == life {
			return e
		}
	}
	return nil
}

// drop forgets the end at a place of the list.
func (l *Tracker) drop(at int) {
	for _, p := range l.ends[at].Prints {
		if l.counts[p]--; l.counts[p] == 0 {
			delete(l.counts, p)
		}
	}
	l.ends = slices.Delete(l.ends, at, at+1)
}

// judge renews the lists.
func (l *Tracker) judge() {
	held := l.blame()
	suspects := l.suspect(held)
	if slices.Equal(held, l.held) && slices.Equal(suspects, l.suspects) {
		return
	}
	l.held, l.suspects = held, suspects
	l.revision++
}

// blame lists the requests to hold. Of those that stood at enough ends, each that was
// alone at one of them must have brought it about, and explains all ends at which it
// stood. The others are blamed for what is left, but for those that stood at just the
// same few ends: held together, an innocent one would never be served again, and so never
// cleared; one more end tells them apart.
func (l *Tracker) blame() []Fingerprint {
	stood := l.standing(CrashThreshold)
	held := alone(stood)
	explained := endsOf(held, stood)
	var rest []Fingerprint
	for p, ends := range stood {
		if !held[p] && slices.ContainsFunc(ends, func(i int) bool { return !explained[i] }) {
			rest = append(rest, p)
		}
	}
	for _, p := range rest {
		same := func(other Fingerprint) bool { return other != p && slices.Equal(stood[other], stood[p]) }
		if len(stood[p]) > CrashThreshold || !slices.ContainsFunc(rest, same) {
			held[p] = true
		}
	}
	return told(held)
}

// suspect lists further requests that stood at enough ends which no held one explains.
func (l *Tracker) suspect(held []Fingerprint) []Fingerprint {
	stood := l.standing(suspectEnds)
	isHeld := make(map[Fingerprint]bool, len(held))
	for _, p := range held {
		isHeld[p] = true
	}
	explained := endsOf(isHeld, stood)
	suspects := make(map[Fingerprint]bool)
	for p, ends := range stood {
		left := len(ends)
		for _, i := range ends {
			if explained[i] {
				left--
			}
		}
		if left >= suspectEnds {
			suspects[p] = true
		}
	}
	return told(suspects)
}

// standing tells for each request that stood at so many ends which these are, by their
// places.
func (l *Tracker) standing(least int) map[Fingerprint][]int {
	stood := make(map[Fingerprint][]int)
	for i, e := range l.ends {
		for _, p := range e.Prints {
			if l.counts[p] >= least {
				stood[p] = append(stood[p], i)
			}
		}
	}
	return stood
}

// alone are the requests at one of whose ends no other of them stood.
func alone(stood map[Fingerprint][]int) map[Fingerprint]bool {
	others := make(map[int]int)
	for _, ends := range stood {
		for _, i := range ends {
			others[i]++
		}
	}
	found := make(map[Fingerprint]bool)
	for p, ends := range stood {
		if slices.ContainsFunc(ends, func(i int) bool { return others[i] == 1 }) {
			found[p] = true
		}
	}
	return found
}

// endsOf are the ends at which some requests stood.
func endsOf(requests map[Fingerprint]bool, stood map[Fingerprint][]int) map[int]bool {
	ends := make(map[int]bool)
	for p := range requests {
		for _, i := range stood[p] {
			ends[i] = true
		}
	}
	return ends
}

// told lists requests in one order, as many as are told.
func told(requests map[Fingerprint]bool) []Fingerprint {
	list := slices.SortedFunc(maps.Keys(requests), func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return list[:min(len(list), MaxTold)]
}

// Saved is a ledger's whole state.
type Saved struct {
	Ends     []Crash `cbor:"1,keyasint"`
	Revision uint64  `cbor:"2,keyasint"`
}

// Save returns the state.
func (l *Tracker) Save() Saved {
	saved := Saved{Revision: l.revision}
	for _, e := range l.ends {
		saved.Ends = append(saved.Ends, Crash{Life: e.Life, Prints: slices.Clone(e.Prints)})
	}
	return saved
}

// Restore replaces the state.
func (l *Tracker) Restore(s Saved) {
	*l = *NewTracker()
	l.Ended(s.Ends...)
	l.revision = s.Revision
}
