package steward

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

const (
	// watcherKept is how long a watcher counts after its last watch. Watches
	// follow one another within watchWait.
	watcherKept = 1200 * time.Millisecond
	// relayKept is how long a control host is named to entries as one to ask
	// after its last watch. Its watches follow one another within relayWait.
	relayKept = 400 * time.Millisecond
)

// watchers are those who lately asked one host for news: entries, and control
// hosts with the entries that asked them. Their loads are kept added up, so
// that an answer costs as much with many watchers as with few.
type watchers struct {
	// came and lost write about entries that come or change, and about watchers that are
	// silent.
	came, lost sparseLog

	mu     sync.Mutex
	byHost map[ident.Host]*watcher
	totals map[string]Load
	// listedViews are the entries as of listedAt, and listedLoads the loads of all with
	// further ones as of loadsAt.
	listedViews []EntryView
	listedAt    time.Time
	listedLoads []Load
	loadsAt     time.Time
}

type watcher struct {
	views []EntryView
	loads []Load
	seen  time.Time
	// idle entries ask seldom.
	idle bool
	// relay is set for a control host that answers watches itself, and belowAt is the number
	// of its list of entries.
	relay   *RelayView
	belowAt uint64
}

func newWatchers(log *log.Logger) *watchers {
	return &watchers{came: sparseLog{log: log}, lost: sparseLog{log: log}, byHost: make(map[ident.Host]*watcher), totals: make(map[string]Load)}
}

// follow takes in what a watch says of its caller.
func (w *watchers) follow(from port.Peer, request *WatchRequest, now time.Time) {
	next := &watcher{views: request.RelayedEntries, loads: request.Loads, seen: now, idle: request.Idle}
	switch {
	case request.Entry != nil:
		view := *request.Entry
		view.Evacuation, view.Document = request.Evacuation, request.Document
		next.views = []EntryView{view}
	case request.Relay:
		next.relay = &RelayView{Host: string(from.Host), DataCentre: string(from.DataCentre)}
		if len(request.RelayedEntries) > 0 {
			next.belowAt = request.RelayedRevision
		}
	default:
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.byHost[from.Host]
	if request.Relay && known != nil && request.RelayedRevision != 0 && request.RelayedRevision == known.belowAt {
		next.views, next.belowAt = known.views, known.belowAt
	}
	if known != nil {
		w.sum(known.loads, -1)
	}
	if request.Entry != nil && (known == nil || !slices.EqualFunc(known.views, next.views, sameState)) {
		w.came.info(now, "entry", "host", request.Entry.Host, "ready", request.Entry.Ready)
	}
	w.byHost[from.Host] = next
	w.sum(next.loads, 1)
	if known == nil || !slices.EqualFunc(known.views, next.views, sameState) {
		w.listedAt = time.Time{}
	}
}

// belowAt is the number of the list of entries that a control host told, 0 for none.
func (w *watchers) belowAt(host ident.Host) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.byHost[host]; known != nil {
		return known.belowAt
	}
	return 0
}

// touch notes that a watch was open until now.
func (w *watchers) touch(from port.Peer, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.byHost[from.Host]; known != nil {
		known.seen = now
	}
}

// sameState reports whether an entry takes callers as before, and where.
func sameState(a, b EntryView) bool {
	a.Rate, a.Most, a.Evacuation, a.Document = b.Rate, b.Most, b.Evacuation, b.Document
	return a == b
}

// busy is the number of watchers that are not idle.
func (w *watchers) busy() int {
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

// expect counts an entry as heard of, as another host told.
func (w *watchers) expect(view EntryView, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byHost[ident.Host(view.Host)] = &watcher{views: []EntryView{view}, seen: now}
	w.listedAt = time.Time{}
}

// sum adds loads to the totals, or takes them away. The caller holds the lock.
func (w *watchers) sum(loads []Load, sign int) {
	for _, load := range loads {
		total := w.totals[load.Upstream].plus(load, sign)
		if total == (Load{Upstream: load.Upstream}) {
			delete(w.totals, load.Upstream)
			continue
		}
		w.totals[load.Upstream] = total
	}
}

// forget drops the watchers that have not asked lately. The caller holds the
// lock.
func (w *watchers) forget(now time.Time) {
	for host, known := range w.byHost {
		if silent := now.Sub(known.seen); silent > watcherKept {
			w.lost.info(now, "watcher lost", "host", host, "silent", silent)
			w.sum(known.loads, -1)
			delete(w.byHost, host)
		}
	}
}

// viewsKept is how long a list of the entries is used again. The leader puts them into
// each answer to a control host, and looks them up for each caller of the directory:
// putting a thousand in order takes longer than the rest of either.
const viewsKept = 50 * time.Millisecond

// recentEntries is entries as of viewsKept ago at most, but for entries that have come or
// changed their state. The list must not be changed.
func (w *watchers) recentEntries(now time.Time) []EntryView {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listedAt.IsZero() || now.Sub(w.listedAt) >= viewsKept {
		w.listedViews, w.listedAt = w.list(now), now
	}
	return w.listedViews
}

// entries lists the entries heard of lately, by name.
func (w *watchers) entries(now time.Time) []EntryView {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list(now)
}

// list lists the entries heard of lately, by name. One that two watchers name, as after
// it turned from one to the other, is ready if both say so, and goes by what both say that
// it goes by. The caller holds the lock.
func (w *watchers) list(now time.Time) []EntryView {
	w.forget(now)
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
		merged[last].Ready = merged[last].Ready && view.Ready
		merged[last].Evacuation = min(merged[last].Evacuation, view.Evacuation)
		merged[last].Document = min(merged[last].Document, view.Document)
	}
	return merged
}

// countIf is the number of entries heard of lately of which a word says so, twice where
// two watchers name one.
func (w *watchers) countIf(says func(*EntryView) bool, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget(now)
	n := 0
	for _, known := range w.byHost {
		for i := range known.views {
			if says(&known.views[i]) {
				n++
			}
		}
	}
	return n
}

// count is the number of entries heard of, twice where two watchers name one.
func (w *watchers) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, known := range w.byHost {
		total += len(known.views)
	}
	return total
}

// relays lists the control hosts that answer watches, by name.
func (w *watchers) relays(now time.Time) []RelayView {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []RelayView
	for _, known := range w.byHost {
		if known.relay != nil && now.Sub(known.seen) <= relayKept {
			list = append(list, *known.relay)
		}
	}
	slices.SortFunc(list, func(a, b RelayView) int { return strings.Compare(a.Host, b.Host) })
	return list
}

// loads lists the totals.
func (w *watchers) loads() []Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return listed(w.totals)
}

// loadsKept is how long the sum of all loads is told again to watchers that have none of
// their own. Most entries of a large fleet have none.
const loadsKept = 20 * time.Millisecond

// loadsBut lists the totals of all watchers but one, with further loads added. The list
// must not be changed.
func (w *watchers) loadsBut(host ident.Host, further []Load, now time.Time) []Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.byHost[host]
	if known != nil && len(known.loads) > 0 {
		return w.sumBut(known, further)
	}
	if w.loadsAt.IsZero() || now.Sub(w.loadsAt) >= loadsKept {
		w.listedLoads, w.loadsAt = w.sumBut(nil, further), now
	}
	return w.listedLoads
}

// sumBut lists the totals of all watchers but one, nil for none, with further loads
// added. The caller holds the lock.
func (w *watchers) sumBut(but *watcher, further []Load) []Load {
	sums := make(map[string]Load, len(w.totals))
	for upstream, total := range w.totals {
		sums[upstream] = total
	}
	for _, load := range further {
		sums[load.Upstream] = sums[load.Upstream].plus(load, 1)
	}
	if but != nil {
		for _, load := range but.loads {
			sums[load.Upstream] = sums[load.Upstream].plus(load, -1)
		}
	}
	return listed(sums)
}

func listed(sums map[string]Load) []Load {
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
