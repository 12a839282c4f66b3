package steward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quorum"
	"github.com/lovagereach/lovagereach/roster"
)

const (
	// loadEvery is how often the leader looks for runners to order.
	loadEvery = 100 * time.Millisecond
	// orderTimeout bounds one order or report.
	orderTimeout = 700 * time.Millisecond
	// loadCheck is how often a runner that loads is asked whether it is done.
	// A load takes one to two seconds, and each question costs the runner work.
	loadCheck = 350 * time.Millisecond
	// loadGivenUp is how long a load may take before another runner gets its
	// turn and the runner is looked at again.
	loadGivenUp = 8 * time.Second
	// loadNotice is how long before its order a runner is named to the entries,
	// so that they send it nothing that it would refuse.
	loadNotice = watchWait + 80*time.Millisecond
	// holderSlack is added to the time that a new leader waits before its first
	// order, for the difference of the hosts' clocks and an order on its way.
	holderSlack = 500 * time.Millisecond
)

// loader brings the runners to the weights that were named. The host that leads
// is the only one to give orders, under the term as its number; it begins when
// the leader before can have given none for HolderLease.
type loader struct {
	leadership *leadership
	mu         sync.Mutex
	busy       map[string]bool
}

func newLoader(l *leadership) *loader { return &loader{leadership: l, busy: make(map[string]bool)} }

func (o *loader) run(ctx context.Context) {
	s := o.leadership.steward
	if !wait.For(ctx, s.options.HolderLease+holderSlack) {
		return
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for wait.For(ctx, loadEvery) {
		for _, u := range s.machine.live() {
			model, version := o.wanted(&u)
			if version == 0 || !o.take(u.ID) {
				continue
			}
			tasks.Go(func() {
				defer o.release(u.ID)
				o.load(ctx, u, model, version)
			})
		}
	}
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

// take reserves one of the few places for loading runners.
func (o *loader) take(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[id] || len(o.busy) >= o.leadership.steward.options.LoadsAtOnce {
		return false
	}
	o.busy[id] = true
	return true
}

func (o *loader) release(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.busy, id)
}

// loading lists the runners that are being ordered.
func (o *loader) loading() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.busy))
}

// load orders one runner and waits until it has the version.
func (o *loader) load(ctx context.Context, u roster.Upstream, model string, version uint64) {
	s := o.leadership.steward
	ctx, cancel := context.WithTimeout(ctx, loadGivenUp)
	defer cancel()
	report, err := o.report(ctx, u)
	if err != nil {
		s.options.Log.Warn("runner not asked", "upstream", u.ID, "cause", err)
		wait.For(ctx, loadCheck)
		return
	}
	if report.Versions[model] < version && !report.Busy && wait.For(ctx, loadNotice) {
		o.order(ctx, u, model, version, report.Accepted)
	}
	for wait.For(ctx, loadCheck) {
		report, err = o.report(ctx, u)
		if err != nil {
			s.options.Log.Info("runner not asked", "upstream", u.ID, "cause", err)
			continue
		}
		if report.Versions[model] >= version {
			o.record(ctx, u, model, report.Versions[model])
			return
		}
		if !report.Busy {
			return
		}
	}
}

func (o *loader) report(ctx context.Context, u roster.Upstream) (RunnerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return o.leadership.steward.options.Runners.Report(ctx, u.ID, u.Address)
}

func (o *loader) order(ctx context.Context, u roster.Upstream, model string, version, accepted uint64) {
	s := o.leadership.steward
	// A host that stood still may have been replaced meanwhile.
	detail, err := s.manager.Detail(group)
	if err != nil || detail.Role != quorum.RoleLeader || detail.Term != o.leadership.term || !detail.Leased {
		s.options.Log.Info("order held back", "upstream", u.ID, "cause", "leadership not certain")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := s.options.Runners.Order(ctx, LoadOrder{
		Upstream: u.ID, Address: u.Address, Model: model, Version: version,
		Holder: string(s.options.Self), Fence: o.leadership.term, Accepted: accepted,
	})
	s.options.Log.Info("order", "upstream", u.ID, "model", model, "version", version,
		"fence", o.leadership.term, "result", result, "err", err)
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
