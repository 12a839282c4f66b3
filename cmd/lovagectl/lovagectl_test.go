package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/operators"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/port"
)

const testToken = "operator-secret"

// stubControl implements the control port on a real config.State without a
// replicated group.
type stubControl struct {
	state *config.State
	// fail holds the errors that the next Apply calls return. If lost is set,
	// the change is committed before the error is returned.
	fail  []error
	lost  bool
	force bool
	calls int
	// hang, if set, blocks Apply calls until it is closed.
	hang chan struct{}
}

func (s *stubControl) Apply(_ context.Context, request control.ApplyRequest) (control.ApplyAnswer, error) {
	if s.hang != nil {
		<-s.hang
	}
	s.calls++
	cmd := config.Command{RequestID: request.RequestID, Author: request.Author, Note: request.Note, Base: request.Base}
	cmd.Content = request.Content
	if request.Base == s.state.Current().Revision() {
		cmd.Delta = *request.Delta
	}
	if request.DryRun {
		return control.ApplyAnswer{Result: s.state.DryRun(cmd), Delta: cmd.Delta}, nil
	}
	if len(s.fail) > 0 {
		err := s.fail[0]
		s.fail = s.fail[1:]
		if s.lost {
			s.state.Apply(cmd)
		}
		return control.ApplyAnswer{}, err
	}
	return control.ApplyAnswer{Result: s.state.Apply(cmd), Delta: cmd.Delta, InForce: s.force}, nil
}

func (s *stubControl) Get(context.Context) (*config.Snapshot, error) { return s.state.Current(), nil }

func (s *stubControl) History(_ context.Context, before config.Revision, limit int) ([]config.RevisionMeta, error) {
	return s.state.History(before, limit), nil
}

func (s *stubControl) DeltaBetween(_ context.Context, from, to config.Revision) (config.Delta, error) {
	return s.state.DeltaBetween(from, to)
}

func (s *stubControl) Status() control.Status {
	return control.Status{
		Group:    control.GroupStatus{Self: "control-0", Leader: "control-0", IsLeader: true, Term: 3, Voters: []ident.Host{"control-0"}},
		Revision: s.state.Current().Revision(),
		Leading:  &control.LeaderStatus{InForce: s.state.Current().Revision()},
	}
}

// bench is a control host's operator listener and a folder with the files that
// lovagectl reads.
type bench struct {
	t       *testing.T
	control *stubControl
	url     string
	dir     string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, control: &stubControl{state: config.NewState(), force: true}, dir: t.TempDir()}
	handler, err := operators.Handler(operators.Options{
		Control:   b.control,
		Operators: map[config.TokenDigest]string{config.DigestToken(testToken): "ana"},
		Leaders:   map[ident.Host]string{},
		Audit: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", api.TypeJSON)
			_, _ = fmt.Fprintf(w, `{"asked":%q,"records":[{"team":"growers","class":"questions","entry":"entry-1","outcome":"none"}]}`, r.URL)
		}),
		Log: log.New(bytes.NewBuffer(nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	b.url = server.URL
	b.file("token", testToken+"\n")
	b.file("wrong", "guess")
	b.file("one.yaml", documentText("30s"))
	b.file("two.yaml", documentText("40s"))
	b.file("bad.yaml", strings.Replace(documentText("30s"), "kind: model", "kind: model\n  weight: 3", 1))
	return b
}

func documentText(deadline string) string {
	return "classes:\n- name: questions\n  kind: model\n  first_token: {within: 380ms}\n  deadline: " + deadline + "\n"
}

func (b *bench) file(name, text string) string {
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// run runs lovagectl and returns its exit code and output. An argument @name is
// replaced by the path of that file in the bench's folder.
func (b *bench) run(args ...string) (code int, out, errors string) {
	b.t.Helper()
	for i, arg := range args {
		if name, isFile := strings.CutPrefix(arg, "@"); isFile {
			args[i] = filepath.Join(b.dir, name)
		}
	}
	env := map[string]string{"LOVAGE_SERVERS": b.url, "LOVAGE_TOKEN_FILE": filepath.Join(b.dir, "token")}
	var stdout, stderr bytes.Buffer
	code = run(b.t.Context(), args, streams{in: strings.NewReader(""), out: &stdout, err: &stderr}, func(key string) string { return env[key] })
	return code, stdout.String(), stderr.String()
}

func TestCommands(t *testing.T) {
	cases := []struct {
		name string
		// before lists commands that run first and must succeed.
		before [][]string
		args   []string
		code   int
		want   string
	}{
		{"help", nil, []string{"-help"}, exitOK, "exit codes"},
		{"unknown command", nil, []string{"aply"}, exitUsage, "no command \"aply\""},
		{"unknown output", nil, []string{"get", "-o", "xml"}, exitUsage, "none of table, json, yaml"},
		{"apply", nil, []string{"apply", "-f", "@one.yaml"}, exitOK, "applied"},
		{"apply twice", [][]string{{"apply", "-f", "@one.yaml"}}, []string{"apply", "-f", "@one.yaml"}, exitOK, "unchanged"},
		{"resend on the same revision", [][]string{{"apply", "-expect", "0", "-f", "@one.yaml"}}, []string{"apply", "-expect", "0", "-f", "@one.yaml"}, exitOK, "first answer to this request id"},
		{"conflict", [][]string{{"apply", "-f", "@one.yaml"}}, []string{"apply", "-expect", "0", "-f", "@two.yaml"}, exitConflict, "revision 1 is by ana"},
		{"request id reused", [][]string{{"apply", "-request-id", "x", "-f", "@one.yaml"}}, []string{"apply", "-request-id", "x", "-f", "@two.yaml"}, exitConflict, "used before for another change"},
		{"weight", nil, []string{"apply", "-f", "@bad.yaml"}, exitInvalid, "operators don't set weight"},
		{"dry run", nil, []string{"apply", "-dry-run", "-f", "@one.yaml"}, exitOK, "would be applied"},
		{"diff of a file", [][]string{{"apply", "-f", "@one.yaml"}}, []string{"diff", "-f", "@two.yaml"}, exitOK, "deadline 40s"},
		{"diff of revisions", [][]string{{"apply", "-f", "@one.yaml"}, {"apply", "-f", "@two.yaml"}}, []string{"diff", "1", "2"}, exitOK, "set  class questions  model"},
		{"diff out of range", nil, []string{"diff", "1", "2"}, exitFailed, "next: name two revisions"},
		{"diff without a revision", nil, []string{"diff", "x"}, exitUsage, "not a revision"},
		{"get", [][]string{{"apply", "-f", "@one.yaml"}}, []string{"get"}, exitOK, "# revision 1\n"},
		{"get as JSON", [][]string{{"apply", "-f", "@one.yaml"}}, []string{"get", "-o", "json"}, exitOK, `"within": "380ms"`},
		{"history", [][]string{{"apply", "-note", "first", "-f", "@one.yaml"}}, []string{"history"}, exitOK, "first"},
		{"history as YAML", [][]string{{"apply", "-f", "@one.yaml"}}, []string{"history", "-o", "yaml"}, exitOK, "author: ana"},
		{"status", nil, []string{"status"}, exitOK, "leader"},
		{"status of a dead host", nil, []string{"status", "-servers", "http://127.0.0.1:1"}, exitOK, "refused"},
		{"no control host", nil, []string{"get", "-timeout", "300ms", "-servers", "http://127.0.0.1:1"}, exitFailed, "next: see that a control host runs"},
		{"members", nil, []string{"members"}, exitFailed, "members are fixed"},
		{"members without a host", nil, []string{"members", "remove"}, exitUsage, "takes the name of one host"},
		{"version", nil, []string{"-version"}, exitOK, "lovagectl "},
		{"audit as a table", nil, []string{"audit", "-open", "-team", "growers"}, exitOK, "growers  questions  entry-1  none     -"},
		{"audit of flags", nil, []string{"audit", "-o", "yaml", "-open", "-team", "growers"}, exitOK, "/v1/audit?open=true&team=growers"},
		{"audit of pairs", nil, []string{"audit", "-o", "yaml", "open=true", "team=growers"}, exitOK, "/v1/audit?open=true&team=growers"},
		{"audit of a word", nil, []string{"audit", "open"}, exitUsage, "neither a flag nor KEY=VALUE"},
		{"wrong token", nil, []string{"get", "-token-file", "@wrong"}, exitUnauthorized, "next: give the token"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			for _, args := range c.before {
				if code, _, errors := b.run(args...); code != exitOK {
					t.Fatalf("%v exited with %d: %s", args, code, errors)
				}
			}
			code, out, errors := b.run(c.args...)
			if code != c.code || !strings.Contains(out+errors, c.want) {
				t.Errorf("exit %d, want %d with %q in\n%s%s", code, c.code, c.want, out, errors)
			}
		})
	}
}

// The change is committed and the answer is lost. lovagectl resends the same request
// automatically; the operator gets one revision and the first answer.
func TestApplyResendsAfterLostAnswer(t *testing.T) {
	b := newBench(t)
	b.control.fail, b.control.lost = []error{port.ErrUncertain}, true
	code, out, errors := b.run("apply", "-f", "@one.yaml")
	if code != exitOK || !strings.Contains(out, "first answer") || b.control.calls != 2 {
		t.Errorf("exit %d after %d calls:\n%s%s", code, b.control.calls, out, errors)
	}
	if revision := b.control.state.Current().Revision(); revision != 1 {
		t.Errorf("revision %d, want 1", revision)
	}
}

// Until the timeout, every control host answers that the change may or may not be
// committed. The operator gets the exit code for an uncertain outcome and the advice
// to resend with the same request id, with which it is applied at most once.
func TestApplyReportsUncertainOutcome(t *testing.T) {
	b := newBench(t)
	for range 100 {
		b.control.fail = append(b.control.fail, port.ErrUncertain)
	}
	code, _, errors := b.run("apply", "-timeout", "300ms", "-f", "@one.yaml")
	if code != exitUncertain || !strings.Contains(errors, "same request id") {
		t.Errorf("exit %d: %s", code, errors)
	}
}

// The control host accepts the request and never answers. lovagectl must not report
// that nothing has changed.
func TestApplyWithoutAnyAnswerIsUncertain(t *testing.T) {
	b := newBench(t)
	b.control.hang = make(chan struct{})
	defer close(b.control.hang)
	code, _, errors := b.run("apply", "-timeout", "300ms", "-f", "@one.yaml")
	if code != exitUncertain || !strings.Contains(errors, "run the same command again") {
		t.Errorf("exit %d: %s", code, errors)
	}
}

// A change is committed, but at the timeout an entry has neither acknowledged it nor
// lost its lease. The operator gets a separate exit code: nothing is lost, and the
// status command shows when the change is in force.
func TestApplyReportsChangeNotYetInForce(t *testing.T) {
	b := newBench(t)
	b.control.force = false
	if code, _, errors := b.run("apply", "-f", "@one.yaml"); code != exitNotInForce || !strings.Contains(errors, "lovagectl status") {
		t.Errorf("exit %d: %s", code, errors)
	}
}

// An operator repeats an apply without a request id after a lost answer. Both runs
// derive the same id, so the change is applied at most once; a different operator's
// token, base or document yields a different id.
func TestDerivedRequestID(t *testing.T) {
	same := deriveRequestID("t", 1, []byte("d"))
	if same != deriveRequestID("t", 1, []byte("d")) {
		t.Error("the same change got two ids")
	}
	for _, other := range []string{deriveRequestID("u", 1, []byte("d")), deriveRequestID("t", 2, []byte("d")), deriveRequestID("t", 1, []byte("e"))} {
		if other == same {
			t.Errorf("another change got the same id %s", other)
		}
	}
}
