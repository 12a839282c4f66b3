package gateway

import (
	"errors"
	"testing"
)

// A stream breaks off after an event and goes on at another upstream, which
// answers with a failure of its own instead of events. The caller has the head of
// a success and a part of the events: if the failure's body is passed on and the
// answer ended, the stream looks whole after the event at which it broke off.
func TestAFailureIsNoEndOfAResumedStream(t *testing.T) {
	for _, code := range []int{400, 500, 503, 504} {
		g, sender := testGateway(t, func(n int, _ *Send) (*Answer, error) {
			if n == 1 {
				return stream(errors.New("connection reset"), "1"), nil
			}
			return status(code), nil
		})
		rec := serve(g, request("/resume/x"))
		if rec.ends != "broken" || rec.body != "id: 1\n\n" {
			t.Errorf("resumed at an upstream that answers %d: %d sends, ends %q with %q", code, sender.count(), rec.ends, rec.body)
		}
	}
}
