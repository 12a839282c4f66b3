package gateway

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

// Guards against a request that is sent on by an entry that leaves, and cut when its process ends.
func TestLeavingEntryRefusesWhatMayOutlastIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
		g.Leave(time.Now().Add(4 * time.Second))
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
			// The limit of these requests is 4 s.
			if rec := serve(g, request(path)); rec.cause != nil {
				t.Errorf("%s: refused with %v though it ends in time", path, rec.cause)
			}
		}
		sent := len(sender.sends)
		time.Sleep(time.Millisecond)
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
			rec := serve(g, request(path))
			var refused *outcome.NotRun
			if !errors.As(rec.cause, &refused) || refused.Reason != outcome.ReasonDraining || len(sender.sends) != sent {
				t.Errorf("%s: %v, %d sends", path, rec.cause, len(sender.sends)-sent)
			}
		}
		// A body that came slowly counts from the beginning of its request.
		slow := request("/unsafe/x")
		slow.Arrived = time.Now().Add(-time.Millisecond)
		if rec := serve(g, slow); rec.cause != nil {
			t.Errorf("refused with %v though it ends in time", rec.cause)
		}
	})
}
