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
	// reachEvery is how often the reach of the group is looked at.
	reachEvery = 500 * time.Millisecond
	// leaderlessAfter is how long no leader may be known before the log tells. An
	// election takes up to 1 s.
	leaderlessAfter = 1500 * time.Millisecond
	// leaderlessEvery is how often it tells again.
	leaderlessEvery = 5 * time.Second
	// failedWithin is how old the latest failure may be of a voter that counts as
	// unreached. Links dial every 0.2 s while there is something to send.
	failedWithin = 3 * time.Second
	// voterUnreachedAfter is how long a voter must be unreached before the log tells. A
	// process is back within about 1 s of its end.
	voterUnreachedAfter = 3 * time.Second
)

// VoterView is how a voter of the group is reached from this host.
type VoterView struct {
	Host string `json:"host"`
	// Unreached is why it can't be reached, empty if nothing failed lately.
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
		if err := s.transport.Unreached(s.peerAddress(host), now.Add(-failedWithin)); err != nil {
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

// reachWatch tells the log when the group has no leader, and which voters this host
// does not reach. A group that has lost one voter serves on, and only the next loss shows.
type reachWatch struct {
	steward *Steward
	// leaderless is since when no leader is known, zero while one is, and told when
	// the log was last told.
	leaderless, told time.Time
	// commit is the latest that a leader committed at, with entries waiting since
	// waiting, zero when none wait.
	commit  uint64
	waiting time.Time
	// unreached is since when each voter is, and reported the voters told of.
	unreached map[ident.Host]time.Time
	reported  map[ident.Host]bool
}

func newReachWatch(s *Steward) *reachWatch {
	return &reachWatch{steward: s, unreached: make(map[ident.Host]time.Time), reported: make(map[ident.Host]bool)}
}

func (w *reachWatch) run(ctx context.Context) {
	for wait.For(ctx, reachEvery) {
		detail, err := w.steward.manager.QuorumStatus(group)
		if err != nil {
			continue
		}
		now := time.Now()
		views := w.steward.voterViews(now)
		w.noteLeader(now, &detail, views)
		w.noteCommits(now, &detail, views)
		w.noteVoters(now, views)
	}
}

func (w *reachWatch) noteLeader(now time.Time, detail *quorum.Status, views []VoterView) {
	log := w.steward.options.Log
	if detail.Leader != "" {
		if !w.told.IsZero() {
			log.Info("group has a leader again", "leader", detail.Leader, "term", detail.Term, "after", now.Sub(w.leaderless))
		}
		w.leaderless, w.told = time.Time{}, time.Time{}
		return
	}
	if w.leaderless.IsZero() {
		w.leaderless = now
	}
	if now.Sub(w.leaderless) < leaderlessAfter || !w.told.IsZero() && now.Sub(w.told) < leaderlessEvery {
		return
	}
	w.told = now
	log.Warn("group has no leader", "for", now.Sub(w.leaderless), "role", detail.Role, "term", detail.Term,
		"revoked", detail.Revoked, "last", detail.Last, "commit", detail.Commit, "disk", uint64(detail.Disk),
		"voters", describeVoters(detail.Members.Voters), "unreached", describeUnreached(views))
}

// noteCommits tells the log of a leader whose entries no quorum takes.
func (w *reachWatch) noteCommits(now time.Time, detail *quorum.Status, views []VoterView) {
	if detail.Role != quorum.RoleLeader || detail.Last <= detail.Commit || detail.Commit != w.commit {
		w.commit, w.waiting = detail.Commit, time.Time{}
		return
	}
	if w.waiting.IsZero() {
		w.waiting = now
	}
	if now.Sub(w.waiting) < leaderlessAfter {
		return
	}
	w.waiting = now.Add(leaderlessEvery - leaderlessAfter)
	w.steward.options.Log.Warn("leader does not commit", "term", detail.Term, "last", detail.Last, "commit", detail.Commit,
		"voters", describeVoters(detail.Members.Voters), "unreached", describeUnreached(views))
}

func (w *reachWatch) noteVoters(now time.Time, views []VoterView) {
	log := w.steward.options.Log
	for _, view := range views {
		host := ident.Host(view.Host)
		since, known := w.unreached[host]
		switch {
		case view.Unreached == "" && w.reported[host]:
			log.Info("voter reached again", "host", host, "after", now.Sub(since))
			fallthrough
		case view.Unreached == "":
			delete(w.unreached, host)
			delete(w.reported, host)
		case !known:
			w.unreached[host] = now
		case !w.reported[host] && now.Sub(since) >= voterUnreachedAfter:
			w.reported[host] = true
			log.Warn("voter not reached", "host", host, "cause", view.Unreached)
		}
	}
	w.forget(views)
}

// forget drops the hosts that vote no more.
func (w *reachWatch) forget(views []VoterView) {
	for host := range w.unreached {
		if !slices.ContainsFunc(views, func(v VoterView) bool { return v.Host == string(host) }) {
			delete(w.unreached, host)
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
