package gateway

import (
	"testing"
	"time"
)

// Guards against an upstream that gets no requests after it has recovered from failures. While
// others have no failures, each request goes to them, so no answer lowers the upstream's share
// of failures; only time does.
func TestFailureShareDecays(t *testing.T) {
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
