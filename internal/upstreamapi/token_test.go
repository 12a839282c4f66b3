package upstreamapi

import (
	"encoding/json"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
)

var testID = ident.Request{0xab, 1}

func TestTokenCodec(t *testing.T) {
	codec := NewTokenCodec(testID, 3)
	for _, text := range []string{"", " word", `quote " and \`, "line\n", "snow ☃", "\xff", "<b>"} {
		data := codec.Append(nil, 12, text)
		var chunk CompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			t.Fatalf("%q: %v", data, err)
		}
		if chunk.ID != testID || chunk.Attempt != 3 || chunk.Choices[0].TokenIndex != 12 {
			t.Errorf("%q: %+v", text, chunk)
		}
		if index, parsed, ok := codec.Parse(data); ok && (index != 12 || parsed != text) {
			t.Errorf("%q parsed as %d %q", data, index, parsed)
		}
	}
	if _, _, ok := codec.Parse(NewTokenCodec(testID, 4).Append(nil, 0, "x")); ok {
		t.Error("a token event of another attempt was accepted")
	}
}

// The fast path must decode a token event exactly as the general JSON decoder does, and
// reject all events that it can't decode with certainty.
func FuzzTokenCodec(f *testing.F) {
	codec := NewTokenCodec(testID, 3)
	f.Add(codec.Append(nil, 0, " word"))
	f.Add(codec.Append(nil, 123456789, `a"}]}`))
	f.Add([]byte(string(codec.head) + `00,"text":"x"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		index, text, ok := codec.Parse(data)
		if !ok {
			return
		}
		var chunk CompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			t.Fatalf("accepted %q, which is not JSON: %v", data, err)
		}
		want := CompletionChunk{ID: testID, Attempt: 3}
		if chunk.ID != want.ID || chunk.Attempt != want.Attempt || len(chunk.Choices) != 1 || chunk.Error != nil || chunk.Usage != nil {
			t.Fatalf("accepted %q as a token event", data)
		}
		if got := (Choice{TokenIndex: index, Text: text}); chunk.Choices[0] != got {
			t.Fatalf("%q decoded as %+v, general JSON gives %+v", data, got, chunk.Choices[0])
		}
	})
}
