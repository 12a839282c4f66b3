package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

const (
	// Ends is the number of upstreams that must end under a request before it is held.
	// Fewer may end by chance while a request is repeated.
	Ends = 3
	// suspectEnds is the number from which on a request is suspected: one more decides.
	suspectEnds = Ends - 1
	// endsMost is the number from which on a request is held whatever else explains its
	// ends: two that ended the same upstreams would else excuse each other. By chance a
	// request stands at fewer, for its caller does not repeat it as often.
	endsMost = 2*Ends - 1
	// MaxLives bounds the ends that are remembered, and MaxPrints the requests noted
	// for each: 32,768 prints, 0.5 MB. An upstream runs fewer at a time.
	MaxLives, MaxPrints = 256, 128
	// MaxTold bounds the held requests that entries are told, and the suspected ones.
	MaxTold = 256
)

// Life is one life of an upstream.
type Life struct {
	Upstream string `cbor:"1,keyasint"`
	Born     uint64 `cbor:"2,keyasint,omitempty"`
}

// End is the end of an upstream with requests that were under way there.
type End struct {
	Life   Life    `cbor:"1,keyasint"`
	Prints []Print `cbor:"2,keyasint"`
}

// Ledger holds the ends of upstreams and judges by them. Two ledgers that took in the
// same in the same order judge alike. It is not safe for concurrent use.
type Ledger struct {
	// ends are by the order in which they were first heard of.
	ends []*End
	// counts are the ends at which each request stood.
	counts         map[Print]int
	held, suspects []Print
	revision       uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{counts: make(map[Print]int)} }

// Ended takes in ends, or further requests that were under way at known ones.
func (l *Ledger) Ended(ends ...End) {
	for _, e := range ends {
		l.add(e)
	}
	l.judge()
}

func (l *Ledger) add(e End) {
	known := l.find(e.Life)
	if known == nil {
		if len(l.ends) == MaxLives {
			l.drop(0)
		}
		known = &End{Life: e.Life}
		l.ends = append(l.ends, known)
	}
	for _, p := range e.Prints {
		if len(known.Prints) < MaxPrints && !slices.Contains(known.Prints, p) {
			known.Prints = append(known.Prints, p)
			l.counts[p]++
		}
	}
}

// Served clears requests that an upstream has run to a good end.
func (l *Ledger) Served(prints ...Print) {
	for _, p := range prints {
		if l.counts[p] == 0 {
			continue
		}
		delete(l.counts, p)
		for _, e := range l.ends {
			e.Prints = slices.DeleteFunc(e.Prints, func(other Print) bool { return other == p })
		}
	}
	l.judge()
}

// Forget drops ends.
func (l *Ledger) Forget(lives ...Life) {
	for _, life := range lives {
		if i := slices.IndexFunc(l.ends, func(e *End) bool { return e.Life == life }); i >= 0 {
			l.drop(i)
		}
	}
	l.judge()
}

// Lives lists the upstreams whose ends are remembered.
func (l *Ledger) Lives() []Life {
	lives := make([]Life, len(l.ends))
	for i, e := range l.ends {
		lives[i] = e.Life
	}
	return lives
}

// Held lists the requests that are to be sent to no upstream, at most MaxTold.
func (l *Ledger) Held() []Print { return l.held }

// Suspects lists further requests of which one more end may decide, at most MaxTold.
func (l *Ledger) Suspects() []Print { return l.suspects }

// Revision grows whenever Held or Suspects change.
func (l *Ledger) Revision() uint64 { return l.revision }

func (l *Ledger) find(life Life) *End {
	for _, e := range l.ends {
		if e.Life == life {
			return e
		}
	}
	return nil
}

// drop forgets the end at a place of the list.
func (l *Ledger) drop(at int) {
	for _, p := range l.ends[at].Prints {
		if l.counts[p]--; l.counts[p] == 0 {
			delete(l.counts, p)
		}
	}
	l.ends = slices.Delete(l.ends, at, at+1)
}

// judge renews the lists.
func (l *Ledger) judge() {
	held, unexplained := l.blame()
	suspects := unexplained.suspects()
	if slices.Equal(held, l.held) && slices.Equal(suspects, l.suspects) {
		return
	}
	l.held, l.suspects = held, suspects
	l.revision++
}

// blame lists the fewest requests that explain the ends, and what they leave
// unexplained.
func (l *Ledger) blame() ([]Print, stands) {
	unexplained := newStands(l.ends, l.counts)
	open := maps.Clone(unexplained)
	var held []Print
	for len(held) < MaxTold {
		group := open.most()
		if len(group) == 0 || len(open[group[0]]) < Ends {
			break
		}
		at := open[group[0]]
		if len(at) == Ends && len(group) > 1 {
			// They stood at just the same ends. Held together, an innocent one would
			// never be served again, and so never cleared; one more end tells them apart.
			for _, p := range group {
				delete(open, p)
			}
			continue
		}
		held = append(held, group...)
		open.explain(at)
		unexplained.explain(at)
	}
	held = append(held, l.excused(held)...)
	for _, p := range held {
		delete(unexplained, p)
	}
	return held[:min(len(held), MaxTold)], unexplained
}

// excused lists further requests that stood at too many ends for any excuse.
func (l *Ledger) excused(held []Print) []Print {
	var list []Print
	for p, n := range l.counts {
		if n >= endsMost && !slices.Contains(held, p) {
			list = append(list, p)
		}
	}
	sortPrints(list)
	return list
}

// stands are the ends at which requests stood, by the places of the ends.
type stands map[Print][]int

// newStands lists the requests that may be blamed or suspected.
func newStands(ends []*End, counts map[Print]int) stands {
	s := make(stands)
	for i, e := range ends {
		for _, p := range e.Prints {
			if counts[p] >= suspectEnds {
				s[p] = append(s[p], i)
			}
		}
	}
	return s
}

// most lists the requests that stood at the most ends. Of those that stood at as many
// it lists the ones with the earliest ends, which are the same for all of the list.
func (s stands) most() []Print {
	var best []Print
	var at []int
	for p, ends := range s {
		order := cmp.Or(cmp.Compare(len(ends), len(at)), -slices.Compare(ends, at))
		switch {
		case order > 0:
			best, at = []Print{p}, ends
		case order == 0:
			best = append(best, p)
		}
	}
	sortPrints(best)
	return best
}

// explain takes ends away from all requests that stood there.
func (s stands) explain(at []int) {
	for p, ends := range s {
		rest := slices.DeleteFunc(slices.Clone(ends), func(i int) bool { return slices.Contains(at, i) })
		if len(rest) == 0 {
			delete(s, p)
			continue
		}
		s[p] = rest
	}
}

// suspects lists the requests of which one more end may decide.
func (s stands) suspects() []Print {
	var list []Print
	for p, ends := range s {
		if len(ends) >= suspectEnds {
			list = append(list, p)
		}
	}
	sortPrints(list)
	return list[:min(len(list), MaxTold)]
}

func sortPrints(list []Print) {
	slices.SortFunc(list, func(a, b Print) int { return bytes.Compare(a[:], b[:]) })
}

// Saved is a ledger's whole state.
type Saved struct {
	Ends     []End  `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// Save returns the state.
func (l *Ledger) Save() Saved {
	saved := Saved{Revision: l.revision}
	for _, e := range l.ends {
		saved.Ends = append(saved.Ends, End{Life: e.Life, Prints: slices.Clone(e.Prints)})
	}
	return saved
}

// Restore replaces the state.
func (l *Ledger) Restore(s Saved) {
	*l = *NewLedger()
	l.Ended(s.Ends...)
	l.revision = s.Revision
}
