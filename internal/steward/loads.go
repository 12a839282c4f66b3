package steward

import (
	"context"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/rollout"
	"github.com/lovagereach/lovagereach/roster"
)

const (
	// loadEvery is the interval at which the leader looks for runners that need a load order.
	loadEvery = 50 * time.Millisecond
	// orderTimeout bounds one order or report; an answer takes a few ms.
	orderTimeout = 400 * time.Millisecond
	// orderTries is the number of attempts to issue an order that gets no answer, in one load
	// step.
	orderTries = 5
	// reportLag is the maximum delay of a runner's report.
	reportLag = 200 * time.Millisecond
	// loadCheck is the interval between queries for a loading runner's progress, once the usual
	// load time is nearly over. Each query costs the runner work.
	loadCheck = 120 * time.Millisecond
	// loadTimeout is the time after which a load's step ends, so that another runner can load
	// and this one is examined again.
	loadTimeout = 8 * time.Second
	// loadNotice is the minimum time before its order for which a runner is listed to the
	// entries as loading, so that they send it nothing that it would refuse.
	loadNotice = watchWait + 80*time.Millisecond
	// maxUnanswered is the number of consecutive unanswered queries after which a loading
	// runner's step ends.
	maxUnanswered = 3
	// lackingLogEvery is the minimum time between two log lines about runners that lack the
	// target weights.
	lackingLogEvery = time.Second
	// holderSlack is added to a new leader's wait before its first order, for the clock
	// difference between hosts and an order in flight.
	holderSlack = 500 * time.Millisecond
)

// loader moves the runners to the target weight versions, in the load steps of a
// rollout.Schedule. Only the leader issues orders, with its term as the fencing token. It
// starts when the previous leader can have issued none for HolderLease.
type loader struct {
	leadership *leadership
	mu         sync.Mutex
	schedule   *rollout.Schedule
	// checked is the revision of the state at the latest check of the runners, at checkedAt.
	checked   revisions
	checkedAt time.Time
	// loggedAt is the time of the latest log line about runners that lack weights.
	loggedAt time.Time
}

func newLoader(l *leadership) *loader {
	options := &l.steward.options
	return &loader{leadership: l, schedule: rollout.NewSchedule(rollout.Options{
		MaxConcurrent: options.MaxConcurrentLoads, Bound: options.VersionTime, Notice: loadNotice,
	})}
}

func (o *loader) run(ctx context.Context) {
	s := o.leadership.steward
	if !wait.For(ctx, s.options.HolderLease+holderSlack) {
		return
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for wait.For(ctx, loadEvery) {
		now := time.Now()
		if o.settled(s.machine.currentRevisions(), now) {
			continue
		}
		for _, step := range o.next(o.leadership.current(s.machine.live(), now), now) {
			tasks.Go(func() {
				done := o.load(ctx, step)
				o.release(step.Upstream, done, time.Now())
			})
		}
	}
}

// settledInterval is the interval between checks of the runners while all have the target
// weights and nothing is announced: a runner that lacks them may be in contact again.
const settledInterval = time.Second

// settled reports whether no runner can lack weights, according to the latest check.
func (o *loader) settled(held revisions, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if held.weights == 0 {
		return true
	}
	account := o.schedule.Progress()
	if account.Lacking == 0 && account.Loading == 0 && held.weights == o.checked.weights && held.roster == o.checked.roster &&
		now.Sub(o.checkedAt) < settledInterval {
		return true
	}
	o.checked, o.checkedAt = held, now
	return false
}

// next returns the load steps that are due.
func (o *loader) next(live []roster.Upstream, now time.Time) []rollout.Step {
	targets := o.leadership.steward.machine.targetVersions()
	o.mu.Lock()
	defer o.mu.Unlock()
	steps := o.schedule.Next(live, targets, now)
	account := o.schedule.Progress()
	if account.Lacking > 0 && now.Sub(o.loggedAt) >= lackingLogEvery {
		o.loggedAt = now
		o.leadership.steward.options.Log.Info("runners lack target weights", "runners", account.Lacking, "of", account.Runners,
			"loading", account.Loading, "at_once", account.MaxConcurrent, "longest", account.FurthestBehind, "for", account.Age(now))
	}
	return steps
}

func (o *loader) release(u roster.Upstream, done bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.schedule.Release(u, done, now)
}

// account returns the counts of runners that lack the target weights.
func (o *loader) account() rollout.Progress {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.schedule.Progress()
}

// loading lists the runners that receive no requests because of a load.
func (o *loader) loading() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.schedule.Loading()
}

// load orders one runner to load, waits for the load and reports whether the runner has the
// version.
func (o *loader) load(ctx context.Context, step rollout.Step) bool {
	s := o.leadership.steward
	u, model, version := step.Upstream, step.Model, step.Version
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	issued := o.issue(ctx, u, model, version)
	if issued == notIssued {
		return false
	}
	began := time.Now()
	wait.For(ctx, o.firstCheck())
	failed := 0
	var report RunnerReport
	var err error
	for failed < maxUnanswered && wait.For(ctx, loadCheck) {
		if report, err = o.report(ctx, u); err != nil {
			failed++
			continue
		}
		failed = 0
		if otherIncarnation(&u, &report) || o.leadership.replaced(&u, s.machine.live()) {
			// The answer is not from the runner that got the order; the step would last until
			// loadTimeout.
			break
		}
		if report.Versions[model] >= version {
			if issued == issuedNow {
				o.recordLoadTime(time.Since(began))
			}
			o.record(ctx, u, model, report.Versions[model])
			return true
		}
		if !report.Busy {
			break
		}
	}
	s.options.Log.Info("weights not loaded", "upstream", u.ID, "version", version, "unanswered", failed, "cause", err)
	return false
}

// issueResult is the outcome of issuing an order.
type issueResult uint8

const (
	notIssued issueResult = iota
	// issuedNow: the load began with the order.
	issuedNow
	// issuedEarlier: the runner is loading, or has the weights, because of an earlier order.
	// The time until the load is found complete is no measure of the load time.
	issuedEarlier
)

// issue sends the order until the runner executes it. An order without an answer may arrive
// later or never; the next one carries the same count of accepted orders, so that only one of
// them takes effect.
func (o *loader) issue(ctx context.Context, u roster.Upstream, model string, version uint64) issueResult {
	logger := o.leadership.steward.options.Log
	for range orderTries {
		report, err := o.report(ctx, u)
		if err != nil {
			logger.Info("runner did not answer a status query", "upstream", u.ID, "cause", err)
			return notIssued
		}
		if otherIncarnation(&u, &report) {
			logger.Info("runner not ordered", "upstream", u.ID, "cause", "runner has restarted", "born", report.StartedMs)
			return notIssued
		}
		if report.Busy || report.Versions[model] >= version {
			return issuedEarlier
		}
		switch o.order(ctx, u, model, version, report.Accepted) {
		case OrderAccepted:
			return issuedNow
		case OrderAlreadyLoaded:
			return issuedEarlier
		case OrderRefused, OrderMisdirected:
			return notIssued
		}
		wait.For(ctx, reportLag)
	}
	return notIssued
}

// otherIncarnation reports whether a report is from another incarnation of a runner than the
// one that got the order. The versions of one must not be recorded for the other.
func otherIncarnation(u *roster.Upstream, report *RunnerReport) bool {
	return u.StartedMs != 0 && report.StartedMs != 0 && u.StartedMs != report.StartedMs
}

// firstCheck returns the time after its order at which a runner is first queried.
func (o *loader) firstCheck() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.schedule.FirstCheck()
}

func (o *loader) recordLoadTime(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.schedule.RecordLoadTime(took)
}

func (o *loader) report(ctx context.Context, u roster.Upstream) (RunnerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return o.leadership.steward.options.Runners.Report(ctx, u.ID, u.Address)
}

// order sends an order; a result of zero means that there was no answer.
func (o *loader) order(ctx context.Context, u roster.Upstream, model string, version, accepted uint64) OrderResult {
	s := o.leadership.steward
	// A host that was suspended may have been replaced as the leader meanwhile.
	if !o.leadership.certain() {
		s.options.Log.Info("order not sent", "upstream", u.ID, "cause", "leadership not certain")
		return OrderRefused
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s.counters.orders.Inc()
	result, err := s.options.Runners.Order(ctx, LoadOrder{
		Upstream: u.ID, Address: u.Address, Model: model, Version: version,
		Holder: string(s.options.Self), Fence: o.leadership.elected, Accepted: accepted,
	})
	s.options.Log.Info("order", "upstream", u.ID, "model", model, "version", version,
		"fence", o.leadership.elected, "result", result, "err", err)
	if result == OrderMisdirected {
		// Another upstream has the address: this one has ended.
		u.State = roster.Gone
		if _, err := s.propose(ctx, command{Upstream: &u}); err != nil {
			s.options.Log.Warn("upstream not removed from the roster", "upstream", u.ID, "err", err)
		}
	}
	return result
}

// record commits the version that a runner has loaded, so that the entries receive it.
func (o *loader) record(ctx context.Context, u roster.Upstream, model string, version uint64) {
	s := o.leadership.steward
	held, known := s.machine.upstream(u.ID)
	if !known || held.StartedMs != u.StartedMs {
		return
	}
	held.Loaded = append([]roster.Loaded(nil), held.Loaded...)
	for i := range held.Loaded {
		if held.Loaded[i].Model == model {
			held.Loaded[i].Version = version
		}
	}
	s.options.Log.Info("weights loaded", "upstream", u.ID, "model", model, "version", version)
	if _, err := s.propose(ctx, command{Upstream: &held}); err != nil {
		s.options.Log.Warn("loaded weights not recorded", "upstream", u.ID, "err", err)
	}
}
