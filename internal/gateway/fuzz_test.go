package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/evacuation"
	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/placement"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/ratelimit"
	"github.com/lovagereach/lovagereach/roster"
	"github.com/lovagereach/lovagereach/warmup"
)

// fullAnswer is an answer with a value in most fields.
func fullAnswer() *steward.WatchAnswer {
	answer := testAnswer()
	answer.Weights = &steward.WeightsView{Revision: 3, Newest: []roster.Loaded{{Model: "m", Version: 3}}, Ages: []time.Duration{time.Second}}
	answer.MinVersions, answer.MinAges = []roster.Loaded{{Model: "m", Version: 2}}, []time.Duration{time.Minute}
	answer.Silent, answer.SilentRevision, answer.Loading = []string{"l2"}, 1, []string{"l1"}
	answer.Loads = []steward.Load{{Upstream: "l1", Requests: 3, Tokens: 900, Unread: 400}, {Upstream: "store:1", Unread: 7}}
	answer.Clock, answer.EntryCount, answer.ActiveEntries = 100_000, 3, 2
	answer.Quarantine = &steward.QuarantineView{Revision: 2, Quarantined: []quarantine.Fingerprint{{1}}, Parts: []steward.PartView{{Part: quarantine.Fingerprint{2}, DueMs: 5}}}
	answer.Evacuation = &evacuation.View{Revision: 1, DataCentres: []string{"south"}}
	answer.Grants, answer.GrantsRevision = []warmup.Grant{{}}, 1
	answer.Limits, answer.LimitsRevision = []ratelimit.Observation{{Upstream: "l1", Limit: ratelimit.Limit{Limited: true, PerSecond: 5}}}, 1
	answer.Shares = []ratelimit.Share{{Upstream: "l1", Host: "e1", PerSecond: 2}}
	answer.Peers = []steward.PeerView{{Host: "e2", DataCentre: "north", Callers: "10.0.0.2:80"}}
	answer.Addresses, answer.AddressesRevision = []string{"10.0.0.1:80"}, 1
	answer.Learned, answer.LearnedRevision = []byte("x"), 1
	return answer
}

// Guards against an answer of a control host of another release, with fields missing or values that can't be, that
// ends the entry.
func FuzzApplyAnswer(f *testing.F) {
	f.Add(wire.MustMarshal(testAnswer()), wire.MustMarshal(fullAnswer()))
	f.Add(wire.MustMarshal(fullAnswer()), wire.MustMarshal(&steward.WatchAnswer{}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return stream(io.EOF, "1"), nil })
		for _, body := range [][]byte{first, second} {
			var answer steward.WatchAnswer
			if wire.Unmarshal(body, &answer) != nil || answer.Document != nil && answer.Document.Validate() != nil {
				continue
			}
			g.ApplyAnswer(&answer, time.Now())
			r := request("/resume/x")
			r.Prompt, r.Wait = prompt(placement.Part{ID: keptPart.Part, Tokens: 9000}, placement.Part{ID: "q", Tokens: 100}), time.Millisecond
			serve(g, r)
			g.NextRequest()
		}
	})
}
