package loadgen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/adapter/engine"
	"github.com/lovagereach/lovagereach/internal/adapter/service"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
)

// bug is a violation that fakeEntry simulates.
type bug string

const (
	bugNone         bug = "none"
	bugCrossed      bug = "crossed"
	bugShort        bug = "short"
	bugShared       bug = "shared"
	bugDoubled      bug = "doubled"
	bugFalseRefusal bug = "false refusal"
	bugNeverRun     bug = "never run"
	// bugCrashes aborts the connection after the first token, like a crash of
	// the entry. It is not a violation.
	bugCrashes bug = "dies"
)

// fakeEntry implements the minimum of an entry's callers API that loadgen needs.
type fakeEntry struct {
	bug     bug
	address string
	engine  port.Engine
	service port.Service
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == callers.PathAddress:
		fmt.Fprintf(w, `{"address":%q,"alternates":[],"keep_ms":60000}`, f.address)
	case r.URL.Path == callers.PathCompletions:
		f.prompt(w, r)
	default:
		f.call(w, r)
	}
}

func (f *fakeEntry) prompt(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Prompt    []uint32 `json:"prompt"`
		MaxTokens int      `json:"max_tokens"`
		Seed      uint64   `json:"seed"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		panic(err)
	}
	id, err := ident.ParseRequest(r.Header.Get(callers.HeaderRequestID))
	if err != nil {
		panic(err)
	}
	if f.bug == bugCrossed {
		body.Seed++
	}
	req := port.GenerateRequest{Request: id, Attempt: 1, Model: "m", Version: "v", Tokens: body.Prompt, MaxTokens: body.MaxTokens, Seed: body.Seed}
	stream, err := f.engine.Generate(r.Context(), req)
	if err != nil {
		panic(err)
	}
	defer stream.Close()
	w.Header().Set(callers.HeaderRequestID, id.String())
	for {
		event, err := stream.Next(r.Context())
		if err != nil {
			panic(err)
		}
		if f.bug == bugCrashes {
			panic(http.ErrAbortHandler)
		}
		last := f.bug == bugShort && event.Index == body.MaxTokens-1
		if event.Done || last {
			reused := 0
			if f.bug == bugShared {
				reused = 4
			}
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}],\"lovage\":{\"tokens_reused\":%d}}\n\ndata: [DONE]\n\n", reused)
			return
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q,\"finish_reason\":null}]}\n\n", event.Text)
	}
}

func (f *fakeEntry) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(err)
	}
	id, err := ident.ParseRequest(r.Header.Get(callers.HeaderRequestID))
	if err != nil {
		panic(err)
	}
	key := r.Header.Get(callers.HeaderIdempotency)
	sent := key
	if f.bug == bugNeverRun {
		sent = "" // the replica runs the call without its key
	}
	path := strings.TrimPrefix(r.URL.Path, callers.PathServices+"clock")
	var answer []byte
	sends := 1
	if f.bug == bugDoubled {
		sends = 2
	}
	for n := range sends {
		got, err := f.service.Forward(r.Context(), port.ServiceCall{Request: id, Attempt: uint32(n), Method: r.Method, Path: path, Body: body, Key: sent})
		if err != nil {
			panic(err)
		}
		answer, err = io.ReadAll(got.Body)
		if err != nil {
			panic(err)
		}
		got.Body.Close()
	}
	w.Header().Set(callers.HeaderRequestID, id.String())
	switch f.bug {
	case bugFalseRefusal:
		w.Header().Set(callers.HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"overloaded","outcome":"not-run"}}`)
	case bugNeverRun:
		_, _ = w.Write(bytes.Replace(answer, []byte(`"run"`), []byte(`"idempotency_key":"`+key+`","run"`), 1))
	default:
		_, _ = w.Write(answer)
	}
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Each bug is a violation that a caller cannot detect: a token of another answer,
// an answer that ends early and looks complete, a prompt answered from another
// team's kept prompt, a bid that ran twice, one that ran and was reported as not
// run, one reported as done that no replica ran under its key. The run must report
// exactly the simulated violation, and none for a correct system.
func TestRunFindsViolations(t *testing.T) {
	cases := map[bug]func(Violations) bool{
		bugNone:         func(v Violations) bool { return v == Violations{} },
		bugCrossed:      func(v Violations) bool { return v.Crossed > 0 && v == Violations{Crossed: v.Crossed} },
		bugShort:        func(v Violations) bool { return v.Short > 0 && v == Violations{Short: v.Short} },
		bugShared:       func(v Violations) bool { return v.Shared > 0 && v == Violations{Shared: v.Shared} },
		bugDoubled:      func(v Violations) bool { return v.Doubled > 0 && v == Violations{Doubled: v.Doubled} },
		bugFalseRefusal: func(v Violations) bool { return v.FalseRefusals > 0 && v == Violations{FalseRefusals: v.FalseRefusals} },
		bugNeverRun:     func(v Violations) bool { return v.NeverRun > 0 && v == Violations{NeverRun: v.NeverRun} },
	}
	for seeded, want := range cases {
		t.Run(string(seeded), func(t *testing.T) {
			standinEngine := standin.NewEngine(standin.EngineOptions{Models: []port.LoadedVersion{{Model: "m", Version: "v"}}})
			standinService := standin.NewService(standin.ServiceOptions{Service: "clock"})
			engineAddress, serviceAddress := serve(t, standinEngine.Handler()), serve(t, standinService.Handler())
			fake := &fakeEntry{bug: seeded, engine: engine.New(engineAddress, engine.Options{}), service: service.New(serviceAddress, nil)}
			fake.address = serve(t, fake)
			report, err := Run(t.Context(), Options{
				Entries:     []string{fake.address},
				Standins:    []string{engineAddress, serviceAddress},
				Prompts:     []PromptLoad{{Token: "t", Class: "questions", Model: "m", Rate: 1000, Kept: 2, KeptTokens: 8, QuestionTokens: 2, AnswerTokens: 5}},
				Calls:       []CallLoad{{Token: "t", Service: "clock", Path: "bids", Rate: 1000}},
				Duration:    10 * time.Second,
				MaxRequests: 40,
				Seed:        1,
				Fresh:       true,
			})
			if err != nil {
				t.Fatal(err)
			}
			if !want(report.Violations) {
				t.Errorf("violations %+v; %q", report.Violations, report.Examples)
			}
			var text, table bytes.Buffer
			report.WriteText(&text)
			if err := report.WriteCSV(&table); err != nil || strings.Count(table.String(), "\n") != 3 {
				t.Errorf("CSV %q, %v", table.String(), err)
			}
			if !strings.Contains(text.String(), "questions") {
				t.Errorf("text %q", text.String())
			}
		})
	}
}

// An entry crashes in the middle of answers, so that callers don't receive an
// outcome. The audit must have a record of each such request, open or with its
// outcome; a request without a record must be reported as untraced.
func TestRunTracesLostPrompts(t *testing.T) {
	cases := map[string]struct {
		records string
		want    func(*Report) bool
	}{
		"open":     {`[{"closed":false}]`, func(r *Report) bool { return r.Traces.Open == 10 && !r.Violations.Any() }},
		"closed":   {`[{"closed":true}]`, func(r *Report) bool { return r.Traces.Closed == 10 && !r.Violations.Any() }},
		"untraced": {`[]`, func(r *Report) bool { return r.Violations == Violations{Untraced: 10} }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			standinEngine := standin.NewEngine(standin.EngineOptions{Models: []port.LoadedVersion{{Model: "m", Version: "v"}}})
			engineAddress := serve(t, standinEngine.Handler())
			fake := &fakeEntry{bug: bugCrashes, engine: engine.New(engineAddress, engine.Options{})}
			fake.address = serve(t, fake)
			operators := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/audit" || r.Header.Get("Authorization") != "Bearer operator" {
					w.WriteHeader(http.StatusUnauthorized)
				}
				fmt.Fprintf(w, `{"records":%s}`, c.records)
			}))
			report, err := Run(t.Context(), Options{
				Entries:     []string{fake.address},
				Standins:    []string{engineAddress},
				Audit:       &AuditOptions{Servers: []string{"http://" + operators}, Token: "operator"},
				Prompts:     []PromptLoad{{Token: "t", Model: "m", Rate: 1000, Kept: 1, KeptTokens: 3, QuestionTokens: 1, AnswerTokens: 3}},
				Duration:    10 * time.Second,
				MaxRequests: 10,
			})
			if err != nil || report.Traces.Unheard != 10 || !c.want(report) {
				t.Errorf("%+v, %v", report, err)
			}
		})
	}
}

// Stop is closed during a run. The run must start no further requests, complete the
// open ones, and still check and report them; without the check, the report would
// show no violations.
func TestRunStops(t *testing.T) {
	standinService := standin.NewService(standin.ServiceOptions{Service: "clock"})
	serviceAddress := serve(t, standinService.Handler())
	fake := &fakeEntry{bug: bugDoubled, service: service.New(serviceAddress, nil)}
	fake.address = serve(t, fake)
	stop := make(chan struct{})
	go func() {
		for standinService.Stats().Runs == 0 {
			time.Sleep(time.Millisecond)
		}
		close(stop)
	}()
	report, err := Run(t.Context(), Options{
		Entries:     []string{fake.address},
		Standins:    []string{serviceAddress},
		Calls:       []CallLoad{{Token: "t", Service: "clock", Path: "bids", Rate: 100}},
		Duration:    time.Hour,
		MaxRequests: 1 << 30,
		Stop:        stop,
	})
	if err != nil || report.Violations.Doubled == 0 || report.Violations.Doubled != uint64(report.Keys) {
		t.Errorf("%+v, %v", report, err)
	}
}

func TestOptionsValidate(t *testing.T) {
	good := Options{
		Entries: []string{"127.0.0.1:1"}, Duration: time.Second, MaxRequests: 1,
		Calls: []CallLoad{{Rate: 1}},
	}
	cases := map[string]func(*Options){
		"entries":  func(o *Options) { o.Entries = nil },
		"duration": func(o *Options) { o.Duration = 0 },
		"prompts":  func(o *Options) { o.Calls = nil },
		"calls[0]": func(o *Options) { o.Calls = []CallLoad{{Rate: 1, Resend: 2}} },
		"prompts[1]": func(o *Options) {
			load := PromptLoad{Team: "t", Rate: 1, Kept: 1, KeptTokens: 1, QuestionTokens: 1, AnswerTokens: 1}
			o.Fresh, o.Prompts = true, []PromptLoad{load, load}
		},
		"prompts[0]:": func(o *Options) { o.Prompts = []PromptLoad{{Rate: 1}} },
	}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for field, invalidate := range cases {
		options := good
		invalidate(&options)
		if err := options.Validate(); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name the field", field, err)
		}
	}
}
