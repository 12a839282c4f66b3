package steward

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/quorum"
)

// Guards against a group that has lost its leader, or a voter, without a log line with the
// reason.
func TestGroupWithoutLeaderIsLogged(t *testing.T) {
	lines := &strings.Builder{}
	w := newReachMonitor(&Steward{options: Options{Log: log.New(lines)}})
	now := time.Unix(1000, 0)
	refused := []VoterView{{Host: "10.0.0.2", Unreached: "refused"}, {Host: "10.0.0.3"}}
	detail := quorum.Status{Members: quorum.Membership{Voters: []quorum.Member{{Host: "10.0.0.2"}, {Host: "10.0.0.3"}}}, Revoked: true}
	for range 10 {
		w.checkLeader(now, &detail, refused)
		w.checkVoters(now, refused)
		now = now.Add(reachEvery)
	}
	for _, want := range []string{"group has no leader", "revoked=true", "10.0.0.2: refused", "voter not reached"} {
		if strings.Count(lines.String(), want) != 1 {
			t.Errorf("%q is not logged exactly once in %s", want, lines.String())
		}
	}
	stuck := quorum.Status{Role: quorum.RoleLeader, Leader: "10.0.0.1", Last: 9, Commit: 7}
	for range 10 {
		w.checkCommits(now, &stuck, refused)
		now = now.Add(reachEvery)
	}
	if strings.Count(lines.String(), "leader does not commit") != 1 {
		t.Errorf("a leader that does not commit is not logged exactly once in %s", lines.String())
	}
	detail.Leader = "10.0.0.3"
	w.checkLeader(now, &detail, refused)
	w.checkVoters(now, []VoterView{{Host: "10.0.0.2"}, {Host: "10.0.0.3"}})
	for _, want := range []string{"group has a leader again", "voter reached again"} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("%q is not logged in %s", want, lines.String())
		}
	}
}

// Guards against refusals to operators that name no reason for the missing leader.
func TestRefusalsToOperatorsNameTheReason(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	f.put(1, "one")
	f.kill(hostName(1))
	f.kill(hostName(2))
	var alone *Steward
	f.await("the last host knows that no leader is left", func() bool {
		alone = f.any()
		_, err := alone.Document(context.Background())
		return err != nil && strings.Contains(err.Error(), "no leader is known")
	})
	f.await("both voters count as unreached", func() bool { return unreachedVoters(alone.voterViews(time.Now())) == 2 })
}
