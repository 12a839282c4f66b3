package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/roster"
)

const (
	// inTime is the part of the bound within which all runners are to have a
	// version. Fewer loads at a time leave more runners to serve.
	inTime = 0.8
	// loadNearly is the part of the usual time of a load after which the runner is
	// asked, and loadFirst the time assumed before any load has been seen.
	loadNearly = 0.85
	loadFirst  = 2 * time.Second
	// drainLead is how long before a load is expected to end the next runner is
	// named. Most runs end within it; longer, and capacity is idle.
	drainLead = 500 * time.Millisecond
	// loadsShare bounds the loads at a time to one runner in so many, where that
	// is more than the setting.
	loadsShare = 5
	// unreachableFor is how long a runner is left alone that could not be asked
	// or refused its order, and unreachableMost the longest; each time in a row
	// doubles it. A crashed runner would else hold one of the few turns.
	unreachableFor  = 500 * time.Millisecond
	unreachableMost = 4 * time.Second
)

// Options configure a Schedule.
type Options struct {
	// AtOnce bounds the runners that load at the same time.
	AtOnce int
	// Bound is the time from the naming of a version on after which no prompt may
	// begin on an older one.
	Bound time.Duration
	// Notice is how long before its order a runner is at least listed as loading,
	// so that it is sent nothing that it would refuse.
	Notice time.Duration
}

// Step is a load whose time has come.
type Step struct {
	Upstream roster.Upstream
	Model    string
	Version  uint64
}

// Account tells how far the runners are behind the named weights.
type Account struct {
	// Lacking of Runners lack weights, Loading take no prompts meanwhile, and
	// AtOnce may load at a time.
	Lacking, Runners, Loading, AtOnce int
	// Longest has lacked a version for longest, since Since.
	Longest string
	Since   time.Time
}

// Age is how long the runner that is furthest behind has lacked weights.
func (a *Account) Age(now time.Time) time.Duration {
	if a.Lacking == 0 {
		return 0
	}
	return now.Sub(a.Since)
}

// Schedule gives runners their turns to load. It is not safe for concurrent use.
//
// The runner whose bound ends first comes first: the one that has lacked some
// version for longest. By any other order, as by name, weights named one shortly
// after the other would begin the round again each time, and the last runners
// would never have a turn.
//
// No more runners load at a time than must for each to be in time. A runner is
// listed a little before its order, so that it has finished its runs when its turn
// comes and the turn is not spent waiting.
type Schedule struct {
	options Options
	// named are the runners whose turn is next, with the time of their listing;
	// busy are those that load. What is known of one life of a runner says nothing
	// of the next.
	named, busy map[life]time.Time
	avoided     map[life]avoidance
	// usual is how long a load takes from its order on.
	usual   time.Duration
	learnt  bool
	account Account
}

// life is one life of a runner.
type life struct {
	id   string
	born uint64
}

func lifeOf(u *roster.Upstream) life { return life{id: u.ID, born: u.StartedMs} }

type avoidance struct {
	ended, until time.Time
	inRow        int
}

// NewSchedule returns a schedule without any load under way.
func NewSchedule(options Options) *Schedule {
	return &Schedule{
		options: options, named: make(map[life]time.Time), busy: make(map[life]time.Time),
		avoided: make(map[life]avoidance), usual: loadFirst,
	}
}

// late is a runner that lacks weights.
type late struct {
	Step
	// since is when the first version that it lacks was named, and waits the later
	// of that and the end of its latest turn, if that was in vain. By since alone,
	// runners that always fail would come first again each time.
	since, waits time.Time
}

// Next takes in the runners that are heard, lists those whose turn comes, and
// returns those whose turn it is; each is to be ended by Release.
func (s *Schedule) Next(live []roster.Upstream, namings *TargetVersions, now time.Time) []Step {
	queue, runners := s.queue(live, namings)
	most := s.atOnce(queue, runners, now) + s.overdue(now)
	free := most - len(s.busy)
	for _, since := range s.busy {
		if now.Sub(since) > s.usual-drainLead {
			free++
		}
	}
	var turns []Step
	wanting := make(map[life]bool, len(queue))
	for i := range queue {
		id := lifeOf(&queue[i].Upstream)
		if _, loads := s.busy[id]; loads || now.Before(s.avoided[id].until) {
			continue
		}
		wanting[id] = true
		at, named := s.named[id]
		switch {
		case named && len(s.busy) < most && now.Sub(at) >= s.options.Notice:
			delete(s.named, id)
			s.busy[id] = now
			free--
			turns = append(turns, queue[i].Step)
		case !named && len(s.named) < free:
			s.named[id] = now
		}
	}
	maps.DeleteFunc(s.named, func(id life, _ time.Time) bool { return !wanting[id] })
	s.forget(live)
	s.note(queue, runners, most)
	return turns
}

// forget drops what is known of lives that have ended.
func (s *Schedule) forget(live []roster.Upstream) {
	if len(s.avoided) <= len(live) {
		return
	}
	lives := make(map[life]bool, len(live))
	for i := range live {
		lives[lifeOf(&live[i])] = true
	}
	maps.DeleteFunc(s.avoided, func(id life, _ avoidance) bool { return !lives[id] })
}

// overdue counts the loads that take twice their usual time and more, up to half of
// AtOnce: they may never end, and the others must not wait until they are given up.
// They may also be slow because too many load, so that it can't be all of them.
func (s *Schedule) overdue(now time.Time) int {
	n := 0
	for _, since := range s.busy {
		if now.Sub(since) > 2*s.usual {
			n++
		}
	}
	return min(n, (s.options.AtOnce+1)/2)
}

// queue lists the runners that lack weights, the one that has waited for longest
// first, and counts all that have a model.
func (s *Schedule) queue(live []roster.Upstream, namings *TargetVersions) (queue []late, runners int) {
	for i := range live {
		u := &live[i]
		if len(u.Loaded) == 0 || u.State != roster.Serving {
			continue
		}
		runners++
		first := late{}
		for _, loaded := range u.Loaded {
			since, lacks := namings.FirstLacked(loaded.Model, loaded.Version)
			if lacks && (first.Version == 0 || since.Before(first.since)) {
				turn := Step{Upstream: *u, Model: loaded.Model, Version: namings.Newest(loaded.Model)}
				first = late{Step: turn, since: since}
			}
		}
		if first.Version != 0 {
			first.waits = first.since
			if ended := s.avoided[lifeOf(u)].ended; ended.After(first.since) {
				first.waits = ended
			}
			queue = append(queue, first)
		}
	}
	slices.SortFunc(queue, func(a, b late) int {
		return cmp.Or(a.waits.Compare(b.waits), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
	})
	return queue, runners
}

// atOnce is how many runners may load at a time for each of the queue to be in
// time. A later version, with more time left, takes nothing from the bound of
// those before it in the queue.
func (s *Schedule) atOnce(queue []late, runners int, now time.Time) int {
	needed := 1
	turn := float64(s.usual + s.options.Notice)
	within := part(inTime, s.options.Bound)
	for i := range queue {
		left := max(queue[i].waits.Add(within).Sub(now), s.usual)
		needed = max(needed, int(math.Ceil(float64(i+1)*turn/float64(left))))
	}
	limit := max(s.options.AtOnce, runners/loadsShare)
	// Behind time, half as many more: runners that don't answer their orders
	// hold turns without loading.
	return min(needed, limit+limit/2)
}

func (s *Schedule) note(queue []late, runners, most int) {
	s.account = Account{Lacking: len(queue), Runners: runners, Loading: len(s.busy) + len(s.named), AtOnce: most}
	for i := range queue {
		if i == 0 || queue[i].since.Before(s.account.Since) {
			s.account.Longest, s.account.Since = queue[i].Upstream.ID, queue[i].since
		}
	}
}

// Account returns what the latest Next found.
func (s *Schedule) Account() Account { return s.account }

// Release ends a runner's turn. One that was not brought to its version is left
// alone for a while.
func (s *Schedule) Release(u roster.Upstream, done bool, now time.Time) {
	id := lifeOf(&u)
	delete(s.busy, id)
	if done {
		delete(s.avoided, id)
		return
	}
	known := s.avoided[id]
	known.ended = now
	known.until = now.Add(min(unreachableFor<<min(known.inRow, 8), unreachableMost))
	known.inRow++
	s.avoided[id] = known
}

// Loading lists the runners that take no requests for the sake of a load.
func (s *Schedule) Loading() []string {
	var ids []string
	for id := range s.busy {
		ids = append(ids, id.id)
	}
	for id := range s.named {
		ids = append(ids, id.id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// FirstCheck is how long after its order a runner is first to be asked whether it
// is done. Each question costs the runner work.
func (s *Schedule) FirstCheck() time.Duration {
	if !s.learnt {
		return loadFirst / 2
	}
	return part(loadNearly, s.usual)
}

// RecordLoadTime learns the time of a load: the shortest seen, so that one that had to
// wait for its runs does not delay the questions to all later ones.
func (s *Schedule) RecordLoadTime(took time.Duration) {
	if !s.learnt || took < s.usual {
		s.usual, s.learnt = took, true
	}
}
