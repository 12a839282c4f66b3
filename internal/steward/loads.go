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
	// loadEvery is how often the leader looks for runners to order.
	loadEvery = 50 * time.Millisecond
	// orderTimeout bounds one order or report; an answer takes a few ms.
	orderTimeout = 400 * time.Millisecond
	// orderTries is how often an order without an answer is given in one turn.
	orderTries = 5
	// reportLag is how far a runner's report may be behind.
	reportLag = 200 * time.Millisecond
	// loadCheck is how often a runner is asked whether it is done, once the
	// usual time of a load is nearly over. Each question costs the runner work.
	loadCheck = 120 * time.Millisecond
	// loadGivenUp is how long a load may take before another runner gets its
	// turn and the runner is looked at again.
	loadGivenUp = 8 * time.Second
	// loadNotice is how long before its order a runner is at least named to the
	// entries, so that they send it nothing that it would refuse.
	loadNotice = watchWait + 80*time.Millisecond
	// askedInVain is after how many questions without an answer in a row a
	// loading runner loses its turn.
	askedInVain = 3
	// accountEvery is the least time between two lines about runners that lack
	// named weights.
	accountEvery = time.Second
	// holderSlack is added to the time that a new leader waits before its first
	// order, for the difference of the hosts' clocks and an order on its way.
	holderSlack = 500 * time.Millisecond
)

// loader brings the runners to the weights that were named, in the turns that a
// rollout.Schedule gives. The host that leads is the only one to give orders, under
// the term as its number; it begins when the leader before can have given none for
// HolderLease.
type loader struct {
	leadership *leadership
	mu         sync.Mutex
	schedule   *rollout.Schedule
	// looked is how far the state had come at the latest look at the runners, at lookedAt.
	looked   revisions
	lookedAt time.Time
	// accounted is when the account of runners that lack weights was last logged.
	accounted time.Time
}

func newLoader(l *leadership) *loader {
	options := &l.steward.options
	return &loader{leadership: l, schedule: rollout.NewSchedule(rollout.Options{
		AtOnce: options.LoadsAtOnce, Bound: options.VersionTime, Notice: loadNotice,
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
		if o.settled(s.machine.held(), now) {
			continue
		}
		for _, turn := range o.next(o.leadership.heard(s.machine.live(), now), now) {
			tasks.Go(func() {
				done := o.load(ctx, turn)
				o.release(turn.Upstream, done, time.Now())
			})
		}
	}
}

// settledLook is how often runners are looked at while all have the named weights and
// nothing is announced: one may be heard again that lacks them.
const settledLook = time.Second

// settled reports whether no runner can lack weights, as far as the last look tells.
func (o *loader) settled(held revisions, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if held.weights == 0 {
		return true
	}
	account := o.schedule.Account()
	if account.Lacking == 0 && account.Loading == 0 && held.weights == o.looked.weights && held.roster == o.looked.roster &&
		now.Sub(o.lookedAt) < settledLook {
		return true
	}
	o.looked, o.lookedAt = held, now
	return false
}

// next returns the loads whose time has come.
func (o *loader) next(live []roster.Upstream, now time.Time) []rollout.Step {
	namings := o.leadership.steward.machine.namedAt()
	o.mu.Lock()
	defer o.mu.Unlock()
	turns := o.schedule.Next(live, namings, now)
	account := o.schedule.Account()
	if account.Lacking > 0 && now.Sub(o.accounted) >= accountEvery {
		o.accounted = now
		o.leadership.steward.options.Log.Info("weights lacking", "runners", account.Lacking, "of", account.Runners,
			"loading", account.Loading, "at_once", account.AtOnce, "longest", account.Longest, "for", account.Age(now))
	}
	return turns
}

func (o *loader) release(u roster.Upstream, done bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.schedule.Release(u, done, now)
}

// account tells how many runners lack named weights.
func (o *loader) account() rollout.Account {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.schedule.Account()
}

// loading lists the runners that take no requests for the sake of a load.
func (o *loader) loading() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.schedule.Loading()
}

// load orders one runner, waits until it has the version and reports whether
// it came to have it.
func (o *loader) load(ctx context.Context, turn rollout.Step) bool {
	s := o.leadership.steward
	u, model, version := turn.Upstream, turn.Model, turn.Version
	ctx, cancel := context.WithTimeout(ctx, loadGivenUp)
	defer cancel()
	given := o.give(ctx, u, model, version)
	if given == notGiven {
		return false
	}
	began := time.Now()
	wait.For(ctx, o.firstCheck())
	failed := 0
	var report RunnerReport
	var err error
	for failed < askedInVain && wait.For(ctx, loadCheck) {
		if report, err = o.report(ctx, u); err != nil {
			failed++
			continue
		}
		failed = 0
		if otherLife(&u, &report) || o.leadership.succeeded(&u, s.machine.live()) {
			// What answers is not the runner that was ordered; its turn would last
			// until the load is given up.
			break
		}
		if report.Versions[model] >= version {
			if given == givenNow {
				o.noteUsual(time.Since(began))
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

// given is what came of giving an order.
type given uint8

const (
	notGiven given = iota
	// givenNow: the load began with the order.
	givenNow
	// givenBefore: the runner loads, or has the weights, by an earlier order. The
	// time until it is found done says nothing of the time of a load.
	givenBefore
)

// give gives the order until the runner carries it out. An order without an answer
// may come later or never; the next one names the same count of accepted orders, so
// that only one of them takes effect.
func (o *loader) give(ctx context.Context, u roster.Upstream, model string, version uint64) given {
	logger := o.leadership.steward.options.Log
	for range orderTries {
		report, err := o.report(ctx, u)
		if err != nil {
			logger.Info("runner not asked", "upstream", u.ID, "cause", err)
			return notGiven
		}
		if otherLife(&u, &report) {
			logger.Info("runner not ordered", "upstream", u.ID, "cause", "it has started again", "born", report.StartedMs)
			return notGiven
		}
		if report.Busy || report.Versions[model] >= version {
			return givenBefore
		}
		switch o.order(ctx, u, model, version, report.Accepted) {
		case OrderAccepted:
			return givenNow
		case OrderAlreadyLoaded:
			return givenBefore
		case OrderRefused, OrderMisdirected:
			return notGiven
		}
		wait.For(ctx, reportLag)
	}
	return notGiven
}

// otherLife reports whether a report is of another life of a runner than the one
// that was to load. What that one has must not be recorded for the other.
func otherLife(u *roster.Upstream, report *RunnerReport) bool {
	return u.StartedMs != 0 && report.StartedMs != 0 && u.StartedMs != report.StartedMs
}

// firstCheck is how long after its order a runner is first asked.
func (o *loader) firstCheck() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.schedule.FirstCheck()
}

func (o *loader) noteUsual(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.schedule.RecordLoadTime(took)
}

func (o *loader) report(ctx context.Context, u roster.Upstream) (RunnerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return o.leadership.steward.options.Runners.Report(ctx, u.ID, u.Address)
}

// order gives an order; a result of zero tells that it got no answer.
func (o *loader) order(ctx context.Context, u roster.Upstream, model string, version, accepted uint64) OrderResult {
	s := o.leadership.steward
	// A host that stood still may have been replaced meanwhile.
	if !o.leadership.certain() {
		s.options.Log.Info("order held back", "upstream", u.ID, "cause", "leadership not certain")
		return OrderRefused
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s.meter.orders.Inc()
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
			s.options.Log.Warn("upstream not given up", "upstream", u.ID, "err", err)
		}
	}
	return result
}

// record tells the entries what a runner has loaded.
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
