package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/quarantine"
)

// What differs between attempts of one request must not change the fingerprint; whatever makes
// it another request must, such as another team.
func TestFingerprintsDistinguishRequests(t *testing.T) {
	g, _ := testGateway(t, nil)
	fingerprint := func(change func(*Request)) quarantine.Fingerprint {
		r := request("/resume/x")
		r.Body = []byte("body")
		change(r)
		run, err := g.admit(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		return run.fingerprint
	}
	first := fingerprint(func(*Request) {})
	for name, change := range map[string]func(*Request){
		"another attempt":  func(r *Request) { r.ID = "id-2" },
		"a resumed stream": func(r *Request) { r.ResumeAfter = "3" },
		"less time":        func(r *Request) { r.Wait = time.Second },
	} {
		if fingerprint(change) != first {
			t.Errorf("%s has another fingerprint", name)
		}
	}
	for name, change := range map[string]func(*Request){
		"another team":   func(r *Request) { r.Key = "kb" },
		"another body":   func(r *Request) { r.Body = []byte("bodY") },
		"another query":  func(r *Request) { r.Target += "?a=b" },
		"another method": func(r *Request) { r.Method = "PUT" },
		"moved bytes":    func(r *Request) { r.Target, r.Body = r.Target+"b", []byte("ody") },
	} {
		if fingerprint(change) == first {
			t.Errorf("%s has the same fingerprint", name)
		}
	}
}

// Guards against a runner that counts as crashed because one connection was reset: the
// requests that break off at a runner are recorded together, and it is checked once.
func TestLostUpstreamIsCheckedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(_ int, s *Send) (*Answer, error) {
			if s.Upstream == "l1" {
				time.Sleep(50 * time.Millisecond)
				return nil, connectionLost()
			}
			return status(200), nil
		})
		sender.crashed = map[string]bool{"l1": true}
		for range 8 {
			go func() { serve(g, request("/resume/x")) }()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if crashes := g.meter.crashes.Get(); crashes != 1 {
			t.Fatalf("%d crashes counted, want 1", crashes)
		}
		if g.state.lost.Len() != 0 {
			t.Fatal("broken sends are kept after the check")
		}
	})
}
