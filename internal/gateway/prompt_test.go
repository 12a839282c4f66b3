package gateway

import (
	"fmt"
	"testing"

	"github.com/lovagereach/lovagereach/placement"
)

// Guards against prompts of very many parts, each of which costs work at each choice of an upstream.
func TestPartsOfAPromptAreBounded(t *testing.T) {
	p := &Prompt{}
	for i := range 10 * MaxParts {
		p.Append(placement.Part{ID: fmt.Sprint(i), Tokens: 2})
	}
	last := p.Parts[len(p.Parts)-1]
	if len(p.Parts) != MaxParts || p.Merged != 9*MaxParts || last.ID != fmt.Sprint(10*MaxParts-1) {
		t.Errorf("%d parts, %d merged, the last is %s", len(p.Parts), p.Merged, last.ID)
	}
	if p.size() != 20*MaxParts {
		t.Errorf("a prompt of %d tokens has %d", 20*MaxParts, p.size())
	}
}

// Guards against sizes that overflow when they are added up.
func TestSizesOfPartsAreBounded(t *testing.T) {
	p := &Prompt{}
	for range 10 * MaxParts {
		p.Append(placement.Part{ID: "1", Tokens: 1 << 62})
	}
	if p.size() <= 0 {
		t.Errorf("a size of %d tokens", p.size())
	}
}
