package porttest

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/outcome"
)

func newServiceCall(id byte, key string) port.ServiceCall {
	return port.ServiceCall{
		Request: ident.Request{id},
		Attempt: 1,
		Method:  http.MethodPost,
		Path:    "/bids?lot=7",
		Header:  http.Header{"Content-Type": {"text/plain"}},
		Body:    []byte("bid " + key),
		Key:     key,
	}
}

// A replica fails during a call with an idempotency key. The call must never run twice,
// and the outcome must be not-run only if the replica refused this call: runs is how
// often the replica must have run it. The next call on the same connection must get
// its own answer.
func TestForwardFaults(t *testing.T) {
	cases := []struct {
		fault standin.FaultKind
		want  outcome.Kind
		runs  int
	}{
		{standin.FaultLate, outcome.KindUnknown, 0},
		{standin.FaultCrossed, outcome.KindUnknown, 1},
		{standin.FaultTruncated, outcome.KindUnknown, 1},
		{standin.FaultDuplicated, outcome.KindDone, 1},
		{standin.FaultRefused, outcome.KindNotRun, 0},
		{standin.FaultUnavailable, outcome.KindUnknown, 0},
		{standin.FaultError, outcome.KindDone, 1},
		{standin.FaultHung, outcome.KindUnknown, 0},
		{standin.FaultHalfWritten, outcome.KindUnknown, 1},
		{standin.FaultReset, outcome.KindUnknown, 1},
	}
	for name, open := range replicas {
		for _, c := range cases {
			t.Run(name+"/"+string(c.fault), func(t *testing.T) {
				r := open(t)
				addFault(t, r.faults, standin.Fault{Kind: c.fault, Count: 1, DelayMillis: 60_000})
				ctx := callContext(t, r.faults, c.fault)
				answer, err := r.service.Forward(ctx, newServiceCall(1, "k1"))
				if err == nil {
					_, err = io.ReadAll(answer.Body)
					answer.Body.Close()
				}
				wantKind(t, err, c.want)
				if got := r.runs("k1"); got != c.runs {
					t.Errorf("ran %d times, want %d", got, c.runs)
				}
				answer, err = r.service.Forward(plainContext(t), newServiceCall(2, "k2"))
				if c.fault == standin.FaultDuplicated && err != nil {
					// The duplicate answer was read as the answer to this call,
					// recognised by its identity and dropped with the connection.
					wantKind(t, err, outcome.KindUnknown)
					answer, err = r.service.Forward(plainContext(t), newServiceCall(2, "k2"))
				}
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(answer.Body)
				answer.Body.Close()
				if err != nil || answer.Status != http.StatusOK || !strings.Contains(string(body), "bid k2") {
					t.Errorf("next answer: status %d, %q, %v", answer.Status, body, err)
				}
			})
		}
	}
}
