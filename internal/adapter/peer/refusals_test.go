package peer

import (
	"strconv"
	"testing"
	"time"
)

// Guards against a log that is flooded where many hosts are refused.
func TestLinesAboutRefusalsAreBounded(t *testing.T) {
	var r refusalLog
	now, lines, refusals, counted := time.Unix(1000, 0), 0, 0, 0
	for range 300 {
		for host := range 2000 {
			refusals++
			if leftOut, logged := r.take(now, refusalKey{host: strconv.Itoa(host), reason: RefusedKey}); logged {
				lines++
				counted += leftOut + 1
			}
		}
		now = now.Add(200 * time.Millisecond)
	}
	if lines > 6*refusalsMost || counted+r.leftOut != refusals {
		t.Fatalf("%d lines tell of %d of %d refusals", lines, counted, refusals)
	}
}
