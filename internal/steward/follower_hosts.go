package steward

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/relay"
)

// relaysSilent reports whether the relays are silent. Relays that answer without having any
// state yet don't count: otherwise the leader would have to answer all entries after an
// election.
func (f *Follower) relaysSilent() bool {
	silent := 0
	for _, host := range f.relays {
		if f.avoided[host].silent {
			silent++
		}
	}
	return silent > 0 && silent >= min(len(f.relays), maxSilentRelays)
}

// redirected switches to the host that an answer names. A relay that has no state to forward is
// avoided for redirectBackoff, doubled with each such answer. An answer without a leader, as
// from behind a network partition, doesn't clear the known leader.
func (f *Follower) redirected(host ident.Host, answer *WatchAnswer) {
	if slices.Contains(f.relays, host) {
		wait := min(redirectBackoff<<min(f.redirects[host], 8), silentBackoff)
		f.avoided[host] = failure{until: f.Now().Add(wait)}
		f.redirects[host]++
	}
	if answer.Leader != "" {
		f.setLeader(ident.Host(answer.Leader))
	}
	if answer.Shed {
		f.avoided[host] = failure{until: f.Now().Add(time.Duration((0.5 + f.spread) * float64(shedBackoff)))}
	}
	if len(answer.Relays) > 0 {
		f.relays = f.sortRelays(answer.Relays)
	} else if f.leader == host {
		f.setLeader("")
	}
}

// sortRelays sorts the relays: those of this data centre first, and within each group in an
// order that differs by entry.
func (f *Follower) sortRelays(views []RelayView) []ident.Host {
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

func (f *Follower) markSilent(host ident.Host, err error) {
	if !f.lost {
		f.lost = true
		f.options.Log.Warn("leader lost", "host", host, "cause", err)
	}
	f.avoided[host] = failure{until: f.Now().Add(silentBackoff), silent: true}
	if f.leader == host {
		f.setLeader("")
	}
}

// target returns the host to query: a relay, or the leader if there is no usable relay or the
// state is overdue, otherwise the next of the known control hosts.
func (f *Follower) target(now time.Time) ident.Host {
	maps.DeleteFunc(f.avoided, func(_ ident.Host, why failure) bool { return !now.Before(why.until) })
	usable := func(host ident.Host) bool {
		_, avoided := f.avoided[host]
		return host != f.options.Self && !avoided
	}
	if f.mustAskLeader(now) {
		return f.leader
	}
	if leader := f.knownLeader(now); leader != "" {
		return leader
	}
	if i := slices.IndexFunc(f.relays, usable); i >= 0 && (f.leader == "" || !f.relaysSilent()) {
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

// knownLeader returns the leader that this host knows otherwise and that didn't just fail it, while no
// answer has named one.
func (f *Follower) knownLeader(now time.Time) ident.Host {
	if f.options.KnownLeader == nil || f.leader != "" {
		return ""
	}
	leader := f.options.KnownLeader()
	if leader == f.options.Self || now.Before(f.avoided[leader].until) {
		return ""
	}
	return leader
}

// pollLeader returns a channel on which it is time to look for such a leader, nil if there is none to
// look for.
func (f *Follower) pollLeader() (<-chan time.Time, func()) {
	if f.options.KnownLeader == nil || f.leader != "" {
		return nil, func() {}
	}
	ticker := time.NewTicker(leaderPoll)
	return ticker.C, ticker.Stop
}

// withdrawLoads withdraws the loads of this entry from the hosts that it has left. Otherwise each
// change of the host would count them once more, until the hosts take the entry for lost. If the
// message is lost, they do.
func (f *Follower) withdrawLoads(ctx context.Context) {
	for host := range f.reportedTo {
		if host == f.lastHost {
			continue
		}
		delete(f.reportedTo, host)
		address := net.JoinHostPort(string(host), strconv.Itoa(f.options.PeerPort))
		go func() {
			ctx, cancel := context.WithTimeout(ctx, watchTimeout)
			defer cancel()
			_, _ = f.options.Transport.Call(ctx, address, methodWithdraw, nil)
		}()
	}
}
