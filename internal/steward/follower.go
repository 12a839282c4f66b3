package steward

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	// watchTimeout is how long a host is waited for: the wait, two ways and a busy
	// leader. After it another is asked.
	watchTimeout = 600 * time.Millisecond
	// lateMost is until when an answer is taken in that comes after watchTimeout.
	// Where hosts, or this one, are always later than that, no other ever comes.
	lateMost = 2 * time.Second
	// overdueAfter is how old the word on the configuration may be before the
	// leader is asked for it. Usual is up to 0.25 s, and a configuration must be
	// in force within 2 s.
	overdueAfter = 800 * time.Millisecond
	// idleOverdueAfter is the same for an entry without requests. Its watches are kept open
	// longer, and it serves nothing by what it was told.
	idleOverdueAfter = 1400 * time.Millisecond
	// staleAfter is how old it may be before the log tells. An election may take
	// 1 s.
	staleAfter = 1500 * time.Millisecond
	// followPause is the least time between two watches.
	followPause = 20 * time.Millisecond
	// silentFor is how long a host is not asked again that did not answer. A
	// control host is back within about 1 s of its end.
	silentFor = 2 * time.Second
	// firstSpread is over how long entries without any word turn to the leader: what
	// they all lack takes it five times as long to tell as its usual answers.
	firstSpread = 4 * time.Second
	// silentMost is after how many silent hosts the leader is asked to answer
	// itself. Each costs watchTimeout, and a configuration must be in force
	// within 2 s.
	silentMost = 2
	// elsewhereFor is the same for a host that had nothing to pass on. After an
	// election it has within 0.1 s. Each such answer in a row doubles it, up to
	// silentFor: hosts behind a cut answer so until it heals, each after a wait, and
	// would be asked by turns with none left for the others.
	elsewhereFor = 200 * time.Millisecond
	// leaderBusyFor is how long, on average, a leader is not asked again that sent this
	// entry to other hosts. Entries differ in it, so that they don't all come back at once.
	leaderBusyFor = 500 * time.Millisecond
	// idlePause is how often a host that need not follow looks again.
	idlePause = 100 * time.Millisecond
)

// errNoAnswer reports a host that another one is asked instead of.
var errNoAnswer = errors.New("no answer in time")

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Transport port.PeerClient
	// Seeds are the control hosts known at the start.
	Seeds    []ident.Host
	PeerPort int
	// Self is left out of the hosts to ask, and DataCentre preferred.
	Self       ident.Host
	DataCentre ident.DataCentre
	// LeaderOnly asks no host but the leader.
	LeaderOnly bool
	// ApplyWithin is within what time after its acknowledgement a configuration must be
	// in force; 0 where that is not told.
	ApplyWithin time.Duration
	// Clock tells the time by which the age of what is told counts, nil means time.Now.
	Clock func() time.Time
	Log   *log.Logger
}

// Follower keeps watching the leader, or a host that passes on what the leader
// tells. It is not safe for concurrent use but for SetSeeds and Report.
type Follower struct {
	options FollowerOptions
	seeds   atomic.Pointer[[]ident.Host]
	// members are the control hosts of the latest answer, and relays those that
	// pass on what the leader tells, the best first.
	members []ident.Host
	relays  []ident.Host
	leader  ident.Host
	// avoided are hosts that failed lately. A leader is asked all the same, once
	// another host names it again.
	avoided map[ident.Host]failure
	// elsewhere counts, by host, the answers in a row that only told to ask others.
	elsewhere map[ident.Host]int
	// asked is the host of the latest answer.
	asked ident.Host
	// term is the highest of all answers, and entries the number of entries that
	// the latest told of a leader that knew it.
	term    uint64
	entries int
	next    int
	lost    bool
	// idle tells that the latest question was that of an entry without requests.
	idle bool
	// spread is this caller's share of firstSpread.
	spread float64
	// pause is how long the host of the latest answer asked to wait.
	pause time.Duration
	// through is the host of the latest answer of a leader, for reports.
	through atomic.Pointer[ident.Host]
	// word is the time as of which everything is known that the leader knew, in
	// microseconds since epoch.
	word  atomic.Int64
	epoch time.Time
	// led is when a host last answered that knew of a leader, in microseconds since epoch.
	led atomic.Int64
	// stale tells that the log was told of an old word, and oldest how old it was.
	stale  bool
	oldest time.Duration
	// results brings the answers, also late ones. taken counts those taken in.
	results chan *watched
	taken   uint64
	meter   *followMeter
}

// watched is one call and what became of it.
type watched struct {
	host ident.Host
	sent time.Time
	// after is the number of answers taken in before it was sent.
	after  uint64
	answer WatchAnswer
	err    error
}

// failure is why a host is not asked for a while.
type failure struct {
	until time.Time
	// silent hosts did not answer; others told to ask elsewhere.
	silent bool
}

// NewFollower returns a follower; Run starts it.
func NewFollower(options FollowerOptions) *Follower {
	f := &Follower{
		options: options, avoided: make(map[ident.Host]failure), elsewhere: make(map[ident.Host]int), results: make(chan *watched), epoch: readClock(options.Clock),
		spread: float64(xxhash.Sum64String(string(options.Self))>>11) / (1 << 53),
	}
	f.meter = newFollowMeter(f)
	f.SetSeeds(options.Seeds)
	return f
}

func (f *Follower) now() time.Time { return readClock(f.options.Clock) }

// SetSeeds replaces the control hosts that are asked while no other is known.
func (f *Follower) SetSeeds(seeds []ident.Host) { f.seeds.Store(&seeds) }

// Run watches until ctx ends. ask returns what to send, nil to pause; told
// takes each answer and a time before which nothing in it changed. Both are
// called from one goroutine.
func (f *Follower) Run(ctx context.Context, ask func() *WatchRequest, told func(*WatchAnswer, time.Time)) {
	for ctx.Err() == nil {
		request := ask()
		if request == nil {
			// What was asked for before the pause no longer fits what is held.
			f.taken++
			f.setWord(f.now())
			wait.For(ctx, idlePause)
			continue
		}
		f.noteAge(f.now())
		if !f.once(ctx, request, told) {
			wait.For(ctx, followPause)
		}
		wait.For(ctx, max(followPause, min(f.pause, pauseMost)))
	}
}

// once makes one call and reports whether it was answered by a leader. Meanwhile
// it takes in late answers to earlier ones.
func (f *Follower) once(ctx context.Context, request *WatchRequest, told func(*WatchAnswer, time.Time)) bool {
	now := f.now()
	f.idle = request.Idle
	host := f.target(now)
	if host == "" {
		return false
	}
	f.describe(request, host, now)
	call := f.send(ctx, host, request)
	longest := watchTimeout
	if request.Idle {
		longest += idleWait - watchWait
	}
	patience := time.NewTimer(longest)
	defer patience.Stop()
	turn := time.NewTimer(f.overdueIn(now))
	defer turn.Stop()
	for {
		select {
		case result := <-f.results:
			if result == call {
				return f.settle(call, told)
			}
			f.takeLate(result, told)
		case <-turn.C:
			// The call stays open; its answer is taken in when it comes.
			if !request.Overdue && host != f.leader && f.mustAskLeader(f.now()) {
				return false
			}
		case <-patience.C:
			f.failed(host, errNoAnswer)
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// reportTimeout bounds one report: two ways, gathering and a commit.
const reportTimeout = proposeTimeout + watchTimeout

// Report tells the control hosts what this entry has seen. Without an error it is in the
// log of a quorum; after ErrUnavailable it may be, and telling it again does no harm.
func (f *Follower) Report(ctx context.Context, r *Report) error {
	host := f.through.Load()
	if host == nil {
		return ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	address := net.JoinHostPort(string(*host), strconv.Itoa(f.options.PeerPort))
	raw, err := f.options.Transport.Call(ctx, address, methodReport, wire.MustMarshal(r))
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	var answer submitted
	if err := wire.Unmarshal(raw, &answer); err != nil {
		return eris.Wrap(err, "steward: decode the answer to a report")
	}
	if answer.Uncertain {
		return ErrUnavailable
	}
	return nil
}

// describe adds to a request what the host that is asked needs to know of the caller.
func (f *Follower) describe(request *WatchRequest, host ident.Host, now time.Time) {
	request.Entries = f.entries
	request.Direct = host == f.leader && f.unreached()
	request.Overdue = host == f.leader && f.overdue(now)
	if request.Overdue {
		f.meter.overdue.Inc()
	}
}

// send makes a call, whose end comes as one of the results.
func (f *Follower) send(ctx context.Context, host ident.Host, request *WatchRequest) *watched {
	call := &watched{host: host, sent: f.now(), after: f.taken}
	address := net.JoinHostPort(string(host), strconv.Itoa(f.options.PeerPort))
	body := wire.MustMarshal(request)
	go func() {
		bound, cancel := context.WithTimeout(ctx, lateMost)
		defer cancel()
		raw, err := f.options.Transport.Call(bound, address, methodWatch, body)
		if err == nil {
			err = wire.Unmarshal(raw, &call.answer)
		}
		call.err = err
		select {
		case f.results <- call:
		case <-bound.Done():
		}
	}()
	return call
}

// settle takes in the result of a call that was waited for.
func (f *Follower) settle(call *watched, told func(*WatchAnswer, time.Time)) bool {
	answer := &call.answer
	if call.err != nil {
		f.failed(call.host, call.err)
		return false
	}
	if answer.Leader != "" {
		f.led.Store(f.now().Sub(f.epoch).Microseconds())
	}
	if len(answer.Members) > 0 {
		f.members = f.members[:0]
		for _, name := range answer.Members {
			f.members = append(f.members, ident.Host(name))
		}
	}
	if answer.Redirect || answer.Term < f.term {
		f.redirected(call.host, answer)
		f.pause = answer.Pause
		return false
	}
	if f.lost || f.asked != call.host {
		f.lost = false
		f.options.Log.Info("leader followed", "leader", answer.Leader, "through", call.host, "term", answer.Term)
	}
	f.asked = call.host
	f.through.Store(&call.host)
	delete(f.elsewhere, call.host)
	f.leader = ident.Host(answer.Leader)
	f.relays = f.order(answer.Relays)
	f.take(call, told)
	return true
}

// takeLate takes in an answer that was no longer waited for. A relay stays
// avoided, for another may answer in time; the leader is the last to be asked, and
// a late answer of it better than none.
func (f *Follower) takeLate(call *watched, told func(*WatchAnswer, time.Time)) {
	if call.err != nil || call.answer.Redirect || call.answer.Term < f.term {
		return
	}
	f.meter.late.Inc()
	if leader := ident.Host(call.answer.Leader); leader == call.host {
		delete(f.avoided, leader)
		f.leader = leader
	}
	f.take(call, told)
}

// take passes an answer on. One that was asked for before another was taken in
// tells a part only: the rest builds on what was held then.
func (f *Follower) take(call *watched, told func(*WatchAnswer, time.Time)) {
	answer := &call.answer
	if answer.Term > f.term {
		// Whom a new leader names, it hears. After a restart of all, entries that
		// kept away from those would all have the leader answer them.
		clear(f.avoided)
	}
	f.term, f.pause = answer.Term, answer.Pause
	if !answer.Counting {
		f.entries = answer.EntryCount
	}
	answer.Partial = call.after != f.taken
	// What the answer tells was looked up Held after the question came at the earliest.
	if word := call.sent.Add(answer.OpenFor - answer.StateAge); word.After(f.wordTime()) {
		f.setWord(word)
	}
	if !answer.Partial {
		f.taken++
	} else if f.options.LeaderOnly {
		return
	}
	told(answer, call.sent.Add(-answer.InventoryAge))
}

// wordTime is the time as of which everything is known that the leader knew; at
// the earliest that of the start.
func (f *Follower) wordTime() time.Time {
	return f.epoch.Add(time.Duration(f.word.Load()) * time.Microsecond)
}

func (f *Follower) setWord(as time.Time) { f.word.Store(as.Sub(f.epoch).Microseconds()) }

// overdue reports whether the word on the configuration is so old that the leader
// should be asked. Hosts that answer too late, or only tell to ask elsewhere, are
// not silent, and yet bring no news.
func (f *Follower) overdue(now time.Time) bool {
	return !f.options.LeaderOnly && f.overdueIn(now) <= 0
}

// overdueIn is how long it is until the word is overdue. An entry that has just
// started has none, as all others may after a restart of all: it waits for those that
// are to answer it, and they do not all fall upon the leader at one time.
func (f *Follower) overdueIn(now time.Time) time.Duration {
	after := overdueAfter
	if f.idle {
		after = idleOverdueAfter
	}
	if f.term == 0 {
		after = relaysWithin + time.Duration(f.spread*float64(firstSpread))
	}
	return f.wordTime().Add(after).Sub(now)
}

// mustAskLeader reports whether the leader is asked for want of a younger word.
func (f *Follower) mustAskLeader(now time.Time) bool {
	_, avoided := f.avoided[f.leader]
	return f.overdue(now) && f.leader != "" && f.leader != f.options.Self && !avoided
}

// noteAge tells the log when the word on the configuration has become old, and
// when it no longer is.
func (f *Follower) noteAge(now time.Time) {
	age := now.Sub(f.wordTime())
	switch {
	case age >= staleAfter:
		f.oldest = max(f.oldest, age)
		if !f.stale {
			f.stale = true
			f.options.Log.Warn("word on the configuration is old", "age", age, "leader", f.leader, "asked", f.asked, "term", f.term)
		}
	case f.stale:
		f.options.Log.Info("word on the configuration is fresh again", "age", age, "was", f.oldest, "asked", f.asked, "term", f.term)
		f.stale, f.oldest = false, 0
	}
}

// followMeter holds a follower's counters.
type followMeter struct {
	set *metrics.Set
	// overdue counts the questions to the leader for want of a younger word, and
	// late the answers taken in that were no longer waited for.
	overdue, late *metrics.Counter
}

func newFollowMeter(f *Follower) *followMeter {
	set := metrics.NewSet()
	set.NewGauge("lovagereach_follower_config_age_seconds", func() float64 { return f.now().Sub(f.wordTime()).Seconds() })
	return &followMeter{
		set: set, overdue: set.NewCounter("lovagereach_follower_overdue_total"), late: set.NewCounter("lovagereach_follower_late_answers_total"),
	}
}

// Metrics are the follower's metrics.
func (f *Follower) Metrics() *metrics.Set { return f.meter.set }
