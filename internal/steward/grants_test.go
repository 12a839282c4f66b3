package steward

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/warmup"
)

// Guards against a relay that sends grants of an earlier leader, or grants that the leader
// confirmed too long ago, as confirmed.
func TestRelaySendsConfirmedGrantsOnly(t *testing.T) {
	b := newRelayState(NewMachine(), newSharedIndex(), nil)
	now := time.Now()
	grantsOf := func(host string) []warmup.Grant {
		answer := &WatchAnswer{}
		b.addGrants(entryPeer(host), nil, answer, now)
		return answer.Grants
	}
	grant := warmup.Grant{Upstream: "u", Host: "e1", Requests: 2}
	b.apply(&WatchAnswer{Term: 4, GrantsRevision: 7, Grants: []warmup.Grant{grant}}, now, now)
	if got := grantsOf("e1"); len(got) != 1 || got[0] != grant || len(grantsOf("e2")) != 0 {
		t.Errorf("received %v", got)
	}
	if held := b.request(now).Grants; held != 7 {
		t.Errorf("holds revision %d", held)
	}
	requestedAt := now
	now = now.Add(400 * time.Millisecond)
	b.apply(&WatchAnswer{Term: 4, GrantsRevision: 7}, requestedAt, now)
	if got := grantsOf("e1"); len(got) != 1 {
		t.Error("unchanged grants were dropped")
	}
	answer := &WatchAnswer{}
	b.addGrants(entryPeer("e1"), nil, answer, now)
	if answer.GrantsAge != 400*time.Millisecond {
		t.Errorf("confirmed %v ago", answer.GrantsAge)
	}
	b.apply(&WatchAnswer{Term: 4}, now, now)
	now = now.Add(warmup.Validity)
	if grantsOf("e1") != nil {
		t.Error("grants were sent that the leader had not confirmed for a second")
	}
	b.apply(&WatchAnswer{Term: 5, GrantsRevision: 7, Grants: []warmup.Grant{{Upstream: "u", Host: "e2", Requests: 2}}}, now, now)
	if grantsOf("e1") != nil || len(grantsOf("e2")) != 1 {
		t.Error("grants of the previous leader were sent")
	}
}
