package steward

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quorum"
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
	// loadNearly is the part of the usual time after which it is asked, and
	// loadFirst the time assumed before any load has been seen.
	loadNearly = 0.85
	loadFirst  = 2 * time.Second
	// loadGivenUp is how long a load may take before another runner gets its
	// turn and the runner is looked at again.
	loadGivenUp = 8 * time.Second
	// loadNotice is how long before its order a runner is at least named to the
	// entries, so that they send it nothing that it would refuse.
	loadNotice = watchWait + 80*time.Millisecond
	// drainLead is how long before a load is expected to end the next runner is
	// named. Most runs end within it; longer, and capacity is idle.
	drainLead = 500 * time.Millisecond
	// inTime is the part of the time for a new version within which all runners
	// are to have it. Fewer loads at a time leave more runners to serve.
	inTime = 0.8
	// loadsShare bounds the loads at a time to one runner in so many, where that
	// is more than the setting.
	loadsShare = 5
	// unreachableFor is how long a runner is left alone that could not be asked
	// or refused its order, and unreachableMost the longest; each time in a row
	// doubles it. A crashed runner would else hold one of the few turns.
	unreachableFor  = 500 * time.Millisecond
	unreachableMost = 4 * time.Second
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

// loader brings the runners to the weights that were named. The host that leads
// is the only one to give orders, under the term as its number; it begins when
// the leader before can have given none for HolderLease.
//
// No more runners load at a time than must for all to have the version in time.
// A runner is named to the entries a little before its order, so that it has
// finished its runs when its turn comes and the turn is not spent waiting.
type loader struct {
	leadership *leadership
	mu         sync.Mutex
	// named are the runners whose turn is next, with the time of their naming;
	// busy are those that were ordered.
	named map[string]time.Time
	busy  map[string]time.Time
	// avoided are the runners that are left alone for a while.
	avoided map[string]avoidance
	// usual is how long a load takes from the order on.
	usual  time.Duration
	learnt bool
	// newest is the newest version that a runner was found to lack, and due is
	// when all should have it.
	newest uint64
	due    time.Time
	// lacking is the account of runners that lack weights, and accounted when it
	// was last logged.
	lacking   lacking
	accounted time.Time
}

// lacking is an account of the runners that lack named weights.
type lacking struct {
	// count of the runners lack weights, and loading take none meanwhile; atOnce
	// may load at a time.
	count, runners, loading, atOnce int
	// longest is the runner that has lacked a version for longest, at since.
	longest roster.Upstream
	since   time.Time
}

// age is how long the runner that is furthest behind has lacked weights.
func (l *lacking) age(now time.Time) time.Duration {
	if l.count == 0 {
		return 0
	}
	return now.Sub(l.since)
}

type avoidance struct {
	until time.Time
	inRow int
}

func newLoader(l *leadership) *loader {
	return &loader{leadership: l, named: make(map[string]time.Time), busy: make(map[string]time.Time),
		avoided: make(map[string]avoidance), usual: loadFirst}
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
		live := o.leadership.heard(s.machine.live(), now)
		turn := o.next(live, now)
		o.account(live, now)
		for _, u := range turn {
			tasks.Go(func() {
				done := o.load(ctx, u)
				o.release(u.ID, done, time.Now())
			})
		}
	}
}

// next names the runners whose turn comes, and returns those whose turn it is.
func (o *loader) next(live []roster.Upstream, now time.Time) []roster.Upstream {
	o.mu.Lock()
	defer o.mu.Unlock()
	lacking, runners := o.census(live, now)
	most := o.atOnce(lacking, runners, now)
	free := most - len(o.busy)
	for _, since := range o.busy {
		if now.Sub(since) > o.usual-drainLead {
			free++
		}
	}
	var turn []roster.Upstream
	wanting := make(map[string]bool)
	for i := range live {
		u := &live[i]
		_, loads := o.busy[u.ID]
		if _, version := o.wanted(u); version == 0 || loads || now.Before(o.avoided[u.ID].until) {
			continue
		}
		wanting[u.ID] = true
		at, named := o.named[u.ID]
		switch {
		case named && len(o.busy) < most && now.Sub(at) >= loadNotice:
			delete(o.named, u.ID)
			o.busy[u.ID] = now
			free--
			turn = append(turn, *u)
		case !named && len(o.named) < free:
			o.named[u.ID] = now
		}
	}
	maps.DeleteFunc(o.named, func(id string, _ time.Time) bool { return !wanting[id] })
	return turn
}

// atOnce is how many runners may load at a time for so many to have the version
// in the time left. The caller holds the lock.
func (o *loader) atOnce(wanting, runners int, now time.Time) int {
	options := &o.leadership.steward.options
	left := max(o.due.Sub(now), o.usual)
	needed := int(math.Ceil(float64(wanting) * float64(o.usual+loadNotice) / float64(left)))
	limit := max(options.LoadsAtOnce, runners/loadsShare)
	// Behind time, half as many more: runners that don't answer their orders
	// hold turns without loading.
	return min(max(needed, 1), limit+limit/2)
}

// census counts the model runners and those that lack the newest version, and
// notes when all are due to have it. The caller holds the lock.
func (o *loader) census(live []roster.Upstream, now time.Time) (wanting, runners int) {
	for i := range live {
		u := &live[i]
		if len(u.Loaded) == 0 || u.State != roster.Serving {
			continue
		}
		runners++
		if _, version := o.wanted(u); version != 0 {
			wanting++
			if version > o.newest {
				o.newest = version
				o.due = now.Add(time.Duration(inTime * float64(o.leadership.steward.options.VersionTime)))
			}
		}
	}
	return wanting, runners
}

// account notes how many runners lack weights, and logs it while there are any.
func (o *loader) account(live []roster.Upstream, now time.Time) {
	named := o.leadership.steward.machine.namedAt()
	o.mu.Lock()
	defer o.mu.Unlock()
	next := lacking{loading: len(o.busy) + len(o.named)}
	wanting := 0
	wanting, next.runners = o.census(live, now)
	next.count, next.atOnce = wanting, o.atOnce(wanting, next.runners, now)
	for i := range live {
		for _, loaded := range live[i].Loaded {
			at, lacks := named.FirstLacked(loaded.Model, loaded.Version)
			if lacks && live[i].State == roster.Serving && (next.since.IsZero() || at.Before(next.since)) {
				next.longest, next.since = live[i], at
			}
		}
	}
	if next.count > 0 && now.Sub(o.accounted) >= accountEvery {
		o.accounted = now
		o.leadership.steward.options.Log.Info("weights lacking", "runners", next.count, "of", next.runners,
			"loading", next.loading, "at_once", next.atOnce, "longest", next.longest.ID,
			"has", next.longest.Loaded, "for", next.age(now))
	}
	o.lacking = next
}

// lackingNow returns the latest account.
func (o *loader) lackingNow() lacking {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lacking
}

// wanted returns the model and version that a runner lacks, version 0 if none.
func (o *loader) wanted(u *roster.Upstream) (string, uint64) {
	if u.State != roster.Serving {
		return "", 0
	}
	for _, loaded := range u.Loaded {
		if newest := o.leadership.steward.machine.weightsOf(loaded.Model); newest > loaded.Version {
			return loaded.Model, newest
		}
	}
	return "", 0
}

// release ends a runner's turn. One that it did not bring to the version is
// left alone for a while.
func (o *loader) release(id string, done bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.busy, id)
	if done {
		delete(o.avoided, id)
		return
	}
	known := o.avoided[id]
	known.until = now.Add(min(unreachableFor<<min(known.inRow, 8), unreachableMost))
	known.inRow++
	o.avoided[id] = known
}

// loading lists the runners that take no requests for the sake of a load.
func (o *loader) loading() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append(slices.Sorted(maps.Keys(o.busy)), slices.Sorted(maps.Keys(o.named))...)
}

// load orders one runner, waits until it has the version and reports whether
// it came to have it.
func (o *loader) load(ctx context.Context, u roster.Upstream) bool {
	s := o.leadership.steward
	model, version := o.wanted(&u)
	ctx, cancel := context.WithTimeout(ctx, loadGivenUp)
	defer cancel()
	if !o.give(ctx, u, model, version) {
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
		if report.Versions[model] >= version {
			o.noteUsual(time.Since(began))
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

// give gives the order until the runner carries it out, and reports whether it
// does. An order without an answer may come later or never; the next one names
// the same count of accepted orders, so that only one of them takes effect.
func (o *loader) give(ctx context.Context, u roster.Upstream, model string, version uint64) bool {
	for range orderTries {
		report, err := o.report(ctx, u)
		if err != nil {
			o.leadership.steward.options.Log.Info("runner not asked", "upstream", u.ID, "cause", err)
			return false
		}
		if report.Busy || report.Versions[model] >= version {
			return true
		}
		switch o.order(ctx, u, model, version, report.Accepted) {
		case OrderTaken, OrderHolds:
			return true
		case OrderRefused, OrderMisdirected:
			return false
		}
		wait.For(ctx, reportLag)
	}
	return false
}

// firstCheck is how long after its order a runner is first asked.
func (o *loader) firstCheck() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.learnt {
		return loadFirst / 2
	}
	return time.Duration(loadNearly * float64(o.usual))
}

// noteUsual learns the time of a load: the shortest seen, so that one that had
// to wait for its runs does not delay the questions to all later ones.
func (o *loader) noteUsual(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.learnt || took < o.usual {
		o.usual, o.learnt = took, true
	}
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
	detail, err := s.manager.Detail(group)
	if err != nil || detail.Role != quorum.RoleLeader || detail.Term != o.leadership.elected || !detail.Leased {
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
	if !known {
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
