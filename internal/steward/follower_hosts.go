package steward

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/relay"
)

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
// passed on what the leader tells, but can't, is left alone for a while. One that
// knows of no leader, as behind a cut, does not make the one known forgotten.
func (f *Follower) redirected(host ident.Host, answer *WatchAnswer) {
	if slices.Contains(f.relays, host) {
		wait := min(elsewhereFor<<min(f.elsewhere[host], 8), silentFor)
		f.avoided[host] = failure{until: f.now().Add(wait)}
		f.elsewhere[host]++
	}
	if answer.Leader != "" {
		f.leader = ident.Host(answer.Leader)
	}
	if answer.Shed {
		f.avoided[host] = failure{until: f.now().Add(time.Duration((0.5 + f.spread) * float64(leaderBusyFor)))}
	}
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
	f.avoided[host] = failure{until: f.now().Add(silentFor), silent: true}
	if f.leader == host {
		f.leader = ""
	}
}

// target is the host to ask: one that passes on what the leader tells, or the
// leader where there is none or the word is overdue, else the next of the known
// control hosts.
func (f *Follower) target(now time.Time) ident.Host {
	maps.DeleteFunc(f.avoided, func(_ ident.Host, why failure) bool { return !now.Before(why.until) })
	usable := func(host ident.Host) bool {
		_, avoided := f.avoided[host]
		return host != f.options.Self && !avoided
	}
	if f.mustAskLeader(now) {
		return f.leader
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
