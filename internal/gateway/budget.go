package gateway

import "time"

// The budget of further sends is shared by the entries that take requests, without a word
// between them: each draws on its share, and the shares add up to half of what the
// deployment allows, so that an entry which restarts with a fresh share does
// not carry the sum beyond it.
const (
	// budgetWindow is the sliding window in which further sends are counted.
	budgetWindow = 10 * time.Second
	// budgetSlots divide the window.
	budgetSlots = 20
	// budgetShare is the part of the allowance that the shares add up to.
	budgetShare = 0.5
	// fewestEntries is the least number of entries that the fixed allowance is
	// divided by, while their number is not known.
	fewestEntries = 8
)

// BudgetLimits are what the deployment allows in a window.
type BudgetLimits struct {
	// Ratio is the further sends allowed for each request, Extra those allowed
	// on top for each service.
	Ratio float64
	Extra int
}

// budgets count each service's requests and further sends.
type budgets struct {
	limits BudgetLimits
	// start is the origin of the slots; the time of day may jump.
	start    time.Time
	services map[string]*window
}

type window struct {
	slots [budgetSlots]struct {
		at             int64
		requests, more int
	}
}

func newBudgets() *budgets {
	return &budgets{start: time.Now(), services: make(map[string]*window)}
}

func (b *budgets) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	return w
}

func (w *window) sums(slot int64) (requests, more int) {
	for i := range w.slots {
		if s := &w.slots[i]; slot-s.at < budgetSlots {
			requests += s.requests
			more += s.more
		}
	}
	return requests, more
}

func (w *window) add(slot int64, requests, more int) {
	s := &w.slots[slot%budgetSlots]
	if s.at != slot {
		s.at, s.requests, s.more = slot, 0, 0
	}
	s.requests += requests
	s.more += more
}

// slot numbers from budgetSlots on, so that the zero slot is long past.
func (b *budgets) slot(now time.Time) int64 {
	return budgetSlots + int64(now.Sub(b.start)/(budgetWindow/budgetSlots))
}

// first counts a request's first send.
func (b *budgets) first(service string, now time.Time) {
	b.window(service).add(b.slot(now), 1, 0)
}

// take draws one further send and reports whether it is allowed.
func (b *budgets) take(service string, entries int, now time.Time) bool {
	w := b.window(service)
	slot := b.slot(now)
	requests, more := w.sums(slot)
	allowed := budgetShare * (b.limits.Ratio*float64(requests) + float64(b.limits.Extra)/float64(max(entries, fewestEntries)))
	if float64(more+1) > allowed {
		return false
	}
	w.add(slot, 0, 1)
	return true
}
