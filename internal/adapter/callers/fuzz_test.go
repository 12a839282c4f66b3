package callers

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"testing"
)

func FuzzDecodeText(f *testing.F) {
	f.Add([]byte(goodBody))
	f.Add([]byte(`{"model":"m","prompt":[1,2,3]}`))
	f.Fuzz(func(t *testing.T, body []byte) { checkDecoded(t, body, decodeText) })
}

// FuzzParseTokens compares parseTokens with encoding/json.
func FuzzParseTokens(f *testing.F) {
	f.Add([]byte(`[1, 2,4294967295]`))
	f.Add([]byte(`[01,1.5,-2,4294967296,null,[1]]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) == 0 || raw[0] != '[' || raw[len(raw)-1] != ']' || !json.Valid(raw) {
			return
		}
		got, err := parseTokens(raw, 1<<20)
		var want []uint32
		wantErr := json.Unmarshal(raw, &want)
		if bytes.Contains(raw, []byte("null")) {
			wantErr = errors.New("encoding/json ignores null")
		}
		if len(want) == 0 && wantErr == nil {
			wantErr = errors.New("no tokens")
		}
		if (err == nil) != (wantErr == nil) || err == nil && !slices.Equal(got, want) {
			t.Fatalf("got %v, %v; want %v, %v", got, err, want, wantErr)
		}
	})
}

func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) { checkDecoded(t, body, decodeChat) })
}

func checkDecoded(t *testing.T, body []byte, decode func([]byte, limits) (decodedRequest, error)) {
	t.Helper()
	bound := limits{promptTokens: 32, answerTokens: 16}
	got, err := decode(body, bound)
	if err != nil {
		return
	}
	tokens := len(got.prompt.Tokens)
	if tokens == 0 || tokens > bound.promptTokens+1 || got.prompt.MaxTokens < 1 || got.prompt.MaxTokens > bound.answerTokens {
		t.Fatalf("accepted %d tokens and %d for the answer", tokens, got.prompt.MaxTokens)
	}
}
