package steward

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/relay"
)

const (
	// watchTimeout bounds one watch: the wait, two ways and a busy leader.
	watchTimeout = 600 * time.Millisecond
	// followPause is the least time between two watches.
	followPause = 20 * time.Millisecond
	// silentFor is how long a host is not asked again that did not answer. A
	// control host is back within about 1 s of its end.
	silentFor = 2 * time.Second
	// silentMost is after how many silent hosts the leader is asked to answer
	// itself. Each costs watchTimeout, and a configuration must be in force
	// within 2 s.
	silentMost = 2
	// elsewhereFor is the same for a host that had nothing to pass on. After an
	// election it has within 0.1 s.
	elsewhereFor = 200 * time.Millisecond
	// idlePause is how often a host that need not follow looks again.
	idlePause = 100 * time.Millisecond
)

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
	Log        *log.Logger
}

// Follower keeps watching the leader, or a host that passes on what the leader
// tells. It is not safe for concurrent use but for SetSeeds.
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
	// asked is the host of the latest answer.
	asked ident.Host
	// term is the highest of all answers.
	term uint64
	next int
	lost bool
}

// failure is why a host is not asked for a while.
type failure struct {
	until time.Time
	// silent hosts did not answer; others told to ask elsewhere.
	silent bool
}

// NewFollower returns a follower; Run starts it.
func NewFollower(options FollowerOptions) *Follower {
	f := &Follower{options: options, avoided: make(map[ident.Host]failure)}
	f.SetSeeds(options.Seeds)
	return f
}

// SetSeeds replaces the control hosts that are asked while no other is known.
func (f *Follower) SetSeeds(seeds []ident.Host) { f.seeds.Store(&seeds) }

// Run watches until ctx ends. ask returns what to send, nil to pause; told
// takes each answer and a time before which nothing in it changed. Both are
// called from one goroutine.
func (f *Follower) Run(ctx context.Context, ask func() *WatchRequest, told func(*WatchAnswer, time.Time)) {
	for ctx.Err() == nil {
		request := ask()
		if request == nil {
			wait.For(ctx, idlePause)
			continue
		}
		if !f.once(ctx, request, told) {
			wait.For(ctx, followPause)
		}
		wait.For(ctx, followPause)
	}
}

// once makes one call and reports whether it was answered by a leader.
func (f *Follower) once(ctx context.Context, request *WatchRequest, told func(*WatchAnswer, time.Time)) bool {
	host := f.target(time.Now())
	if host == "" {
		return false
	}
	bound, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	request.Direct = host == f.leader && f.unreached()
	sent := time.Now()
	address := net.JoinHostPort(string(host), strconv.Itoa(f.options.PeerPort))
	raw, err := f.options.Transport.Call(bound, address, methodWatch, wire.MustMarshal(request))
	var answer WatchAnswer
	if err == nil {
		err = wire.Unmarshal(raw, &answer)
	}
	if err != nil {
		f.failed(host, err)
		return false
	}
	if len(answer.Members) > 0 {
		f.members = f.members[:0]
		for _, name := range answer.Members {
			f.members = append(f.members, ident.Host(name))
		}
	}
	if answer.Elsewhere || answer.Term < f.term {
		f.redirected(host, &answer)
		return false
	}
	if f.lost || f.asked != host {
		f.lost = false
		f.options.Log.Info("leader followed", "leader", answer.Leader, "through", host, "term", answer.Term)
	}
	f.asked, f.term = host, answer.Term
	f.leader = ident.Host(answer.Leader)
	f.relays = f.order(answer.Relays)
	told(&answer, sent.Add(-answer.Age))
	return true
}

// unreached reports whether the hosts that pass on what the leader tells are
// silent. Hosts that answer, but have nothing yet, do not count: after an election
// the leader would have to answer all entries.
func (f *Follower) unreached() bool {
	silent := 0
	for _, host := range f.relays {
		if f.avoided[host].silent {
			silent++
		}
	}
	return silent > 0 && silent >= min(len(f.relays), silentMost)
}

// redirected turns to the host that an answer names. One that should have
// passed on what the leader tells, but can't, is left alone for a while.
func (f *Follower) redirected(host ident.Host, answer *WatchAnswer) {
	if slices.Contains(f.relays, host) {
		f.avoided[host] = failure{until: time.Now().Add(elsewhereFor)}
	}
	f.leader = ident.Host(answer.Leader)
	if len(answer.Relays) > 0 {
		f.relays = f.order(answer.Relays)
	} else if f.leader == host {
		f.leader = ""
	}
}

// order sorts the hosts that pass on what the leader tells: those of this data
// centre first, and each entry in an order of its own.
func (f *Follower) order(views []RelayView) []ident.Host {
	if f.options.LeaderOnly {
		return nil
	}
	var near, far []string
	for _, view := range views {
		if view.DataCentre == string(f.options.DataCentre) {
			near = append(near, view.Host)
		} else {
			far = append(far, view.Host)
		}
	}
	var hosts []ident.Host
	for _, name := range append(relay.Order(f.options.Self, near), relay.Order(f.options.Self, far)...) {
		hosts = append(hosts, ident.Host(name))
	}
	return hosts
}

func (f *Follower) failed(host ident.Host, err error) {
	if !f.lost {
		f.lost = true
		f.options.Log.Warn("leader lost", "host", host, "cause", err)
	}
	f.avoided[host] = failure{until: time.Now().Add(silentFor), silent: true}
	if f.leader == host {
		f.leader = ""
	}
}

// target is the host to ask: one that passes on what the leader tells, else the
// leader, else the next of the known control hosts.
func (f *Follower) target(now time.Time) ident.Host {
	maps.DeleteFunc(f.avoided, func(_ ident.Host, why failure) bool { return !now.Before(why.until) })
	usable := func(host ident.Host) bool {
		_, avoided := f.avoided[host]
		return host != f.options.Self && !avoided
	}
	if i := slices.IndexFunc(f.relays, usable); i >= 0 && (f.leader == "" || !f.unreached()) {
		return f.relays[i]
	}
	if f.leader != "" && f.leader != f.options.Self {
		return f.leader
	}
	hosts := slices.Clone(f.members)
	for _, seed := range *f.seeds.Load() {
		if !slices.Contains(hosts, seed) {
			hosts = append(hosts, seed)
		}
	}
	hosts = slices.DeleteFunc(hosts, func(host ident.Host) bool { return host == f.options.Self })
	if slices.ContainsFunc(hosts, usable) {
		hosts = slices.DeleteFunc(hosts, func(host ident.Host) bool { return !usable(host) })
	}
	if len(hosts) == 0 {
		return ""
	}
	f.next++
	return hosts[f.next%len(hosts)]
}
