package steward

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/quorum"
)

const (
	// reachEvery is the interval at which the state of the group and its voters is checked.
	reachEvery = 500 * time.Millisecond
	// noLeaderLogAfter is the time without a known leader after which a warning is logged. An
	// election takes up to 1 s.
	noLeaderLogAfter = 1500 * time.Millisecond
	// noLeaderLogEvery is the interval at which the warning is repeated.
	noLeaderLogEvery = 5 * time.Second
	// failureMaxAge is the maximum age of the latest connection failure of a voter that counts
	// as unreached. Links dial every 0.2 s while there is something to send.
	failureMaxAge = 3 * time.Second
	// voterUnreachedAfter is the time for which a voter must be unreached before a warning is
	// logged. A restarted process is back within about 1 s.
	voterUnreachedAfter = 3 * time.Second
)

// VoterView is the reachability of a voter of the group from this host.
type VoterView struct {
	Host string `json:"host"`
	// Unreached is the latest connection error, empty if there was none recently.
	Unreached string `json:"unreached,omitempty"`
}

// voterViews lists the other voters.
func (s *Steward) voterViews(now time.Time) []VoterView {
	r := s.replica()
	if r == nil {
		return nil
	}
	var views []VoterView
	for _, host := range r.Status().Voters {
		if host == s.options.Self {
			continue
		}
		view := VoterView{Host: string(host)}
		if err := s.transport.LastDialError(s.peerAddress(host), now.Add(-failureMaxAge)); err != nil {
			view.Unreached = err.Error()
		}
		views = append(views, view)
	}
	return views
}

func unreachedVoters(views []VoterView) int {
	unreached := 0
	for _, view := range views {
		if view.Unreached != "" {
			unreached++
		}
	}
	return unreached
}

// reachMonitor logs when the group has no leader, and which voters this host doesn't reach. A
// group that has lost one voter keeps serving, and without this log only the next loss would
// show.
type reachMonitor struct {
	steward *Steward
	// noLeaderSince is the time since which no leader is known, zero while one is. loggedAt is
	// the time of the latest warning about it.
	noLeaderSince, loggedAt time.Time
	// commit is the commit index at the latest check. uncommittedSince is the time since which
	// a leader has had entries beyond it, zero if there are none.
	commit           uint64
	uncommittedSince time.Time
	// unreachedSince holds the time since which each voter is unreached, and reported the
	// voters that were logged.
	unreachedSince map[ident.Host]time.Time
	reported       map[ident.Host]bool
}

func newReachMonitor(s *Steward) *reachMonitor {
	return &reachMonitor{steward: s, unreachedSince: make(map[ident.Host]time.Time), reported: make(map[ident.Host]bool)}
}

func (w *reachMonitor) run(ctx context.Context) {
	for wait.For(ctx, reachEvery) {
		detail, err := w.steward.manager.QuorumStatus(group)
		if err != nil {
			continue
		}
		now := time.Now()
		views := w.steward.voterViews(now)
		w.checkLeader(now, &detail, views)
		w.checkCommits(now, &detail, views)
		w.checkVoters(now, views)
	}
}

func (w *reachMonitor) checkLeader(now time.Time, detail *quorum.Status, views []VoterView) {
	log := w.steward.options.Log
	if detail.Leader != "" {
		if !w.loggedAt.IsZero() {
			log.Info("group has a leader again", "leader", detail.Leader, "term", detail.Term, "after", now.Sub(w.noLeaderSince))
		}
		w.noLeaderSince, w.loggedAt = time.Time{}, time.Time{}
		return
	}
	if w.noLeaderSince.IsZero() {
		w.noLeaderSince = now
	}
	if now.Sub(w.noLeaderSince) < noLeaderLogAfter || !w.loggedAt.IsZero() && now.Sub(w.loggedAt) < noLeaderLogEvery {
		return
	}
	w.loggedAt = now
	log.Warn("group has no leader", "for", now.Sub(w.noLeaderSince), "role", detail.Role, "term", detail.Term,
		"revoked", detail.Revoked, "last", detail.Last, "commit", detail.Commit, "disk", uint64(detail.Disk),
		"voters", describeVoters(detail.Members.Voters), "unreached", describeUnreached(views))
}

// checkCommits logs a leader whose entries no quorum acknowledges.
func (w *reachMonitor) checkCommits(now time.Time, detail *quorum.Status, views []VoterView) {
	if detail.Role != quorum.RoleLeader || detail.Last <= detail.Commit || detail.Commit != w.commit {
		w.commit, w.uncommittedSince = detail.Commit, time.Time{}
		return
	}
	if w.uncommittedSince.IsZero() {
		w.uncommittedSince = now
	}
	if now.Sub(w.uncommittedSince) < noLeaderLogAfter {
		return
	}
	w.uncommittedSince = now.Add(noLeaderLogEvery - noLeaderLogAfter)
	w.steward.options.Log.Warn("leader does not commit", "term", detail.Term, "last", detail.Last, "commit", detail.Commit,
		"voters", describeVoters(detail.Members.Voters), "unreached", describeUnreached(views))
}

func (w *reachMonitor) checkVoters(now time.Time, views []VoterView) {
	log := w.steward.options.Log
	for _, view := range views {
		host := ident.Host(view.Host)
		since, known := w.unreachedSince[host]
		switch {
		case view.Unreached == "" && w.reported[host]:
			log.Info("voter reached again", "host", host, "after", now.Sub(since))
			fallthrough
		case view.Unreached == "":
			delete(w.unreachedSince, host)
			delete(w.reported, host)
		case !known:
			w.unreachedSince[host] = now
		case !w.reported[host] && now.Sub(since) >= voterUnreachedAfter:
			w.reported[host] = true
			log.Warn("voter not reached", "host", host, "cause", view.Unreached)
		}
	}
	w.forget(views)
}

// forget drops the hosts that are no longer voters.
func (w *reachMonitor) forget(views []VoterView) {
	for host := range w.unreachedSince {
		if !slices.ContainsFunc(views, func(v VoterView) bool { return v.Host == string(host) }) {
			delete(w.unreachedSince, host)
			delete(w.reported, host)
		}
	}
}

func describeVoters(voters []quorum.Member) string {
	names := make([]string, len(voters))
	for i, v := range voters {
		names[i] = string(v.Host)
	}
	return strings.Join(names, ",")
}

func describeUnreached(views []VoterView) string {
	var parts []string
	for _, view := range views {
		if view.Unreached != "" {
			parts = append(parts, view.Host+": "+view.Unreached)
		}
	}
	return strings.Join(parts, "; ")
}
