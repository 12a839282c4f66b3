package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/quarantine"
)

// All that tells one attempt from the next must leave the print alone, and whatever
// makes it another request must change it: another team may say the same.
func TestPrintsTellRequestsApart(t *testing.T) {
	g, _ := testGateway(t, nil)
	print := func(change func(*Request)) quarantine.Fingerprint {
		r := request("/resume/x")
		r.Body = []byte("body")
		change(r)
		run, err := g.admit(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		return run.fingerprint
	}
	first := print(func(*Request) {})
	for name, change := range map[string]func(*Request){
		"another attempt":  func(r *Request) { r.ID = "id-2" },
		"a resumed stream": func(r *Request) { r.ResumeAfter = "3" },
		"less time":        func(r *Request) { r.Wait = time.Second },
	} {
		if print(change) != first {
			t.Errorf("%s has another print", name)
		}
	}
	for name, change := range map[string]func(*Request){
		"another team":   func(r *Request) { r.Key = "kb" },
		"another body":   func(r *Request) { r.Body = []byte("bodY") },
		"another query":  func(r *Request) { r.Target += "?a=b" },
		"another method": func(r *Request) { r.Method = "PUT" },
		"moved bytes":    func(r *Request) { r.Target, r.Body = r.Target+"b", []byte("ody") },
	} {
		if print(change) == first {
			t.Errorf("%s has the same print", name)
		}
	}
}

// Requests that break off at a runner are noted together, and it is looked at once:
// a connection that was reset by itself must not look like a runner's end.
func TestLostUpstreamsAreLookedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := testGateway(t, func(_ int, s *Send) (*Answer, error) {
			if s.Upstream == "l1" {
				time.Sleep(50 * time.Millisecond)
				return nil, lost()
			}
			return status(200), nil
		})
		sender.ended = map[string]bool{"l1": true}
		for range 8 {
			go func() { serve(g, request("/resume/x")) }()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if ends := g.meter.crashes.Get(); ends != 1 {
			t.Fatalf("%d ends seen, want 1", ends)
		}
		if g.state.lost.Len() != 0 {
			t.Fatal("broken sends are kept after the look")
		}
	})
}
