package gateway

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/roster"
)

// Guards against fetches of large parts that stand behind others on the links of runners, which are
// slower than those of stores, while other links are idle: at most six tenths of the prompts that
// are late without are late, of long and of short ones.
func TestFetchesFindIdleLinks(t *testing.T) {
	t.Parallel()
	shape := smallFleet()
	shape.entries, shape.runners, shape.slots, shape.memory, shape.prefillPerMs = 24, 24, 16, 77536, 40
	shape.fastStores, shape.slowStores, shape.slowStoreTokens = 3, 6, 700000
	shape.runnerMbps, shape.tokenBytes = 30000, 40960
	shape.longParts, shape.longPerS, shape.shortPerS, shape.length = 240, 20, 60, 4*time.Second
	shape.answerInterval, shape.answerLag = 50*time.Millisecond, 30*time.Millisecond
	shape.shareParts, shape.stored = true, true
	late := map[string]*[2]int{"long": {}, "short": {}}
	for seed := range uint64(4) {
		for i, links := range []bool{false, true} {
			shape.seed, shape.runnerLinks = seed, links
			got := runFleet(t, shape)
			for kind, counts := range late {
				counts[i] += got.sent[kind] - got.inTime[kind]
			}
		}
	}
	for kind, counts := range late {
		t.Logf("%s: %d late without, %d with", kind, counts[0], counts[1])
		if 10*counts[1] > 6*counts[0] {
			t.Errorf("%d %s prompts are late, %d without", counts[1], kind, counts[0])
		}
	}
}

// linkGateway returns an entry that accounts for the links of runners, which carry 1,000 tokens in
// about 3 ms and are slower than the second store.
func linkGateway(t *testing.T, script func(n int, s *Send) (*Answer, error)) (*Gateway, *scriptedSender) {
	t.Helper()
	g, sender := sharingGateway(t, 0, script)
	g.state.runnerLinks = true
	answer := testAnswer()
	answer.Document.Version += 2
	for i := range answer.Document.Services {
		if engine := answer.Document.Services[i].Engine; engine != nil {
			engine.LinkMbps = 50000
		}
	}
	answer.Document.Services = append(answer.Document.Services,
		catalog.Service{Name: "store2", Store: &catalog.Store{Address: "store:2", CapacityTokens: 1000000, LinkMbps: 83000, Managed: true}})
	answer.Inventories, answer.Roster = nil, nil
	g.ApplyAnswer(answer, time.Now())
	return g, sender
}

// linkLoads returns the tokens that an entry reports for the links of runners.
func linkLoads(g *Gateway) (tokens int) {
	addresses := make(map[string]bool)
	for _, u := range g.state.upstreams {
		addresses[u.record.Address] = true
	}
	for _, load := range g.NextRequest().Loads {
		if addresses[load.Upstream] {
			tokens += load.Unread
		}
	}
	return tokens
}

// Guards against links that stay occupied when a runner is lost during a fetch, or never confirms a
// save: runners that hold nothing would get no more fetches.
func TestLinksAreFreeAfterFailures(t *testing.T) {
	for name, c := range map[string]struct {
		part string
		lost bool
	}{
		"lost during a fetch": {keptPart.Part, true},
		"fetched":             {keptPart.Part, false},
		"save not confirmed":  {"new", false},
	} {
		synctest.Test(t, func(t *testing.T) {
			var g *Gateway
			during := 0
			g, sender := linkGateway(t, func(int, *Send) (*Answer, error) {
				during = linkLoads(g)
				if c.lost {
					return nil, connectionLost()
				}
				return stream(io.EOF, "1"), nil
			})
			lastSend(g, sender, c.part)
			fetches := c.part == keptPart.Part
			if fetches != (during > 0) {
				t.Errorf("%s: %d tokens are reported during the send", name, during)
			}
			if after := linkLoads(g); (after == 0) != fetches {
				t.Errorf("%s: %d tokens are reported after the answer", name, after)
			}
			time.Sleep(time.Second)
			if after := linkLoads(g); after > 0 {
				t.Errorf("%s: %d tokens are reported a second later", name, after)
			}
		})
	}
}

// Guards against loads of links that control hosts or other entries invent or no longer report: a
// runner isn't avoided for a link that was occupied once.
func TestReportedLinksDecideWhileTheyAreReported(t *testing.T) {
	g, sender := linkGateway(t, serves)
	lastSend(g, sender, keptPart.Part)
	chosen := sender.sends[0].Upstream
	report := func(loads ...steward.Load) {
		g.ApplyAnswer(&steward.WatchAnswer{Term: 1, EntryCount: 2, Clock: 1000, StoreStates: testAnswer().StoreStates, Loads: loads}, time.Now())
	}
	g.state.mu.Lock()
	g.state.recent = newRecentParts()
	address := g.state.upstreams[chosen].record.Address
	g.state.mu.Unlock()
	report(steward.Load{Upstream: address, Unread: 1 << 40})
	lastSend(g, sender, keptPart.Part)
	if sender.sends[1].Upstream == chosen {
		t.Errorf("%s gets a fetch behind 2^40 tokens", chosen)
	}
	g.state.mu.Lock()
	g.state.recent = newRecentParts()
	g.state.mu.Unlock()
	report()
	lastSend(g, sender, keptPart.Part)
	if to := sender.sends[2].Upstream; to != chosen {
		t.Errorf("%s is chosen, %s whose link is free again is the home", to, chosen)
	}
}

// Guards against an entry that starts, or whose runner has been restarted, and takes the links that the
// other entries fill for idle until it has used them itself.
func TestReportedLinksCountBeforeTheFirstSend(t *testing.T) {
	first, sender := linkGateway(t, serves)
	lastSend(first, sender, keptPart.Part)
	home := sender.sends[0].Upstream
	g, sender := linkGateway(t, serves)
	g.state.mu.Lock()
	address := g.state.upstreams[home].record.Address
	g.state.mu.Unlock()
	g.ApplyAnswer(&steward.WatchAnswer{Term: 1, EntryCount: 2, Clock: 1000, StoreStates: testAnswer().StoreStates,
		Loads: []steward.Load{{Upstream: address, Unread: 1 << 40}, {Upstream: "10.9.9.9:1", Unread: 1}}}, time.Now())
	lastSend(g, sender, keptPart.Part)
	if got := sender.sends[0].Upstream; got == home {
		t.Errorf("%s gets a fetch behind 2^40 tokens", got)
	}
	if g.state.stores["10.9.9.9:1"] != nil {
		t.Error("the link of an unknown address is kept")
	}
}

// Guards against memory that grows with each address at which a runner has ever served.
func TestLinksOfRunnersThatAreGoneAreDropped(t *testing.T) {
	g, sender := linkGateway(t, serves)
	lastSend(g, sender, keptPart.Part)
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreams[sender.sends[0].Upstream]
	before := len(s.stores)
	for i := range 100 {
		record := u.record
		record.StartedMs, record.Address = record.StartedMs+uint64(i)+1, fmt.Sprintf("10.0.0.%d:1", i)
		s.applyUpstream(record)
		s.store(record.Address)
	}
	gone := u.record
	gone.State = roster.Gone
	s.applyUpstream(gone)
	if len(s.stores) >= before {
		t.Errorf("%d links and stores are kept after the runner has gone, %d before", len(s.stores), before)
	}
}
