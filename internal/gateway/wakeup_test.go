package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/ratelimit"
	"github.com/lovagereach/lovagereach/warmup"
)

// Guards against a request that waits beyond the time at which an upstream may be sent requests
// again, because nothing else happens at this entry.
func TestWaitingRequestsGoOnWhenAnUpstreamIsDue(t *testing.T) {
	for name, tc := range map[string]struct {
		// block keeps all upstreams from being sent requests for wait from the start on.
		block func(g *Gateway, u *upstreamState, start time.Time)
		wait  time.Duration
	}{
		"back-off": {func(_ *Gateway, u *upstreamState, start time.Time) {
			u.backOffUntil = start.Add(200 * time.Millisecond)
		}, 200 * time.Millisecond},
		"pause": {func(_ *Gateway, u *upstreamState, start time.Time) { u.pausedUntil = start.Add(200 * time.Millisecond) }, 200 * time.Millisecond},
		"share": {func(g *Gateway, u *upstreamState, start time.Time) {
			g.state.limits.Record(u.record.ID, u.record.StartedMs, ratelimit.Limit{Limited: true, PerSecond: 8}, start, start)
			g.state.limits.SetShares([]ratelimit.Share{{Upstream: "a1", PerSecond: 8}, {Upstream: "a2", PerSecond: 5}, {Upstream: "a3", PerSecond: 5}}, start, start)
		}, 125 * time.Millisecond},
		"grant": {func(g *Gateway, u *upstreamState, start time.Time) {
			u.coldUntil = start.Add(time.Hour)
			g.state.index.Service(u.record.Service).ColdPerS = 4
			g.state.allowance.SetGrants([]warmup.Grant{{Upstream: u.record.ID, Requests: 1}}, start)
			g.state.allowance.RecordSent(u.record.ID, start.Add(200*time.Millisecond-warmup.Window))
		}, 200 * time.Millisecond},
		"probe": {func(g *Gateway, u *upstreamState, start time.Time) {
			g.state.index.Service(u.record.Service).ColdPerS = 4
			u.nextProbe = start.Add(200 * time.Millisecond)
		}, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, sender := testGateway(t, func(int, *Send) (*Answer, error) { return status(200), nil })
				time.Sleep(2 * warmup.Window)
				start := time.Now()
				for _, id := range []string{"a1", "a2", "a3"} {
					tc.block(g, g.state.upstreams[id], start)
				}
				serve(g, request("/safe/x"))
				if took := time.Since(start); sender.count() != 1 || took < tc.wait || took > tc.wait+20*time.Millisecond {
					t.Errorf("%d sends, answered after %v, an upstream is due after %v", sender.count(), took, tc.wait)
				}
			})
		})
	}
}
