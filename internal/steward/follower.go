package steward

import (
	"context"
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
)

const (
	// watchTimeout bounds one watch: the wait, two ways and a busy leader.
	watchTimeout = 600 * time.Millisecond
	// followPause is the least time between two watches.
	followPause = 20 * time.Millisecond
	// idlePause is how often a host that need not follow looks again.
	idlePause = 100 * time.Millisecond
)

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Transport port.PeerClient
	// Seeds are the control hosts known at the start.
	Seeds    []ident.Host
	PeerPort int
	// Self is left out of the hosts to ask.
	Self ident.Host
	Log  *log.Logger
}

// Follower keeps watching the leader, whoever that is.
type Follower struct {
	options FollowerOptions
	seeds   atomic.Pointer[[]ident.Host]
	// members are the control hosts of the latest answer.
	members []ident.Host
	leader  ident.Host
	next    int
	lost    bool
}

// NewFollower returns a follower; Run starts it.
func NewFollower(options FollowerOptions) *Follower {
	f := &Follower{options: options}
	f.SetSeeds(options.Seeds)
	return f
}

// SetSeeds replaces the control hosts that are asked while no other is known.
func (f *Follower) SetSeeds(seeds []ident.Host) { f.seeds.Store(&seeds) }

// Run watches until ctx ends. ask returns what to send, nil to pause; told
// takes each answer and the time at which its question was sent. Both are
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
	host := f.target()
	if host == "" {
		return false
	}
	bound, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
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
	if answer.NotLeader {
		f.leader = ident.Host(answer.Leader)
		if f.leader == host {
			f.leader = ""
		}
		return false
	}
	if f.lost || f.leader != host {
		f.lost = false
		f.options.Log.Info("leader followed", "leader", host, "term", answer.Term)
	}
	f.leader = host
	told(&answer, sent)
	return true
}

func (f *Follower) failed(host ident.Host, err error) {
	if !f.lost {
		f.lost = true
		f.options.Log.Warn("leader lost", "host", host, "cause", err)
	}
	f.leader = ""
}

// target is the leader, or the next of the known control hosts.
func (f *Follower) target() ident.Host {
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
	if len(hosts) == 0 {
		return ""
	}
	f.next++
	return hosts[f.next%len(hosts)]
}
