package gateway

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/placement"
)

// Guards against a request that waited while its team, or another one, was isolated, and is then sent to
// the kept parts that the teams shared before.
func TestWaitingRequestFollowsIsolation(t *testing.T) {
	for _, c := range []struct {
		name string
		next []catalog.Team
		want map[string]string
	}{
		{"growers are isolated", []catalog.Team{{Name: "growers", Keys: []string{"k"}, Isolated: true}, {Name: "florists", Keys: []string{"kf"}}},
			map[string]string{"k": "m.1/growers", "kf": "m.1:9"}},
		{"the bank is released", []catalog.Team{{Name: "growers", Keys: []string{"k"}}, {Name: "florists", Keys: []string{"kf"}}, {Name: "bank", Keys: []string{"kb"}}},
			map[string]string{"k": "m.1", "kf": "m.1", "kb": "m.1"}},
		{"florists are removed", []catalog.Team{{Name: "growers", Keys: []string{"k"}}},
			map[string]string{"k": "m.1", "kf": "m.1/florists"}},
	} {
		g, _ := testGateway(t, nil)
		before := testDocument()
		before.Teams = append(before.Teams, catalog.Team{Name: "florists", Keys: []string{"kf"}})
		before.Version = 8
		before.Succeed(nil)
		answer := testAnswer()
		answer.Document = before
		g.ApplyAnswer(answer, time.Now())
		waiting := make(map[string]*run)
		for key := range c.want {
			r := request("/stream/x")
			r.Key, r.Prompt = key, prompt(placement.Part{ID: "shared", Tokens: 90}, placement.Part{ID: "own", Tokens: 5})
			admitted, err := g.admit(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			waiting[key] = admitted
		}
		after := *before
		after.Version, after.Teams = 9, c.next
		after.Succeed(before)
		answer = testAnswer()
		answer.Document = &after
		g.ApplyAnswer(answer, time.Now())
		for key, want := range c.want {
			p, err := waiting[key].tryPlan(time.Now())
			if err != nil || p == nil {
				t.Fatalf("%s: plan %v, %v", c.name, p, err)
			}
			if got := p.send.Prompt.Salt; got != want {
				t.Errorf("%s: the request with key %s that waited is sent with salt %q, want %q", c.name, key, got, want)
			}
		}
	}
}
