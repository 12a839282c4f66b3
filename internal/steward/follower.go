package steward

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/stall"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
)

const (
	// watchTimeout is the time allowed for a host's answer: the wait of a watch, two network
	// transits and a busy leader. After it another host is tried.
	watchTimeout = 600 * time.Millisecond
	// lateTimeout is the time within which an answer is still applied that arrives after
	// watchTimeout. If the hosts, or this one, are always slower than watchTimeout, no other
	// answer ever arrives.
	lateTimeout = 2 * time.Second
	// overdueAfter is the age of the configuration state from which the leader is queried for
	// it. The usual age is up to 0.25 s, and a configuration must be in force within 2 s.
	overdueAfter = 800 * time.Millisecond
	// idleOverdueAfter replaces overdueAfter on an entry without requests. Its watches are kept
	// open longer, and it serves nothing by its state.
	idleOverdueAfter = 1400 * time.Millisecond
	// staleAfter is the age of the configuration state from which a warning is logged. An
	// election may take 1 s.
	staleAfter = 1500 * time.Millisecond
	// followPause is the minimum time between two watches.
	followPause = 20 * time.Millisecond
	// silentBackoff is the time for which a host that didn't answer is not tried again. A
	// control host is back within about 1 s of its end.
	silentBackoff = 2 * time.Second
	// startSpread is the period over which entries without any state spread their first
	// requests to the leader: an answer with the complete state takes it five times as long as
	// a usual one.
	startSpread = 4 * time.Second
	// maxSilentRelays is the number of silent relays after which the leader is requested to
	// answer itself. Each costs watchTimeout, and a configuration must be in force within 2 s.
	maxSilentRelays = 2
	// redirectBackoff is the time for which a relay is not tried again that had no state to
	// forward. After an election it has some within 0.1 s. Each such answer in a row doubles
	// the time, up to silentBackoff: hosts behind a network partition answer so until it heals,
	// each after a wait, and would take turns so that no other host is tried.
	redirectBackoff = 200 * time.Millisecond
	// shedBackoff is the average time for which a leader is not queried again that shed this
	// entry's watch. The time differs by entry, so that they don't all return together.
	shedBackoff = 500 * time.Millisecond
	// idlePause is the polling interval of a host that need not follow.
	idlePause = 100 * time.Millisecond
)

// errNoAnswer reports a host that didn't answer within the timeout.
var errNoAnswer = errors.New("no answer within the timeout")

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Transport port.PeerClient
	// Seeds are the control hosts known at the start.
	Seeds    []ident.Host
	PeerPort int
	// Self is excluded from the hosts to query. Hosts in DataCentre are preferred.
	Self       ident.Host
	DataCentre ident.DataCentre
	// LeaderOnly restricts queries to the leader.
	LeaderOnly bool
	// KnownLeader returns the leader that this host knows otherwise, empty if none; nil on entries.
	KnownLeader func() ident.Host
	// ApplyWithin is the time after its acknowledgement within which a configuration must be in
	// force; 0 if no bound is configured.
	ApplyWithin time.Duration
	// Clock is the clock by which the age of received state counts; nil means time.Now.
	Clock func() time.Time
	Log   *log.Logger
}

// Follower keeps watching the leader, or a relay that forwards the leader's state. It is not
// safe for concurrent use except for SetSeeds and Report.
type Follower struct {
	options FollowerOptions
	seeds   atomic.Pointer[[]ident.Host]
	// members are the control hosts of the latest answer, and relays the hosts that forward the
	// leader's state, best first.
	members []ident.Host
	relays  []ident.Host
	leader  ident.Host
	// hosts and leaderName are copies of members and leader for callers of Hosts and Leader.
	hosts      atomic.Pointer[[]string]
	leaderName atomic.Pointer[ident.Host]
	// avoided are hosts that failed recently. A leader is queried all the same once another
	// host names it again.
	avoided map[ident.Host]failure
	// redirects counts, by host, the consecutive answers that only redirected.
	redirects map[ident.Host]int
	// lastHost is the host of the latest answer.
	lastHost ident.Host
	// reportedTo holds the hosts that may count loads of this entry.
	reportedTo map[ident.Host]bool
	// term is the highest term of all answers. entries is the number of entries in the latest
	// answer whose leader knew it.
	term    uint64
	entries int
	next    int
	lost    bool
	// idle reports whether the latest request was that of an entry without requests.
	idle bool
	// spread is this follower's position within startSpread, in [0, 1).
	spread float64
	// pause is the wait requested by the host of the latest answer.
	pause time.Duration
	// reportHost is the host of the latest answer with a leader's state; reports are sent to it.
	reportHost atomic.Pointer[ident.Host]
	// configAsOf is the time as of which the leader's state is completely known here, in
	// microseconds since epoch.
	configAsOf atomic.Int64
	epoch      time.Time
	// leaderSeen is the running time at the latest answer that named a leader, in microseconds.
	leaderSeen atomic.Int64
	// stalls measures the time since epoch in which this process did not run.
	stalls stall.Meter
	// stale reports whether a stale configuration state was logged, and oldest is the maximum
	// age since.
	stale  bool
	oldest time.Duration
	// results delivers the answers, including late ones. applied counts the answers that were
	// applied.
	results  chan *watchCall
	applied  uint64
	counters *followerMetrics
}

// watchCall is one watch call with its result.
type watchCall struct {
	host ident.Host
	sent time.Time
	// after is the number of answers applied before the call was sent.
	after  uint64
	answer WatchAnswer
	err    error
}

// failure is the reason for which a host is avoided until a time.
type failure struct {
	until time.Time
	// silent is set for a host that didn't answer, not for one that redirected.
	silent bool
}

// NewFollower returns a follower; Run starts it.
func NewFollower(options FollowerOptions) *Follower {
	f := &Follower{
		options: options, avoided: make(map[ident.Host]failure), redirects: make(map[ident.Host]int), reportedTo: make(map[ident.Host]bool), results: make(chan *watchCall), epoch: readClock(options.Clock),
		spread: float64(xxhash.Sum64String(string(options.Self))>>11) / (1 << 53),
	}
	f.counters = newFollowerMetrics(f)
	f.SetSeeds(options.Seeds)
	return f
}

// Now reads the clock by which the age of received state counts.
func (f *Follower) Now() time.Time { return readClock(f.options.Clock) }

// SetSeeds replaces the control hosts that are queried while no other is known.
func (f *Follower) SetSeeds(seeds []ident.Host) { f.seeds.Store(&seeds) }

// Run watches until ctx ends. next returns the request to send, nil to pause; deliver receives
// each answer and a time as of which its inventories are current: they may be newer, and are
// not older. Both are called from one goroutine.
func (f *Follower) Run(ctx context.Context, next func() *WatchRequest, deliver func(*WatchAnswer, time.Time)) {
	beats, stop := context.WithCancel(ctx)
	defer stop()
	go f.stalls.Run(beats, f.Now)
	for ctx.Err() == nil {
		request := next()
		if request == nil {
			// An answer to a request from before the pause no longer matches the state held.
			f.applied++
			f.setConfigTime(f.Now())
			wait.For(ctx, idlePause)
			continue
		}
		f.logAge(f.Now())
		if !f.once(ctx, request, deliver) {
			wait.For(ctx, followPause)
		}
		wait.For(ctx, max(followPause, min(f.pause, maxPause)))
	}
}

// once makes one call and reports whether it was answered with a leader's state. Meanwhile it
// applies late answers to earlier calls.
func (f *Follower) once(ctx context.Context, request *WatchRequest, deliver func(*WatchAnswer, time.Time)) bool {
	now := f.Now()
	f.idle = request.Idle
	host := f.target(now)
	if host == "" {
		return false
	}
	f.addCallerState(request, host, now)
	call := f.send(ctx, host, request)
	sentAt := f.running(now)
	longest := watchTimeout
	if request.Idle {
		longest += idleWait - watchWait
	}
	timeout := time.NewTimer(longest)
	defer timeout.Stop()
	overdue := time.NewTimer(f.overdueIn(now))
	defer overdue.Stop()
	elected, stopPolling := f.pollLeader()
	defer stopPolling()
	for {
		select {
		case result := <-f.results:
			if result == call {
				applied := f.resolve(call, deliver)
				if applied {
					f.withdrawLoads(ctx)
				}
				return applied
			}
			f.applyLate(result, deliver)
		case <-overdue.C:
			// The call stays open; its answer is applied when it arrives.
			if !request.Overdue && host != f.leader && f.mustAskLeader(f.Now()) {
				return false
			}
		case <-elected:
			// The host that was asked may wait for a leader that is known here already. The call stays
			// open, as above.
			if leader := f.knownLeader(f.Now()); leader != "" && leader != host {
				return false
			}
		case <-timeout.C:
			// The answer to a process that didn't run may be waiting in its buffers.
			if left := longest - (f.running(f.Now()) - sentAt); left > 0 {
				timeout.Reset(left)
				continue
			}
			f.markSilent(host, errNoAnswer)
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// reportTimeout bounds one report: two network transits, gathering and a commit.
const reportTimeout = proposeTimeout + watchTimeout

// Report sends the control hosts what this entry has observed. Without an error it is in the
// log of a quorum; after ErrUnavailable it may be, and sending it again does no harm.
func (f *Follower) Report(ctx context.Context, r *Report) error {
	host := f.reportHost.Load()
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

// addCallerState adds to a request what the queried host needs to know of the caller.
func (f *Follower) addCallerState(request *WatchRequest, host ident.Host, now time.Time) {
	request.Entries = f.entries
	request.Direct = host == f.leader && f.relaysSilent()
	request.Overdue = host == f.leader && f.overdue(now)
	if request.Overdue {
		f.counters.overdue.Inc()
	}
}

// send makes a call; its result is delivered on results.
func (f *Follower) send(ctx context.Context, host ident.Host, request *WatchRequest) *watchCall {
	call := &watchCall{host: host, sent: f.Now(), after: f.applied}
	address := net.JoinHostPort(string(host), strconv.Itoa(f.options.PeerPort))
	body := wire.MustMarshal(request)
	if len(request.Loads) > 0 && request.Entry != nil {
		f.reportedTo[host] = true
	}
	go func() {
		bound, cancel := context.WithTimeout(ctx, lateTimeout)
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

// resolve applies the result of a call that was still waited for.
func (f *Follower) resolve(call *watchCall, deliver func(*WatchAnswer, time.Time)) bool {
	answer := &call.answer
	if call.err != nil {
		f.markSilent(call.host, call.err)
		return false
	}
	f.recordLeaderSeen(answer)
	if len(answer.Members) > 0 {
		f.members = f.members[:0]
		for _, name := range answer.Members {
			f.members = append(f.members, ident.Host(name))
		}
		if hosts := f.hosts.Load(); hosts == nil || !slices.Equal(*hosts, answer.Members) {
			f.hosts.Store(&answer.Members)
		}
	}
	if answer.Redirect || answer.Term < f.term {
		f.redirected(call.host, answer)
		f.pause = answer.Pause
		return false
	}
	if f.lost || f.lastHost != call.host {
		f.lost = false
		f.options.Log.Info("leader followed", "leader", answer.Leader, "through", call.host, "term", answer.Term)
	}
	f.lastHost = call.host
	f.reportHost.Store(&call.host)
	delete(f.redirects, call.host)
	f.setLeader(ident.Host(answer.Leader))
	f.relays = f.sortRelays(answer.Relays)
	f.apply(call, deliver)
	return true
}

// setLeader is the only place that changes leader, so that Leader tells the same host.
func (f *Follower) setLeader(leader ident.Host) {
	if f.leader != leader {
		f.leaderName.Store(&leader)
	}
	f.leader = leader
}

// recordLeaderSeen records that a control host that knows a leader has answered.
func (f *Follower) recordLeaderSeen(answer *WatchAnswer) {
	if answer.Leader != "" {
		f.leaderSeen.Store(f.running(f.Now()).Microseconds())
	}
}

// applyLate applies an answer that was no longer waited for. A relay stays avoided, since
// another one may answer in time; the leader is the last resort, and a late answer of it is
// better than none.
func (f *Follower) applyLate(call *watchCall, deliver func(*WatchAnswer, time.Time)) {
	if call.err != nil {
		return
	}
	f.recordLeaderSeen(&call.answer)
	if call.answer.Redirect || call.answer.Term < f.term {
		return
	}
	f.counters.late.Inc()
	if leader := ident.Host(call.answer.Leader); leader == call.host {
		delete(f.avoided, leader)
		f.setLeader(leader)
	}
	f.apply(call, deliver)
}

// apply passes an answer on. An answer to a request that was sent before another answer was
// applied is partial: its other parts build on the state held at the request.
func (f *Follower) apply(call *watchCall, deliver func(*WatchAnswer, time.Time)) {
	answer := &call.answer
	answer.boundTimes(f.Now().Sub(call.sent))
	if answer.Term > f.term {
		// A new leader names only hosts that are in contact with it. Without this, after a
		// restart of all hosts, the entries that avoid those would all query the leader.
		clear(f.avoided)
	}
	f.term, f.pause = answer.Term, answer.Pause
	if !answer.Counting {
		f.entries = answer.EntryCount
	}
	answer.Partial = call.after != f.applied
	// The state in the answer was read OpenFor after the request arrived, at the earliest.
	if asOf := call.sent.Add(answer.OpenFor - answer.StateAge); asOf.After(f.configTime()) {
		f.setConfigTime(asOf)
	}
	if !answer.Partial {
		f.applied++
	} else if f.options.LeaderOnly {
		return
	}
	deliver(answer, call.sent.Add(-answer.InventoryAge))
}

// configTime returns the time as of which the leader's state is completely known here;
// initially the start time.
func (f *Follower) configTime() time.Time {
	return f.epoch.Add(time.Duration(f.configAsOf.Load()) * time.Microsecond)
}

func (f *Follower) setConfigTime(as time.Time) { f.configAsOf.Store(as.Sub(f.epoch).Microseconds()) }

// overdue reports whether the configuration state is so old that the leader should be queried.
// It covers hosts that are not silent but answer too late, or only redirect.
func (f *Follower) overdue(now time.Time) bool {
	return !f.options.LeaderOnly && f.overdueIn(now) <= 0
}

// overdueIn returns the time until the configuration state is overdue. An entry that has just
// started has none, and after a restart of all hosts neither has any other: it waits for the
// relays, and the waits are spread so that the entries don't all query the leader together.
func (f *Follower) overdueIn(now time.Time) time.Duration {
	after := overdueAfter
	if f.idle {
		after = idleOverdueAfter
	}
	if f.term == 0 {
		after = relaysWithin + time.Duration(f.spread*float64(startSpread))
	}
	return f.configTime().Add(after).Sub(now)
}

// mustAskLeader reports whether the leader is queried because the configuration state is
// overdue.
func (f *Follower) mustAskLeader(now time.Time) bool {
	_, avoided := f.avoided[f.leader]
	return f.overdue(now) && f.leader != "" && f.leader != f.options.Self && !avoided
}

// logAge logs when the configuration state becomes stale, and when it is fresh again.
func (f *Follower) logAge(now time.Time) {
	age := now.Sub(f.configTime())
	switch {
	case age >= staleAfter:
		f.oldest = max(f.oldest, age)
		if !f.stale {
			f.stale = true
			f.options.Log.Warn("configuration state is stale", "age", age, "leader", f.leader, "asked", f.lastHost, "term", f.term)
		}
	case f.stale:
		f.options.Log.Info("configuration state is fresh again", "age", age, "was", f.oldest, "asked", f.lastHost, "term", f.term)
		f.stale, f.oldest = false, 0
	}
}

// followerMetrics holds a follower's counters.
type followerMetrics struct {
	set *metrics.Set
	// overdue counts the requests to the leader for overdue configuration state, and late the
	// answers applied after their timeout.
	overdue, late *metrics.Counter
}

func newFollowerMetrics(f *Follower) *followerMetrics {
	set := metrics.NewSet()
	set.NewGauge("lovagereach_follower_config_age_seconds", func() float64 { return f.Now().Sub(f.configTime()).Seconds() })
	set.NewGauge("lovagereach_follower_stalled_seconds", func() float64 { return f.stalls.Total(f.Now()).Seconds() })
	return &followerMetrics{
		set: set, overdue: set.NewCounter("lovagereach_follower_overdue_total"), late: set.NewCounter("lovagereach_follower_late_answers_total"),
	}
}

// Metrics returns the follower's metrics.
func (f *Follower) Metrics() *metrics.Set { return f.counters.set }
