package entry

import (
	"errors"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/outcome"
)

// An entry that has restarted may receive a valid token before it has reached
// any control host. If it answered "unauthorized", the caller would give up
// permanently. It must report not-run and name another entry; only a serving
// entry can know that a token is invalid.
func TestUnknownTokenIsUnauthorizedOnlyWithLease(t *testing.T) {
	none, err := config.NewSnapshot(0, config.Document{})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name    string
		serving bool
		empty   bool
		reason  outcome.Reason
	}{
		{"serving", true, false, outcome.ReasonUnauthorized},
		{"no lease", false, false, outcome.ReasonNoServingLease},
		{"no configuration", true, true, outcome.ReasonNoServingLease},
		{"restarted", false, true, outcome.ReasonNoServingLease},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestEntry(t)
			b.control.serving = c.serving
			b.control.peers = []Peer{{Host: "entry-2", Callers: "127.0.0.1:8002"}}
			if c.empty {
				b.control.snapshot = none
			}
			_, err := b.Authorize(config.DigestToken("nobody's"))
			var refused *outcome.NotRun
			if !errors.As(err, &refused) || refused.Reason != c.reason {
				t.Fatalf("got %v, want %s", err, c.reason)
			}
			if c.reason != outcome.ReasonNoServingLease {
				return
			}
			if refused.RetryAfter <= 0 || !strings.Contains(refused.Detail, "127.0.0.1:8002") || b.Ready() == nil {
				t.Errorf("got %+v, ready %v; want a time to retry, another entry and not ready", refused, b.Ready())
			}
		})
	}
}
