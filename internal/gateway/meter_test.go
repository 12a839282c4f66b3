package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/placement"
)

func metricsOf(g *Gateway) string {
	var text bytes.Buffer
	g.Metrics().WritePrometheus(&text)
	return text.String()
}

// Each request counts once in the metrics, under its outcome and the reason why it did not
// run, so that an operator finds the kind of a failure without the log.
func TestCountersByOutcome(t *testing.T) {
	g, _ := testGateway(t, func(n int, s *Send) (*Answer, error) {
		switch n {
		case 1:
			return nil, connectionLost()
		case 3:
			return stream(connectionLost(), "1"), nil
		case 4:
			return stream(io.EOF, "2"), nil
		}
		return stream(io.EOF, "1"), nil
	})
	serve(g, request("/safe/x"))
	resumed := request("/resume/x")
	resumed.Prompt = prompt(placement.Part{ID: "own", Tokens: 10})
	serve(g, resumed)
	stranger := request("/safe/x")
	stranger.Key = "unknown"
	serve(g, stranger)
	text := metricsOf(g)
	for _, want := range []string{
		`lovagereach_gateway_requests_total{kind="safe",outcome="done"} 1`,
		`lovagereach_gateway_requests_total{kind="stream",outcome="done"} 1`,
		`lovagereach_gateway_requests_total{kind="none",outcome="not-run"} 1`,
		`lovagereach_gateway_not_run_total{reason="unauthorized"} 1`,
		`lovagereach_gateway_sends_total 4`,
		`lovagereach_gateway_sent_again_total 2`,
		`lovagereach_gateway_resumed_total 1`,
		`lovagereach_gateway_config_version 7`,
		`lovagereach_gateway_upstreams 5`,
		`lovagereach_gateway_open_requests 0`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("missing: %s", want)
		}
	}
	if t.Failed() {
		t.Log(text)
	}
}

// The dump must show why an upstream or a store gets no requests.
func TestDumpShowsUnusedUpstreams(t *testing.T) {
	g, _ := testGateway(t, func(int, *Send) (*Answer, error) { return nil, connectionLost() })
	unsafe := request("/unsafe/x")
	serve(g, unsafe)
	answer := testAnswer()
	answer.Document, answer.Roster, answer.Inventories = nil, nil, nil
	answer.Silent, answer.Loads = []string{"l1"}, []steward.Load{{Upstream: "l2", Requests: 3}}
	g.ApplyAnswer(answer, time.Now())
	d := g.Dump()
	found := map[string]bool{}
	for _, u := range d.Upstreams {
		switch {
		case u.EjectedFor > 0 && u.InRow == 1:
			found["avoided"] = true
		case u.ID == "l1" && u.Silent:
			found["silent"] = true
		case u.ID == "l2" && u.Others.Requests == 3:
			found["loaded"] = true
		}
	}
	if len(found) != 3 || len(d.Stores) != 1 || !d.Stores[0].Open || d.Stores[0].Parts != 1 || d.Config != 7 {
		t.Fatalf("found %v in %+v", found, d)
	}
}
