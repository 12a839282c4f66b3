package loadgen

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/adapter/httpsend"
	"github.com/lovagereach/lovagereach/outcome"
)

// runner is the state of a run.
type runner struct {
	options   Options
	transport *httpsend.Transport
	send      *sender
	resolvers map[string]*resolver
	slots     chan struct{}
	recorder  *recorder
	work      sync.WaitGroup
}

// Run sends the load and returns its report. It returns when every request has an
// outcome; ctx cancels the requests.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	options.setDefaults()
	r := newRunner(options)
	defer r.transport.CloseIdleConnections()
	before, err := readStats(ctx, r.transport, options.Standins)
	if err != nil {
		r.recorder.addNote("stand-in account missing at the start: " + err.Error())
	}
	started := time.Now()
	r.runArrivals(ctx)
	r.work.Wait()
	elapsed := time.Since(started)
	// The started requests are checked even if the run was cancelled.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	after, err := readStats(ctx, r.transport, options.Standins)
	if err != nil {
		r.recorder.addNote("stand-in account missing at the end: " + err.Error())
	}
	ran, checked, err := r.readRan(ctx)
	if err != nil {
		return nil, err
	}
	if checked {
		r.recorder.Check(ran)
		if err := r.checkTraces(ctx, ran); err != nil {
			return nil, err
		}
	}
	return r.recorder.report(options, elapsed, linkReports(before, after, elapsed)), nil
}

// checkTimeout bounds the checks at the end of a run.
const checkTimeout = 30 * time.Second

// readRan returns the runs on upstreams, from the run log if it is set, otherwise
// from the stand-ins. checked is false if neither is configured.
func (r *runner) readRan(ctx context.Context) (ran Ran, checked bool, err error) {
	if r.options.RunLog == "" {
		return readRuns(ctx, r.transport, r.options.Standins), len(r.options.Standins) > 0, nil
	}
	file, err := os.Open(r.options.RunLog)
	if err != nil {
		return Ran{}, false, eris.Wrap(err, "run log")
	}
	defer file.Close()
	ran, err = ReadRunLog(file)
	return ran, true, err
}

func newRunner(options Options) *runner {
	transport := httpsend.NoRetryTransport()
	r := &runner{
		options:   options,
		transport: transport,
		send:      &sender{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}},
		resolvers: make(map[string]*resolver),
		slots:     make(chan struct{}, options.MaxOpen),
		recorder:  newRecorder(options),
	}
	client := &http.Client{Transport: transport, Timeout: addressTimeout}
	for _, load := range options.Prompts {
		r.resolvers[load.Token] = newResolver(client, load.Token, options.Entries)
	}
	for _, load := range options.Calls {
		r.resolvers[load.Token] = newResolver(client, load.Token, options.Entries)
	}
	return r
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// arrivalSource generates the requests of one load; due is its next arrival.
type arrivalSource struct {
	rate   float64
	due    time.Time
	random *rand.Rand
	send   func(due time.Time, serial int)
}

// runArrivals starts requests at Poisson arrival times, independent of the
// completion of earlier ones.
func (r *runner) runArrivals(ctx context.Context) {
	start := time.Now()
	end := start.Add(r.options.Duration)
	sources := r.sources(ctx, start)
	for serial := range r.options.MaxRequests {
		next := sources[0]
		for _, source := range sources {
			if source.due.Before(next.due) {
				next = source
			}
		}
		if next.due.After(end) || !r.waitUntil(ctx, next.due) {
			return
		}
		next.send(next.due, serial)
		next.advance()
	}
}

func (a *arrivalSource) advance() {
	a.due = a.due.Add(time.Duration(a.random.ExpFloat64() / a.rate * float64(time.Second)))
}

func (r *runner) sources(ctx context.Context, start time.Time) []*arrivalSource {
	var sources []*arrivalSource
	add := func(rate float64, send func(*rand.Rand, time.Time, int)) {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(len(sources))))
		source := &arrivalSource{rate: rate, due: start, random: random}
		source.send = func(due time.Time, serial int) { send(random, due, serial) }
		source.advance()
		sources = append(sources, source)
	}
	for i := range r.options.Prompts {
		load := &r.options.Prompts[i]
		prompts := &promptSource{load: load, salt: r.options.Seed, sent: make(map[int]bool)}
		if !r.options.Fresh {
			prompts.salt += uint64(i)
		}
		add(load.Rate, func(random *rand.Rand, due time.Time, _ int) {
			prompts.random = random
			job := prompts.next()
			job.due = due
			r.spawn(className(load), func() { r.prompt(ctx, job) })
		})
	}
	for i := range r.options.Calls {
		load := &r.options.Calls[i]
		add(load.Rate, func(random *rand.Rand, due time.Time, serial int) {
			job := newCallJob(load, serial, random, r.options.Seed)
			job.due = due
			r.spawn(serviceName(load), func() { r.call(ctx, job) })
		})
	}
	return sources
}

// spawn runs f in a goroutine, or counts an overflow if MaxOpen requests are open.
func (r *runner) spawn(class string, f func()) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.overflow(class)
		return
	}
	r.work.Go(func() {
		defer func() { <-r.slots }()
		f()
	})
}

func (r *runner) prompt(ctx context.Context, job promptJob) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	resolver := r.resolvers[job.load.Token]
	entry := resolver.pick(ctx, 0)
	result := r.send.prompt(ctx, entry, job)
	if result.kind == outcome.KindNotRun || result.kind == outcome.KindUnknown {
		resolver.invalidate(entry)
	}
	r.recorder.recordPrompt(job, result)
}

// resendPause is the delay before a call without a definite outcome is retried.
const resendPause = 250 * time.Millisecond

// call sends a call, a second time if its job requires this, and retries it while
// it has no definite outcome, up to MaxResends times.
func (r *runner) call(ctx context.Context, job callJob) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	random := rand.New(rand.NewPCG(job.seed, 0))
	var overlapping sync.WaitGroup
	if job.overlap {
		second := rand.New(rand.NewPCG(job.seed, 1))
		overlapping.Go(func() { r.callOnce(ctx, job, second, 1) })
	}
	last := r.callOnce(ctx, job, random, 0)
	overlapping.Wait()
	if job.resend && !job.overlap {
		last = r.callOnce(ctx, job, random, 1)
	}
	for n := range job.load.MaxResends {
		if last == outcome.KindDone || last == outcome.KindFailed || sleep(ctx, resendPause) != nil {
			return
		}
		last = r.callOnce(ctx, job, random, n+2)
	}
}

func (r *runner) callOnce(ctx context.Context, job callJob, random *rand.Rand, n int) outcome.Kind {
	resolver := r.resolvers[job.load.Token]
	entry := resolver.pick(ctx, n)
	result := r.send.call(ctx, entry, job, drawRequest(random))
	if result.kind == outcome.KindNotRun || result.kind == outcome.KindUnknown {
		resolver.invalidate(entry)
	}
	r.recorder.recordCall(job, result)
	return result.kind
}

// waitUntil waits until the given time. It returns false if the run is stopped or
// ctx is done before.
func (r *runner) waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.options.Stop:
	case <-ctx.Done():
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func className(load *PromptLoad) string { return string(load.Class) }

func serviceName(load *CallLoad) string { return "service:" + string(load.Service) }

// counterDelta returns the increase of a counter. A counter that decreased was
// reset by a restart of the process.
func counterDelta(first, last uint64) uint64 {
	if last < first {
		return last
	}
	return last - first
}

// linkReports returns the traffic on each stand-in's link between two readings of
// its counters.
func linkReports(before, after map[string]standinStats, elapsed time.Duration) []Link {
	var links []Link
	for address, last := range after {
		first := before[address]
		link := Link{
			Upstream: last.Upstream,
			In:       counterDelta(first.WrittenBytes, last.WrittenBytes) + counterDelta(first.ImportedBytes, last.ImportedBytes),
			Out:      counterDelta(first.ReadBytes, last.ReadBytes) + counterDelta(first.ExportedBytes, last.ExportedBytes),
			Rejected: counterDelta(first.Rejected, last.Rejected),
			Wrong:    counterDelta(first.WrongBlocks, last.WrongBlocks),
		}
		link.BytesPerSecond = float64(link.In+link.Out) / elapsed.Seconds()
		links = append(links, link)
	}
	return sortLinks(links)
}
