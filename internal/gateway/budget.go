package gateway

import "time"

// The retry budget is shared by the active entries without coordination: each draws on its own
// share. The shares add up to half of the deployment's allowance, so that an entry that
// restarts with a fresh share doesn't bring the total above the allowance.
const (
	// budgetWindow is the sliding window in which retries are counted.
	budgetWindow = 10 * time.Second
	// budgetSlots is the number of slots of the window.
	budgetSlots = 20
	// budgetShare is the fraction of the allowance that the shares add up to.
	budgetShare = 0.5
	// minEntries is the smallest divisor of the fixed allowance: it applies while the number
	// of entries is unknown, and if there are fewer entries than that.
	minEntries = 8
)

// BudgetLimits is the number of retries that the deployment allows per window.
type BudgetLimits struct {
	// Ratio is the number of retries allowed per request, Extra the number allowed in addition
	// for each service.
	Ratio float64
	Extra int
}

// budgets counts the requests and retries of each service.
type budgets struct {
	limits BudgetLimits
	// start is the origin of the slots. It is monotonic, since the wall clock may jump.
	start    time.Time
	services map[string]*window
}

type window struct {
	slots [budgetSlots]struct {
		at                int64
		requests, retries int
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

func (w *window) sums(slot int64) (requests, retries int) {
	for i := range w.slots {
		if s := &w.slots[i]; slot-s.at < budgetSlots {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}

func (w *window) add(slot int64, requests, retries int) {
	s := &w.slots[slot%budgetSlots]
	if s.at != slot {
		s.at, s.requests, s.retries = slot, 0, 0
	}
	s.requests += requests
	s.retries += retries
}

// slot returns the number of the current slot. Numbers start at budgetSlots, so that the zero
// slot is outside the window.
func (b *budgets) slot(now time.Time) int64 {
	return budgetSlots + int64(now.Sub(b.start)/(budgetWindow/budgetSlots))
}

// countRequest counts the first send of a request.
func (b *budgets) countRequest(service string, now time.Time) {
	b.window(service).add(b.slot(now), 1, 0)
}

// allowRetry reports whether the budget allows one more retry, and counts it if so.
func (b *budgets) allowRetry(service string, entries int, now time.Time) bool {
	w := b.window(service)
	slot := b.slot(now)
	requests, retries := w.sums(slot)
	allowed := budgetShare * (b.limits.Ratio*float64(requests) + float64(b.limits.Extra)/float64(max(entries, minEntries)))
	if float64(retries+1) > allowed {
		return false
	}
	w.add(slot, 0, 1)
	return true
}
