package gateway

import (
	"testing"
	"time"
)

// An upstream fails some requests, as one does that ends and starts again. From
// then on it is sound. While others have failed nothing, each request goes to one
// of them, so no answer ever lowers the share of failures that keeps requests
// away: only time can.
func TestFailuresAreForgottenInTime(t *testing.T) {
	now := time.Now()
	var u health
	for range 3 {
		u.failed(now)
	}
	if before := u.penalty(now, false); before < ejectedCost {
		t.Fatalf("right after three failures the cost is %v", before)
	}
	if after := u.penalty(now.Add(time.Minute), false); after > 50*time.Millisecond {
		t.Fatalf("a minute after the last failure, with no request since, the cost is still %v", after)
	}
}
