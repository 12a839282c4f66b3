package protocol

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// What an entry and its leader say to each other while nothing changes must
// stay tens of bytes: at 670 entries it is nearly all that they say.
func TestHeartbeatsAreSmall(t *testing.T) {
	const maxBytes = 48
	const late = 1 << 40
	members := member.Version{Epoch: late, Sequence: late}
	cases := map[string]any{
		"renewal":        RenewRequest{Number: late, Acked: late, Session: 9, State: member.StateAlive, Members: members},
		"renewal answer": RenewAnswer{Renewed: &relay.Renewed{Number: late, Verdict: member.VerdictAccepted, Term: 3 * time.Second}},
		"watch":          WatchRequest{HeldRevision: late, WaitMillis: 10_000},
		"idle answer":    WatchAnswer{},
	}
	for name, message := range cases {
		size := len(wire.MustMarshal(message))
		t.Logf("%s: %d bytes", name, size)
		if size > maxBytes {
			t.Errorf("%s takes %d bytes", name, size)
		}
	}
}
