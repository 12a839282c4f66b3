package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/announce"
	"github.com/lovagereach/lovagereach/internal/adapter/httpcall"
	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/internal/port"
)

// AnnounceOptions configure the entries to which a stand-in reports and the
// intervals.
type AnnounceOptions struct {
	// Entries are the configured announcement addresses; answers of entries
	// add further ones.
	Entries []string
	// Lease is how long an announcement is valid; zero means 3 s. The
	// announcement is sent three times per lease.
	Lease time.Duration
	// LoadEvery is the time between load reports; zero means 500 ms.
	LoadEvery time.Duration
	// LoadLag is the minimum age of a load report when it is sent.
	LoadLag time.Duration
	// EventsEvery is the time between batches of cache events; zero means
	// 100 ms.
	EventsEvery time.Duration
}

func (o *AnnounceOptions) setDefaults() {
	setDefault(&o.Lease, 3*time.Second)
	setDefault(&o.LoadEvery, 500*time.Millisecond)
	setDefault(&o.EventsEvery, 100*time.Millisecond)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Bounds of an announcer.
const (
	maxEntries     = 256
	maxParallel    = 16
	maxEvents      = 8192
	maxEventBatch  = 1024
	sendTimeout    = time.Second
	entryFailures  = 20 // consecutive failures after which an entry that is not configured is removed
	leaseDivisor   = 3
	maxAnswerBytes = 1 << 20
	// maxInterval bounds the report intervals that an entry may request.
	maxInterval = time.Minute
)

// source is the upstream that an announcer reports on.
type source interface {
	announcement() port.Announcement
	loadReport(now time.Time) port.LoadReport
}

// entryState is the state that an announcer keeps for an entry.
type entryState struct {
	failures int // consecutive send failures
	// reportEvery and eventsEvery are the intervals that the entry requested.
	reportEvery, eventsEvery time.Duration
}

// announcer sends an upstream's announcements, load reports and cache events
// to every known entry.
type announcer struct {
	options AnnounceOptions
	source  source
	faults  *Faults
	client  *httpsend.Transport
	wake    chan struct{}

	mu      sync.Mutex
	entries map[string]*entryState
	seeds   map[string]bool
	events  []port.CacheEvent
	// incarnation is the incarnation of all queued events.
	incarnation ident.Incarnation
	sequence    uint64
	dropped     uint64
	reports     []port.LoadReport
}

func newAnnouncer(options AnnounceOptions, source source, faults *Faults) *announcer {
	options.setDefaults()
	a := &announcer{
		options: options,
		source:  source,
		faults:  faults,
		client:  httpsend.NoRetryTransport(),
		wake:    make(chan struct{}, 1),
		entries: make(map[string]*entryState),
		seeds:   make(map[string]bool),
	}
	for _, address := range options.Entries {
		a.entries[address] = &entryState{}
		a.seeds[address] = true
	}
	return a
}

// run sends announcements, load reports and events until ctx is done.
func (a *announcer) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { a.runPeriodically(ctx, a.announceEvery, a.wake, a.announce); return nil })
	group.Go(func() error { a.runPeriodically(ctx, a.loadEvery, nil, a.reportLoad); return nil })
	group.Go(func() error { a.runPeriodically(ctx, a.eventsEvery, nil, a.sendEvents); return nil })
	return group.Wait()
}

func (a *announcer) announceEvery() time.Duration { return a.options.Lease / leaseDivisor }

// loadEvery returns the longest interval that any entry requests: all entries
// share one interval, and none may exceed its budget of control traffic.
func (a *announcer) loadEvery() time.Duration {
	return a.longestInterval(a.options.LoadEvery, func(c *entryState) time.Duration { return c.reportEvery })
}

func (a *announcer) eventsEvery() time.Duration {
	return a.longestInterval(a.options.EventsEvery, func(c *entryState) time.Duration { return c.eventsEvery })
}

func (a *announcer) longestInterval(own time.Duration, requested func(*entryState) time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.entries {
		own = max(own, requested(c))
	}
	return min(own, maxInterval)
}

// runPeriodically calls f immediately, after each interval and on a receive
// from wake, until ctx is done. It calls interval before each wait. While
// FaultSilent is active, f is not called.
func (a *announcer) runPeriodically(ctx context.Context, interval func() time.Duration, wake <-chan struct{}, f func(context.Context)) {
	timer := time.NewTimer(interval())
	defer timer.Stop()
	for ctx.Err() == nil {
		if _, silent := a.faults.Take(FaultSilent, ""); !silent {
			f(ctx)
		}
		timer.Reset(interval())
		select {
		case <-timer.C:
		case <-wake:
		case <-ctx.Done():
		}
	}
}

// announceNow triggers the next announcement immediately.
func (a *announcer) announceNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *announcer) announce(ctx context.Context) {
	announcement := a.source.announcement()
	announcement.LeaseMillis = a.options.Lease.Milliseconds()
	a.broadcast(ctx, func(ctx context.Context, entry string) error {
		var answer announce.Reply
		err := httpcall.NewCaller(a.client, entry).Post(ctx, announce.PathAnnouncement, announcement, maxAnswerBytes, &answer)
		if err != nil {
			return err
		}
		a.addEntries(answer.Entries)
		a.applyIntervals(entry, answer)
		if answer.Resync {
			a.announceNow()
		}
		return nil
	})
}

// reportLoad sends the newest report that is at least LoadLag old, if any.
func (a *announcer) reportLoad(ctx context.Context) {
	report, ok := a.nextDueReport(a.source.loadReport(time.Now()))
	if !ok {
		return
	}
	report.Age = max(0, time.Now().UnixMilli()-report.MeasuredAt)
	a.broadcast(ctx, func(ctx context.Context, entry string) error {
		return httpcall.NewCaller(a.client, entry).Post(ctx, announce.PathLoad, report, maxAnswerBytes, nil)
	})
}

// nextDueReport appends newest to the pending reports. It removes and returns
// the newest one that is at least LoadLag older than it, dropping those before.
func (a *announcer) nextDueReport(newest port.LoadReport) (port.LoadReport, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports = append(a.reports, newest)
	due := newest.MeasuredAt - a.options.LoadLag.Milliseconds()
	ready := -1
	for i, report := range a.reports {
		if report.MeasuredAt <= due {
			ready = i
		}
	}
	if ready < 0 {
		return port.LoadReport{}, false
	}
	report := a.reports[ready]
	a.reports = append(a.reports[:0], a.reports[ready+1:]...)
	return report, true
}

// record queues a cache event. If the queue is full, the event is dropped; its
// sequence number is consumed, so that entries detect the gap.
func (a *announcer) record(kind port.CacheEventKind, block port.BlockID, state *port.SlotState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	if len(a.events) >= maxEvents {
		a.dropped++
		return
	}
	a.events = append(a.events, port.CacheEvent{Sequence: a.sequence, Kind: kind, Block: block, State: state})
}

// startIncarnation restarts the sequence numbers for a new incarnation and
// drops the events of the previous one that were not sent yet.
func (a *announcer) startIncarnation(incarnation ident.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation = incarnation
	a.sequence = 0
	a.events = nil
}

// lastSequence returns the sequence number of the newest event.
func (a *announcer) lastSequence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sequence
}

// sendEvents sends all queued events in batches.
func (a *announcer) sendEvents(ctx context.Context) {
	for ctx.Err() == nil && a.sendBatch(ctx) {
	}
}

// sendBatch sends one batch and reports whether more events are queued.
func (a *announcer) sendBatch(ctx context.Context) bool {
	a.mu.Lock()
	n := min(len(a.events), maxEventBatch)
	events := append([]port.CacheEvent{}, a.events[:n]...)
	a.events = append(a.events[:0], a.events[n:]...)
	batch := port.CacheEvents{Incarnation: a.incarnation, Events: events}
	more := len(a.events) > 0
	a.mu.Unlock()
	if n == 0 {
		return false
	}
	if _, drop := a.faults.Take(FaultDropEvents, ""); drop {
		return more
	}
	batch.Upstream = a.source.announcement().Upstream
	send := func(ctx context.Context, entry string) error {
		return httpcall.NewCaller(a.client, entry).Post(ctx, announce.PathEvents, batch, maxAnswerBytes, nil)
	}
	a.broadcast(ctx, send)
	if _, repeat := a.faults.Take(FaultRepeatEvents, ""); repeat {
		a.broadcast(ctx, send)
	}
	return more
}

// broadcast calls send for every known entry, in parallel, and waits for all
// calls, so that batches of events reach an entry in order.
func (a *announcer) broadcast(ctx context.Context, send func(context.Context, string) error) {
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for _, entry := range a.knownEntries() {
		group.Go(func() error {
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			a.recordResult(entry, send(sendCtx, entry))
			return nil
		})
	}
	_ = group.Wait() // failures are recorded per entry
}

func (a *announcer) knownEntries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	entries := make([]string, 0, len(a.entries))
	for entry := range a.entries {
		entries = append(entries, entry)
	}
	return entries
}

func (a *announcer) addEntries(entries []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, entry := range entries {
		if _, known := a.entries[entry]; !known && len(a.entries) < maxEntries {
			a.entries[entry] = &entryState{}
		}
	}
}

// applyIntervals stores the intervals that an entry requests.
func (a *announcer) applyIntervals(entry string, answer announce.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.entries[entry]; c != nil {
		c.reportEvery = time.Duration(answer.ReportEveryMillis) * time.Millisecond
		c.eventsEvery = time.Duration(answer.EventsEveryMillis) * time.Millisecond
	}
}

// recordResult records the result of a send to entry. After entryFailures
// consecutive failures it removes the entry. Configured entries are never
// removed, because a restarted system is found again through them.
func (a *announcer) recordResult(entry string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.entries[entry]
	if c == nil {
		return // removed after a concurrent send
	}
	if err == nil {
		c.failures = 0
		return
	}
	c.failures++
	if c.failures >= entryFailures && !a.seeds[entry] {
		delete(a.entries, entry)
	}
}
