package peer

import (
	"strconv"
	"testing"
	"time"
)

// Guards against a flood of log lines when many hosts are refused.
func TestRefusalLogIsRateLimited(t *testing.T) {
	var r refusalLog
	now, lines, refusals, counted := time.Unix(1000, 0), 0, 0, 0
	for range 300 {
		for host := range 2000 {
			refusals++
			if suppressed, ok := r.allow(now, refusalKey{host: strconv.Itoa(host), reason: RefusedKey}); ok {
				lines++
				counted += suppressed + 1
			}
		}
		now = now.Add(200 * time.Millisecond)
	}
	if lines > 6*maxRefusalLines || counted+r.suppressed != refusals {
		t.Fatalf("%d log lines account for %d of %d refusals", lines, counted, refusals)
	}
}
