package httpsend

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a time that a refusal states and that is lost, or one that is taken from an answer
// that is no refusal.
func TestRefusalStatesWhenToRetry(t *testing.T) {
	for text, want := range map[string]time.Duration{"2": 2 * time.Second, "0.5": 500 * time.Millisecond, "1e9": maxRetryAfter, "": 0, "-1": 0, "NaN": 0, "soon": 0} {
		header := http.Header{"Retry-After": {text}}
		if e := matchAnswer(header, testRequest, 1); e.RetryAfter != 0 {
			t.Errorf("%q without a refusal: %v", text, e.RetryAfter)
		}
		header.Set(HeaderNotRun, RefusalValue(testRequest, 1))
		if e := matchAnswer(header, testRequest, 1); e.RetryAfter != want {
			t.Errorf("%q: %v", text, e.RetryAfter)
		}
	}
}
