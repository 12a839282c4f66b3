package steward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ratelimit"
)

func observation(upstream string, startedMs uint64, perSecond float64) ratelimit.Observation {
	return ratelimit.Observation{Upstream: upstream, StartedMs: startedMs, Limit: ratelimit.Limit{Limited: true, PerSecond: perSecond}}
}

// Guards against a limit that only the entry knows whose request was answered with it, and against
// shares for upstreams that have gone or started again since.
func TestLeaderDividesReportedLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership(1, 1)
		l.steward.leading.Store(l)
		report := func(host string, limits ...ratelimit.Observation) {
			request := entryRequest(host, true)
			request.Entry.Rate, request.Limits = 10, limits
			l.recordWatcher(entryPeer(host), request, time.Now())
		}
		report("e1", observation("a", 0, 4), observation("b", 7, 4), observation("gone", 0, 4))
		report("e2")
		time.Sleep(ratelimit.Validity)
		report("e1")
		report("e2")
		total := 0.0
		for _, host := range []string{"e1", "e2"} {
			answer := &WatchAnswer{}
			l.addGrants(entryPeer(host), &WatchRequest{}, answer, time.Now())
			l.addLimits(&WatchRequest{}, answer, time.Now())
			if len(answer.Shares) != 1 || answer.Shares[0].Upstream != "a" || len(answer.Limits) != 1 {
				t.Fatalf("%s: shares %v of limits %v", host, answer.Shares, answer.Limits)
			}
			total += answer.Shares[0].PerSecond
		}
		if total < 3.9 || total > 4.001 {
			t.Errorf("shares of %.2f a second of a limit of 4", total)
		}
		answer := &WatchAnswer{}
		l.addLimits(&WatchRequest{LimitsRevision: l.limits.Revision() + 1, Term: l.elected}, answer, time.Now())
		if answer.Limits != nil {
			t.Error("an unchanged list is sent again")
		}
	})
}

// Guards against limits and shares that are lost on their way through a relay, in either
// direction, or that a relay sends on after the leader has changed.
func TestRelayPassesLimitsOn(t *testing.T) {
	b := newRelayState(NewMachine(), newSharedIndex(), log.New(io.Discard))
	now := time.Now()
	request := entryRequest("e1", true)
	request.Limits = []ratelimit.Observation{observation("u", 1, 5)}
	b.recordWatcher(entryPeer("e1"), request, now)
	reported := b.request(now).Limits
	if len(reported) != 1 || reported[0].Limit.PerSecond != 5 {
		t.Fatalf("the leader is told %v", reported)
	}
	shares := []ratelimit.Share{{Upstream: "u", Host: "e1", PerSecond: 2}, {Upstream: "u", Host: "e2", PerSecond: 3}}
	b.apply(&WatchAnswer{Term: 4, GrantsRevision: 7, Shares: shares, LimitsRevision: 3, Limits: reported}, now, now)
	if again := b.request(now); len(again.Limits) != 0 || again.LimitsRevision != 3 {
		t.Errorf("the leader is told %v again, of revision %d", again.Limits, again.LimitsRevision)
	}
	answer := &WatchAnswer{}
	b.addGrants(entryPeer("e2"), nil, answer, now)
	b.addLimits(&WatchRequest{}, answer, now)
	if len(answer.Shares) != 1 || answer.Shares[0].PerSecond != 3 || len(answer.Limits) != 1 {
		t.Errorf("an entry receives shares %v of limits %v", answer.Shares, answer.Limits)
	}
	b.apply(&WatchAnswer{Term: 5, LimitsRevision: 1}, now, now)
	answer = &WatchAnswer{}
	b.addGrants(entryPeer("e2"), nil, answer, now)
	if answer.Shares != nil {
		t.Error("shares of the previous leader are sent")
	}
	if told := b.request(now).Limits; len(told) != 1 {
		t.Errorf("a new leader is told %v", told)
	}
}
