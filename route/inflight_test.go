package route

import (
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Several requests arrive within a second for one prompt that no upstream holds. The
// first fetches it. The others must find where it is going, wait for the import only
// while it lasts, and find nothing once the first has its answer.
func TestInFlight(t *testing.T) {
	f := NewInFlight()
	prompt := Prompt{1}
	first, second := ident.Request{1}, ident.Request{2}
	ready := start.Add(time.Second)
	f.Begin(prompt, first, PendingPrefix{Upstream: "a", Tokens: 5000, Ready: ready, Import: true})
	f.Begin(prompt, second, PendingPrefix{Upstream: "b", Tokens: 6000, Ready: ready})
	if got := f.Lookup(prompt); len(got) != 2 || got[0].Request() != first || !got[0].Import {
		t.Fatalf("in flight: %+v", got)
	}
	f.ImportDone(prompt, first)
	if f.Lookup(prompt)[0].Import {
		t.Error("an import that has ended is still marked as pending")
	}
	f.End(prompt, first)
	f.End(prompt, first)
	if got := f.Lookup(prompt); len(got) != 1 || got[0].Request() != second {
		t.Errorf("after the end of the first request: %+v", got)
	}
	f.End(prompt, second)
	if len(f.prompts) != 0 {
		t.Error("a prompt is tracked after its last request ended")
	}
}

func TestInFlightIsBounded(t *testing.T) {
	f := NewInFlight()
	for i := range 2 * MaxInFlightPrompts {
		f.Begin(Prompt{byte(i), byte(i >> 8), byte(i >> 16)}, ident.Request{}, PendingPrefix{})
	}
	if len(f.prompts) != MaxInFlightPrompts {
		t.Errorf("%d prompts are tracked", len(f.prompts))
	}
	for range 10 {
		f.Begin(Prompt{}, ident.Request{}, PendingPrefix{})
	}
	if n := len(f.Lookup(Prompt{})); n > maxUpstreamsPerPrompt {
		t.Errorf("%d upstreams are tracked for one prompt", n)
	}
}
