package audited

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/outcome"
)

var testNow = time.Unix(1_764_700_000, 0)

// fakeEntry answers prompts with tokens or an error, and service calls with a body.
type fakeEntry struct {
	entry.Service
	err    error
	tokens []entry.Token
	broken error
}

func (f *fakeEntry) Prompt(context.Context, entry.Prompt) (entry.Answer, error) {
	return &fakeAnswer{f}, f.err
}

func (f *fakeEntry) Call(context.Context, entry.ServiceCall) (entry.ServiceAnswer, error) {
	body := io.Reader(strings.NewReader("ok"))
	if f.broken != nil {
		body = io.MultiReader(body, brokenReader{f.broken})
	}
	return entry.ServiceAnswer{Body: io.NopCloser(body), Provenance: entry.Provenance{Upstream: "u1"}}, f.err
}

type brokenReader struct{ err error }

func (b brokenReader) Read([]byte) (int, error) { return 0, b.err }

type fakeAnswer struct{ f *fakeEntry }

func (a *fakeAnswer) Next() (entry.Token, error) {
	if len(a.f.tokens) == 0 {
		return entry.Token{}, a.f.broken
	}
	token := a.f.tokens[0]
	a.f.tokens = a.f.tokens[1:]
	return token, nil
}

func (a *fakeAnswer) Provenance() entry.Provenance {
	return entry.Provenance{Upstream: "u1", Version: "v3", ReusedTokens: 7}
}

func (a *fakeAnswer) Close() {}

// fakeAuditor records the openings and closings that it receives.
type fakeAuditor struct {
	openErr error
	opened  []audit.Opening
	closed  []audit.Closing
}

func (f *fakeAuditor) Open(_ context.Context, o audit.Opening) error {
	f.opened = append(f.opened, o)
	return f.openErr
}

func (f *fakeAuditor) Close(_ ident.Request, c audit.Closing) { f.closed = append(f.closed, c) }

func testSnapshot(t *testing.T) *config.Snapshot {
	t.Helper()
	within := config.Target{Within: config.Duration(time.Second)}
	snapshot, err := config.NewSnapshot(1, config.Document{
		Classes: []config.Class{
			{Name: "plans", Kind: config.KindModel, FirstToken: within, Deadline: config.Duration(time.Minute), Audit: config.AuditFull},
			{Name: "calls", Kind: config.KindService, FirstToken: within, Deadline: config.Duration(time.Minute)},
		},
		Models:   []config.Model{{Name: "kwasi", Versions: []config.TargetVersion{{Version: "v3"}}}},
		Services: []config.Service{{Name: "dwene", Class: "calls"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// A request may end in several ways. Its audit record must be closed exactly once, with
// the outcome that the caller got. A request that can't be opened in the audit must not
// reach the entry.
func TestEveryOutcomeIsClosedOnce(t *testing.T) {
	notRun := &outcome.NotRun{Reason: outcome.ReasonOverloaded}
	late := &outcome.NotRun{Reason: outcome.ReasonDeadline, Detail: "too late"}
	lost := &outcome.Unknown{Reason: outcome.ReasonStreamBroken}
	done := []entry.Token{{Text: "a"}, {Index: 1, Done: true}}
	cases := []struct {
		name    string
		entry   fakeEntry
		openErr error
		leave   bool
		closed  outcome.Kind
		reason  outcome.Reason
	}{
		{name: "complete", entry: fakeEntry{tokens: done}, closed: outcome.KindDone},
		{name: "refused", entry: fakeEntry{err: notRun}, closed: outcome.KindNotRun, reason: outcome.ReasonOverloaded},
		{name: "late", entry: fakeEntry{err: late}, closed: outcome.KindNotRun, reason: outcome.ReasonDeadline},
		{name: "broken", entry: fakeEntry{broken: lost}, closed: outcome.KindUnknown, reason: outcome.ReasonStreamBroken},
		{name: "caller left", entry: fakeEntry{tokens: done}, leave: true, closed: outcome.KindUnknown, reason: outcome.ReasonCallerGone},
		{name: "not opened", openErr: notRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, kind := range []string{"prompt", "call"} {
				auditor, fake := &fakeAuditor{openErr: c.openErr}, c.entry
				s := New(Options{
					Entry: &fake, Auditor: auditor, Host: "e1", Now: func() time.Time { return testNow },
					Snapshot: func() *config.Snapshot { return testSnapshot(t) },
					Team:     func(entry.Caller) ident.Team { return "ledger" },
				})
				err := runRequest(s, kind, c.leave)
				if c.openErr != nil && !errors.Is(err, c.openErr) {
					t.Errorf("%s: error %v", kind, err)
				}
				if decided := "decided at " + testNow.UTC().Format(time.RFC3339Nano); c.reason == outcome.ReasonDeadline && !strings.Contains(err.Error(), decided) {
					t.Errorf("%s: the refusal lacks its time: %v", kind, err)
				}
				if len(auditor.opened) != 1 {
					t.Fatalf("%s: opened %d times", kind, len(auditor.opened))
				}
				if c.openErr != nil {
					continue
				}
				if len(auditor.closed) != 1 || auditor.closed[0].Kind != c.closed || auditor.closed[0].Reason != c.reason {
					t.Errorf("%s: closed %+v", kind, auditor.closed)
				}
				o := auditor.opened[0]
				if full := o.Mode == audit.ModeFull; full != (kind == "prompt") || o.Batch != "night-1" || !o.Deadline.Equal(testNow.Add(time.Minute+grace)) {
					t.Errorf("%s: opening %+v", kind, o)
				}
			}
		})
	}
}

// An entry is partitioned from the control hosts and its serving lease has expired.
// Callers must be refused immediately; opening their requests in an unreachable trace
// would delay the refusal by seconds.
func TestNoOpeningWithoutServingLease(t *testing.T) {
	expired := &outcome.NotRun{Reason: outcome.ReasonNoServingLease}
	for _, kind := range []string{"prompt", "call"} {
		auditor := &fakeAuditor{}
		s := New(Options{
			Entry: &fakeEntry{}, Auditor: auditor, Now: func() time.Time { return testNow },
			MayServe: func() error { return expired },
			Snapshot: func() *config.Snapshot { return testSnapshot(t) },
			Team:     func(entry.Caller) ident.Team { return "ledger" },
		})
		if err := runRequest(s, kind, false); !errors.Is(err, expired) || len(auditor.opened) != 0 {
			t.Errorf("%s: %v, opened %d times", kind, err, len(auditor.opened))
		}
	}
}

// runRequest runs a request and reads its answer, only the first part of it if leave
// is set.
func runRequest(s *Service, kind string, leave bool) error {
	ctx := context.WithValue(context.Background(), batchItemKey{}, batchItem{batch: "night-1"})
	if kind == "call" {
		answer, err := s.Call(ctx, entry.ServiceCall{Service: "dwene"})
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		if !leave {
			_, err = io.Copy(io.Discard, answer.Body)
		}
		return err
	}
	answer, err := s.Prompt(ctx, entry.Prompt{Class: "plans"})
	if err != nil {
		return err
	}
	defer answer.Close()
	for {
		token, err := answer.Next()
		if err != nil || token.Done || leave {
			return err
		}
	}
}

// fakeBatches returns one batch or an error.
type fakeBatches struct {
	err      error
	declared audit.Declaration
	asked    audit.Query
}

func (f *fakeBatches) Declare(_ context.Context, d audit.Declaration) error {
	f.declared = d
	return f.err
}

func (f *fakeBatches) Audit(_ context.Context, q audit.Query) (audit.Result, error) {
	f.asked = q
	if q.Batch != "night-1" {
		return audit.Result{}, f.err
	}
	return audit.Result{Batches: []audit.BatchStatus{{State: audit.BatchOpen}}}, f.err
}

func (f *fakeEntry) Authorize(digest config.TokenDigest) (entry.Caller, error) {
	if digest != config.DigestToken("ledger-token") {
		return entry.Caller{}, &outcome.NotRun{Reason: outcome.ReasonUnauthorized}
	}
	return entry.Caller{}, nil
}

// Callers declare batches and assign requests to them, some incorrectly. A declaration
// that is malformed, too large, unauthorized or not committed must be refused with the
// corresponding status; accepted by mistake, it would be reported as incomplete.
func TestHandler(t *testing.T) {
	const good = `{"expected":3,"deadline":"2026-01-01T00:00:00Z"}`
	down := errors.New("down")
	token := map[string]string{"Authorization": "Bearer ledger-token"}
	cases := []struct {
		method, path, body string
		header             map[string]string
		err                error
		status             int
	}{
		{"PUT", "/v1/batches/night-1", good, token, nil, http.StatusOK},
		{"PUT", "/v1/batches/night-1", good, token, down, http.StatusServiceUnavailable},
		{"PUT", "/v1/batches/night-1", `{"expected":0}`, token, nil, http.StatusBadRequest},
		{"PUT", "/v1/batches/night-1", `{"expcted":1}`, token, nil, http.StatusBadRequest},
		{"PUT", "/v1/batches/night-1", good + "{}", token, nil, http.StatusBadRequest},
		{"PUT", "/v1/batches/night-1", strings.Repeat(" ", maxBatchBody) + good, token, nil, http.StatusBadRequest},
		{"PUT", "/v1/batches/" + strings.Repeat("x", 200), good, token, nil, http.StatusBadRequest},
		{"PUT", "/v1/batches/night-1", good, nil, nil, http.StatusUnauthorized},
		{"PUT", "/v1/batches/night-1", good, map[string]string{"Authorization": "Bearer other"}, nil, http.StatusUnauthorized},
		{"GET", "/v1/batches/night-1", "", token, nil, http.StatusOK},
		{"GET", "/v1/batches/night-2", "", token, nil, http.StatusNotFound},
		{"GET", "/v1/batches/night-1", "", token, down, http.StatusServiceUnavailable},
		{"POST", "/", "", nil, nil, http.StatusOK},
		{"POST", "/", "", map[string]string{HeaderBatch: "night-1"}, nil, http.StatusOK},
		{"POST", "/", "", map[string]string{HeaderBatch: "night-1", HeaderItem: "t1"}, nil, http.StatusOK},
		{"POST", "/", "", map[string]string{HeaderItem: "t1"}, nil, http.StatusBadRequest},
		{"POST", "/", "", map[string]string{HeaderBatch: strings.Repeat("x", 200)}, nil, http.StatusBadRequest},
	}
	for _, c := range cases {
		batches := &fakeBatches{err: c.err}
		s := New(Options{
			Entry: &fakeEntry{}, Batches: batches, Now: func() time.Time { return testNow },
			Team: func(entry.Caller) ident.Team { return "ledger" },
		})
		var got batchItem
		handler := s.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = batchItemOf(r.Context()) }))
		r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		for name, value := range c.header {
			r.Header.Set(name, value)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != c.status {
			t.Errorf("%s %s %v: status %d (%s), want %d", c.method, c.path, c.header, w.Code, w.Body, c.status)
		}
		if shape := `"type":"`; w.Code != http.StatusOK && (!strings.Contains(w.Body.String(), shape) || w.Header().Get("Lovage-Request-Id") == "") {
			t.Errorf("%s %s: error %s lacks the type or the request ID", c.method, c.path, w.Body)
		}
		if want := (batchItem{c.header[HeaderBatch], c.header[HeaderItem]}); w.Code == http.StatusOK && got != want {
			t.Errorf("%s %s: batch item %+v, want %+v", c.method, c.path, got, want)
		}
		if team := batches.declared.Team + batches.asked.Team; team != "" && team != "ledger" {
			t.Errorf("%s %s: team %q", c.method, c.path, team)
		}
	}
}
