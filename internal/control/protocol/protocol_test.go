package protocol

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// The messages between an entry and its leader while nothing changes must be
// small, at most 48 bytes: with 670 entries they are nearly all of the traffic.
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
