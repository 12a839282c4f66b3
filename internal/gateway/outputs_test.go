package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/placement"
)

// countedBody yields events and records the tokens that its upstream counts as in use before each.
type countedBody struct {
	g        *Gateway
	upstream string
	left     int
	tokens   []int
}

func (b *countedBody) Next() (Piece, error) {
	b.g.state.mu.Lock()
	b.tokens = append(b.tokens, b.g.state.upstreams[b.upstream].own.Tokens)
	b.g.state.mu.Unlock()
	if b.left--; b.left < 0 {
		return Piece{}, io.EOF
	}
	id := fmt.Sprint(len(b.tokens))
	return Piece{Data: []byte("id: " + id + "\n\n"), ID: id}, nil
}

func (b *countedBody) Close() {}

// hinted serves a prompt of 100 tokens and up to 50 of output, with a hint and a number of events, and
// returns the tokens that counted.
func hinted(t *testing.T, g *Gateway, sender *scriptedSender, key string, hint, events int) []int {
	t.Helper()
	body := &countedBody{g: g, left: events}
	sender.script = func(_ int, s *Send) (*Answer, error) {
		body.upstream = s.Upstream
		a := stream(io.EOF)
		a.Body = body
		return a, nil
	}
	r := request("/stream/x")
	r.Key = key
	r.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
	r.Prompt.Output, r.Prompt.OutputHint = 50, hint
	if rec := serve(g, r); rec.end != "done" {
		t.Fatalf("ends %q: %v", rec.end, rec.cause)
	}
	return body.tokens
}

// Guards against callers whose hints are far too low: their answers count as they grow, and their
// team's next prompts for more from the start, while another team's hints count as they are.
func TestOutputBeyondHintIsAccounted(t *testing.T) {
	g, sender := testGateway(t, nil)
	g.options.Load.UnevenUpstreams = true
	tokens := hinted(t, g, sender, "k", 4, 40)
	if first, last := tokens[0], tokens[len(tokens)-1]; first != 104 || last != 150 {
		t.Errorf("%d tokens count at first and %d at last, want 104 and 150", first, last)
	}
	for made, counted := range tokens {
		if counted-100 < min(made-1, 50) {
			t.Errorf("%d tokens count after %d events", counted, made)
		}
	}
	for range 20 {
		hinted(t, g, sender, "k", 4, 40)
	}
	if again := hinted(t, g, sender, "k", 4, 40)[0]; again < 130 {
		t.Errorf("the team's next prompt counts for %d tokens, want about 140", again)
	}
	if other := hinted(t, g, sender, "kb", 4, 3)[0]; other != 104 {
		t.Errorf("another team's prompt counts for %d tokens, want 104", other)
	}
	for id, u := range g.state.upstreams {
		if u.own.Tokens != 0 {
			t.Errorf("%d tokens still count at %s", u.own.Tokens, id)
		}
	}
}

// Guards against hints that can't be true: none counts for more than the maximum, or for less than
// one token.
func TestWildHintsCountWithinMaximum(t *testing.T) {
	g, sender := testGateway(t, nil)
	g.options.Load.UnevenUpstreams = true
	for hint, want := range map[int]int{0: 150, -3: 150, 50: 150, 1 << 40: 150, 1: 101} {
		if got := hinted(t, g, sender, "k", hint, 1)[0]; got != want {
			t.Errorf("a hint of %d counts for %d tokens, want %d", hint, got, want)
		}
	}
	g.options.Load.UnevenUpstreams = false
	if got := hinted(t, g, sender, "k", 4, 1)[0]; got != 150 {
		t.Errorf("without the option a hint counts for %d tokens, want the maximum", got)
	}
}

// Guards against teams without end that fill the memory with corrections of their hints.
func TestHintCorrectionsAreBounded(t *testing.T) {
	g, _ := testGateway(t, nil)
	g.options.Load.UnevenUpstreams = true
	r := testRun(t, g)
	r.sends = 1
	for i := range 3 * maxLearned {
		team := *r.team
		team.Name = fmt.Sprint("t", i)
		r.team = &team
		r.observeOutput(g.state, &plan{send: &Send{Prompt: &PromptSend{}}, events: 9, sent: time.Now()})
	}
	if n := len(g.state.hints); n == 0 || n > maxLearned {
		t.Errorf("corrections for %d teams, want at most %d", n, maxLearned)
	}
}

// testRun is a run with a prompt.
func testRun(t *testing.T, g *Gateway) *run {
	t.Helper()
	request := request("/stream/x")
	request.Prompt = prompt(placement.Part{ID: "p", Tokens: 100})
	request.Prompt.OutputHint = 4
	r, err := g.admit(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
