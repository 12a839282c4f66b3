package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// bodyServer answers every call with body.
type bodyServer struct{ body []byte }

func (s *bodyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if request, attempt, err := upstreamapi.ReadAttempt(r.Header); err == nil {
		upstreamapi.SetAttempt(w.Header(), request, attempt)
	}
	_, _ = w.Write(s.body)
}

func open(t testing.TB) (*bodyServer, *Client) {
	server := &bodyServer{}
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, New(listener.Listener.Addr().String(), nil)
}

// A store host answers with the state of another block, with fewer or more states than
// requested, or with an invalid body. The client must not return any of these as the
// state of the requested block.
func TestMismatchedAnswersAreRejected(t *testing.T) {
	const own, other = `{"block":"a","phase":"committed"}`, `{"block":"b","phase":"committed"}`
	cases := map[string]struct {
		body string
		want outcome.Kind
	}{
		"own":        {`{"states":[` + own + `]}`, outcome.KindDone},
		"other":      {`{"states":[` + other + `]}`, outcome.KindUnknown},
		"none":       {`{"states":[]}`, outcome.KindUnknown},
		"more":       {`{"states":[` + own + `,` + own + `]}`, outcome.KindUnknown},
		"not JSON":   {`<html>`, outcome.KindUnknown},
		"wrong type": {`{"states":[{"block":1}]}`, outcome.KindUnknown},
	}
	server, client := open(t)
	for name, c := range cases {
		server.body = []byte(c.body)
		_, err := client.Stat(t.Context(), []port.BlockID{"a"})
		if got := outcome.KindOf(err); got != c.want {
			t.Errorf("%s: outcome %v (%v), want %v", name, got, err, c.want)
		}
	}
	server.body = []byte(`{"block":"a"}` + strings.Repeat(" ", upstreamapi.MaxAnswerBytes))
	if _, err := client.Commit(t.Context(), port.CommitRequest{Block: "a"}); outcome.KindOf(err) != outcome.KindUnknown {
		t.Errorf("too long: %v", err)
	}
}

func FuzzAnswers(f *testing.F) {
	f.Add([]byte(`{"granted":true,"state":{"block":"a","phase":"reserved","generation":3}}`))
	f.Add([]byte(`{"full":true}`))
	f.Add([]byte(`{"states":[{"block":"a"}]}`))
	f.Add([]byte(`{"block":"a","checksum":"18446744073709551615"}`))
	server, client := open(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		server.body = body
		ctx := t.Context()
		reservation, err := client.Reserve(ctx, port.ReserveRequest{Block: "a", Bytes: 1, Lifetime: time.Second})
		if err == nil && (reservation.Granted || !reservation.Full) && reservation.State.Block != "a" {
			t.Errorf("reserved %+v", reservation)
		}
		if state, err := client.Commit(ctx, port.CommitRequest{Block: "a"}); err == nil && state.Block != "a" {
			t.Errorf("committed %+v", state)
		}
		if states, err := client.Stat(ctx, []port.BlockID{"a"}); err == nil && (len(states) != 1 || states[0].Block != "a") {
			t.Errorf("stat %+v", states)
		}
	})
}
