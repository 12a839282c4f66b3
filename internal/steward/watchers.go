package steward

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

const (
	// watcherTTL is the time for which a watcher counts after its last watch. Watches follow
	// one another within watchWait.
	watcherTTL = 1200 * time.Millisecond
	// relayTTL is the time after its last watch for which a control host is listed to entries
	// as a relay. Its watches follow one another within relayWait.
	relayTTL = 400 * time.Millisecond
)

// watchers are the recent callers of one host's watches: entries, and control hosts with the
// entries that watch them. The sum of their loads is maintained, so that an answer costs the
// same with many watchers as with few.
type watchers struct {
	// arrivals logs entries that come or change, and losses watchers that are silent.
	arrivals, losses throttledLog
	// newest returns the version of this host's configuration, 0 for none; nil means 0.
	newest func() catalog.Version
	clock  listeningClock

	mu     sync.Mutex
	byHost map[ident.Host]*watcher
	totals map[string]Load
	// cachedViews are the entries as of cachedViewsAt, and cachedLoads the loads of all
	// watchers plus further ones as of cachedLoadsAt.
	cachedViews   []EntryView
	cachedViewsAt time.Time
	cachedLoads   []Load
	cachedLoadsAt time.Time
}

type watcher struct {
	views []EntryView
	loads []Load
	// seen is the time of the latest watch, by the listening clock.
	seen time.Time
	// idle entries send requests rarely.
	idle bool
	// relay is set for a control host that answers watches itself. relayedRevision is the
	// revision of its list of entries, and document the version of its configuration.
	relay           *RelayView
	relayedRevision uint64
	document        catalog.Version
}

func newWatchers(log *log.Logger) *watchers {
	return &watchers{arrivals: throttledLog{log: log}, losses: throttledLog{log: log}, byHost: make(map[ident.Host]*watcher), totals: make(map[string]Load)}
}

// record records the caller's state in a watch, before the watch is answered. An entry without
// a configuration is recorded with this host's, which its answer carries: it may serve by that
// one from then on.
func (w *watchers) record(from port.Peer, request *WatchRequest, now time.Time) {
	now = w.clock.at(now)
	next := &watcher{views: request.RelayedEntries, loads: boundLoads(request.Loads), seen: now, idle: request.Idle}
	switch {
	case request.Entry != nil:
		view := *request.Entry
		view.Evacuation, view.Document = request.Evacuation, request.Document
		if view.Document == 0 && w.newest != nil {
			view.Document = w.newest()
		}
		next.views = []EntryView{view}
	case request.Relay:
		next.relay, next.document = &RelayView{Host: string(from.Host), DataCentre: string(from.DataCentre)}, request.Document
		if len(request.RelayedEntries) > 0 {
			next.relayedRevision = request.RelayedRevision
		}
	default:
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.byHost[from.Host]
	if request.Relay && known != nil && request.RelayedRevision != 0 && request.RelayedRevision == known.relayedRevision {
		next.views, next.relayedRevision = known.views, known.relayedRevision
	}
	if known != nil {
		w.addLoads(known.loads, -1)
	}
	if request.Entry != nil && (known == nil || !slices.EqualFunc(known.views, next.views, sameState)) {
		w.arrivals.info(now, "entry", "host", request.Entry.Host, "ready", request.Entry.Ready)
	}
	w.byHost[from.Host] = next
	w.addLoads(next.loads, 1)
	if known == nil || !slices.EqualFunc(known.views, next.views, sameState) {
		w.cachedViewsAt = time.Time{}
	}
}

// relayedRevision returns the revision of the entry list of a control host, 0 for none.
func (w *watchers) relayedRevision(host ident.Host) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.byHost[host]; known != nil {
		return known.relayedRevision
	}
	return 0
}

// refresh records that a watch was open until now.
func (w *watchers) refresh(from port.Peer, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.byHost[from.Host]; known != nil {
		known.seen = w.clock.at(now)
	}
}

// sameState reports whether two views of an entry differ at most in its rates and revisions,
// not in its addresses or readiness.
func sameState(a, b EntryView) bool {
	a.Rate, a.Most, a.Evacuation, a.Document = b.Rate, b.Most, b.Evacuation, b.Document
	return a == b
}

// activeWatchers returns the number of watchers that are not idle.
func (w *watchers) activeWatchers() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, known := range w.byHost {
		if !known.idle {
			n++
		}
	}
	return n
}

// expect adds an entry from another host's list as if it had just called.
func (w *watchers) expect(view EntryView, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byHost[ident.Host(view.Host)] = &watcher{views: []EntryView{view}, seen: w.clock.at(now)}
	w.cachedViewsAt = time.Time{}
}

// maxLoad bounds each value of a load, so that the sum of all watchers' fits an int.
const maxLoad = 1 << 40

// boundLoads limits loads to values that can be, in place.
func boundLoads(loads []Load) []Load {
	for i := range loads {
		for _, value := range []*int{&loads[i].Requests, &loads[i].Tokens, &loads[i].Unread} {
			*value = min(max(*value, 0), maxLoad)
		}
	}
	return loads
}

// addLoads adds loads to the totals, or with sign -1 subtracts them. The caller holds the lock.
func (w *watchers) addLoads(loads []Load, sign int) {
	for _, load := range loads {
		total := w.totals[load.Upstream].plus(load, sign)
		if total == (Load{Upstream: load.Upstream}) {
			delete(w.totals, load.Upstream)
			continue
		}
		w.totals[load.Upstream] = total
	}
}

// withdrawLoads forgets the loads of a watcher that reports them to another host.
func (w *watchers) withdrawLoads(host ident.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.byHost[host]; known != nil {
		w.addLoads(known.loads, -1)
		known.loads = nil
	}
}

// expire drops the watchers that have not called within watcherTTL. The caller holds the lock.
func (w *watchers) expire(now time.Time) {
	now = w.clock.at(now)
	for host, known := range w.byHost {
		if silent := now.Sub(known.seen); silent > watcherTTL {
			w.losses.info(now, "watcher lost", "host", host, "silent", silent)
			w.addLoads(known.loads, -1)
			delete(w.byHost, host)
		}
	}
}

// viewsTTL is the time for which a list of the entries is reused. The leader adds it to each
// answer to a control host, and reads it for each caller of the directory: sorting a thousand
// entries takes longer than the rest of either.
const viewsTTL = 50 * time.Millisecond

// recentEntries returns the list of entries as of at most viewsTTL ago, up to date for entries
// that have come or changed their state. The list must not be changed.
func (w *watchers) recentEntries(now time.Time) []EntryView {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cachedViewsAt.IsZero() || now.Sub(w.cachedViewsAt) >= viewsTTL {
		w.cachedViews, w.cachedViewsAt = w.list(now), now
	}
	return w.cachedViews
}

// entries lists the recent entries, by host.
func (w *watchers) entries(now time.Time) []EntryView {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list(now)
}

// list lists the recent entries, by host. An entry that two watchers report, as after it turned
// from one to the other, is ready if both report so, and has the lower reported revision of the
// evacuations and the lower reported version of the configuration. The caller holds the lock.
func (w *watchers) list(now time.Time) []EntryView {
	w.expire(now)
	var views []EntryView
	for _, known := range w.byHost {
		views = append(views, known.views...)
	}
	slices.SortFunc(views, func(a, b EntryView) int { return strings.Compare(a.Host, b.Host) })
	merged := views[:0]
	for _, view := range views {
		last := len(merged) - 1
		if last < 0 || merged[last].Host != view.Host {
			merged = append(merged, view)
			continue
		}
		switch {
		case merged[last].Starting:
			// The report is from before the entry had a configuration, and turned to another host.
			merged[last].Ready, merged[last].Starting = view.Ready, view.Starting
		case !view.Starting:
			merged[last].Ready = merged[last].Ready && view.Ready
		}
		merged[last].Evacuation = min(merged[last].Evacuation, view.Evacuation)
		merged[last].Document = min(merged[last].Document, view.Document)
	}
	return merged
}

// countIf returns the number of recent entries for which match is true; an entry that two
// watchers report may count twice.
func (w *watchers) countIf(match func(*EntryView) bool, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now)
	n := 0
	for _, known := range w.byHost {
		for i := range known.views {
			if match(&known.views[i]) {
				n++
			}
		}
	}
	return n
}

// relaysBefore returns the number of recent relays with an older configuration.
func (w *watchers) relaysBefore(version catalog.Version, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now)
	n := 0
	for _, known := range w.byHost {
		if known.relay != nil && known.document < version {
			n++
		}
	}
	return n
}

// count returns the number of recent entries; an entry that two watchers report counts twice.
func (w *watchers) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, known := range w.byHost {
		total += len(known.views)
	}
	return total
}

// relays lists the control hosts that answer watches, by host.
func (w *watchers) relays(now time.Time) []RelayView {
	w.mu.Lock()
	defer w.mu.Unlock()
	now = w.clock.at(now)
	var list []RelayView
	for _, known := range w.byHost {
		if known.relay != nil && now.Sub(known.seen) <= relayTTL {
			list = append(list, *known.relay)
		}
	}
	slices.SortFunc(list, func(a, b RelayView) int { return strings.Compare(a.Host, b.Host) })
	return list
}

// loads returns the totals.
func (w *watchers) loads() []Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return loadList(w.totals)
}

// loadsTTL is the time for which the sum of all loads is reused for watchers without loads of
// their own. Most entries of a large fleet have none.
const loadsTTL = 20 * time.Millisecond

// loadsExcept lists the totals of all watchers but one, with further loads added. The list must
// not be changed.
func (w *watchers) loadsExcept(host ident.Host, further []Load, now time.Time) []Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.byHost[host]
	if known != nil && len(known.loads) > 0 {
		return w.sumExcept(known, further)
	}
	if w.cachedLoadsAt.IsZero() || now.Sub(w.cachedLoadsAt) >= loadsTTL {
		w.cachedLoads, w.cachedLoadsAt = w.sumExcept(nil, further), now
	}
	return w.cachedLoads
}

// sumExcept lists the totals of all watchers but one, nil for none, with further loads added.
// The caller holds the lock.
func (w *watchers) sumExcept(except *watcher, further []Load) []Load {
	sums := make(map[string]Load, len(w.totals))
	for upstream, total := range w.totals {
		sums[upstream] = total
	}
	for _, load := range further {
		sums[load.Upstream] = sums[load.Upstream].plus(load, 1)
	}
	if except != nil {
		for _, load := range except.loads {
			sums[load.Upstream] = sums[load.Upstream].plus(load, -1)
		}
	}
	return loadList(sums)
}

func loadList(sums map[string]Load) []Load {
	list := make([]Load, 0, len(sums))
	for upstream, sum := range sums {
		if sum != (Load{Upstream: upstream}) {
			list = append(list, sum)
		}
	}
	return list
}

// plus returns the sum of two loads, or with sign -1 their difference.
func (l Load) plus(other Load, sign int) Load {
	return Load{
		Upstream: other.Upstream,
		Requests: l.Requests + sign*other.Requests,
		Tokens:   l.Tokens + sign*other.Tokens,
		Unread:   l.Unread + sign*other.Unread,
	}
}
