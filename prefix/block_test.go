package prefix

import (
	"encoding/json"
	"slices"
	"testing"
)

func testTokens(count int) []uint32 {
	tokens := make([]uint32, count)
	for i := range tokens {
		tokens[i] = uint32(i * 7)
	}
	return tokens
}

// Two prompts with the same tokens must not share a block unless everything that the
// block's content depends on is equal. With a shared identity, one team could use
// another team's prompt, or one version the KV cache of another.
func TestChainSeparatesScopes(t *testing.T) {
	base := Scope{Team: "ab", Model: "c", Version: "d", Adapter: "e"}
	tokens := testTokens(40)
	want := Chain(Key{1}, base, tokens, 10)
	if len(want) != 4 {
		t.Fatalf("%d blocks, want 4", len(want))
	}
	if !slices.Equal(want, Chain(Key{1}, base, testTokens(49), 10)) {
		t.Error("a partial last block changes the identities of the others")
	}
	cases := map[string][]BlockID{
		"other key":                Chain(Key{2}, base, tokens, 10),
		"other team":               Chain(Key{1}, Scope{"x", "c", "d", "e"}, tokens, 10),
		"other model":              Chain(Key{1}, Scope{"ab", "x", "d", "e"}, tokens, 10),
		"other version":            Chain(Key{1}, Scope{"ab", "c", "x", "e"}, tokens, 10),
		"other adapter":            Chain(Key{1}, Scope{"ab", "c", "d", "x"}, tokens, 10),
		"no adapter":               Chain(Key{1}, Scope{"ab", "c", "d", ""}, tokens, 10),
		"letter moved to model":    Chain(Key{1}, Scope{"a", "bc", "d", "e"}, tokens, 10),
		"version and adapter swap": Chain(Key{1}, Scope{"ab", "c", "e", "d"}, tokens, 10),
		"other block size":         Chain(Key{1}, base, tokens, 20),
	}
	for name, blocks := range cases {
		for i, block := range blocks {
			if slices.Contains(want, block) {
				t.Errorf("%s: block %d has the same identity", name, i)
			}
		}
	}
}

// A change of one token must change the identities of its block and of all blocks
// after it, because their content depends on it.
func TestChainDependsOnAllTokensBefore(t *testing.T) {
	scope := Scope{Team: "a", Model: "m", Version: "v"}
	before := Chain(Key{}, scope, testTokens(50), 10)
	changed := testTokens(50)
	changed[25]++
	after := Chain(Key{}, scope, changed, 10)
	for i := range before {
		if same := before[i] == after[i]; same != (i < 2) {
			t.Errorf("block %d: same identity %v", i, same)
		}
	}
}

func TestBlockIDText(t *testing.T) {
	id := Chain(Key{}, Scope{}, testTokens(10), 10)[0]
	text, err := json.Marshal(id)
	if err != nil {
		t.Fatal(err)
	}
	var got BlockID
	if err := json.Unmarshal(text, &got); err != nil || got != id {
		t.Fatalf("decoded %v from %s: %v", got, text, err)
	}
	for _, bad := range []string{"", "00", id.String() + "00", "zz" + id.String()[2:]} {
		if _, err := ParseBlockID(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func BenchmarkChain(b *testing.B) {
	tokens := testTokens(30_000)
	scope := Scope{Team: "a", Model: "m", Version: "v"}
	b.SetBytes(int64(4 * len(tokens)))
	b.ReportAllocs()
	for b.Loop() {
		Chain(Key{1}, scope, tokens, DefaultBlockTokens)
	}
}
