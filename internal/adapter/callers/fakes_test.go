package callers

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/prefix"
)

const goodToken = "florist-secret"

// fakeEntry answers each prompt with the given number of tokens, followed by err or the
// end of the answer.
type fakeEntry struct {
	mu       sync.Mutex
	tokens   int
	err      error
	refuse   error
	ready    error
	prompts  []entry.Prompt
	calls    []entry.ServiceCall
	closed   int
	endless  bool
	service  entry.ServiceAnswer
	snapshot *config.Snapshot
}

func newFakeEntry(t testing.TB) *fakeEntry {
	t.Helper()
	snapshot, err := config.NewSnapshot(1, config.Document{
		Classes: []config.Class{{Name: "clock", Kind: config.KindModel,
			FirstToken: config.Target{Within: config.Duration(time.Second)}, Deadline: config.Duration(time.Minute)}},
		Teams: []config.Team{{Name: "florists", Tokens: []config.TokenDigest{config.DigestToken(goodToken)}, Classes: []ident.Class{"clock"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fakeEntry{tokens: 2, snapshot: snapshot}
}

func (f *fakeEntry) Authorize(digest config.TokenDigest) (entry.Caller, error) {
	caller, ok := entry.NewCaller(f.snapshot, digest)
	if !ok {
		return caller, &outcome.NotRun{Reason: outcome.ReasonUnauthorized, Detail: "no team"}
	}
	return caller, nil
}

func (f *fakeEntry) Prompt(_ context.Context, prompt entry.Prompt) (entry.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prompts = append(f.prompts, prompt)
	if f.refuse != nil {
		return nil, f.refuse
	}
	return &fakeAnswer{entry: f, prompt: prompt}, nil
}

func (f *fakeEntry) Call(_ context.Context, call entry.ServiceCall) (entry.ServiceAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	return f.service, f.refuse
}

func (f *fakeEntry) Address(entry.Caller, string) (entry.AddressAnswer, error) {
	return entry.AddressAnswer{Address: "127.0.0.1:1", Keep: 2 * time.Second}, nil
}

func (f *fakeEntry) Ready() error { return f.ready }

type fakeAnswer struct {
	entry  *fakeEntry
	prompt entry.Prompt
	next   int
}

func (a *fakeAnswer) Next() (entry.Token, error) {
	if !a.entry.endless && a.next == a.entry.tokens {
		if a.entry.err != nil {
			return entry.Token{}, a.entry.err
		}
		return entry.Token{Index: a.next, Done: true, FinishReason: "stop"}, nil
	}
	text := fmt.Sprintf("é\"%d", a.next)
	if a.entry.endless {
		text = strings.Repeat("x", 4096)
	}
	a.next++
	return entry.Token{Index: a.next - 1, Text: text}, nil
}

func (a *fakeAnswer) Provenance() entry.Provenance {
	return entry.Provenance{
		Request: a.prompt.Request, Outcome: outcome.KindDone, Class: "clock", Upstream: "runner-1", Version: "v1",
		PromptTokens: len(a.prompt.Tokens), ReusedTokens: 1000, OutputTokens: a.next,
		KeptPrompt: prefix.BlockID{1}, KeptFrom: entry.KeptInStore,
	}
}

func (a *fakeAnswer) Close() {
	a.entry.mu.Lock()
	defer a.entry.mu.Unlock()
	a.entry.closed++
}

func newHandler(t testing.TB, service entry.Service, options Options) *Handler {
	t.Helper()
	h, err := New(service, options, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// request is a caller's request. The zero value of method and token is a valid one.
type request struct {
	method, path, body string
	token              string
	header             map[string]string
	length             int64
}

func (r request) do(h http.Handler) *httptest.ResponseRecorder {
	method := r.method
	if method == "" {
		method = http.MethodPost
	}
	req := httptest.NewRequest(method, r.path, strings.NewReader(r.body))
	if r.length != 0 {
		req.ContentLength = r.length
	}
	token := r.token
	if token == "" {
		token = "Bearer " + goodToken
	}
	req.Header.Set("Authorization", token)
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, req)
	return recorder
}

const goodBody = `{"model":"m:clock-tuned","prompt":"lot 7","max_tokens":4,"seed":9}`
