package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/cacheindex"
)

// Guards against a full table of recent parts, at which each further part costs a walk over the table and
// is then forgotten.
func TestRecentPartsAreTheLatestOnes(t *testing.T) {
	r, now := newRecentParts(), time.Unix(0, 0)
	runner := incarnation{id: "a"}
	key := func(i int) cacheindex.Key { return cacheindex.Key{Part: fmt.Sprint(i)} }
	for i := range 2 * maxRecent {
		r.record(key(i), runner, now)
	}
	if !r.has(key(2*maxRecent-1), runner, now) || r.knows(key(0), now) || r.last.Len() > maxRecent {
		t.Errorf("the newest known %t, the oldest %t, %d parts", r.knows(key(2*maxRecent-1), now), r.knows(key(0), now), r.last.Len())
	}
	if r.knows(key(2*maxRecent-1), now.Add(recentTTL+time.Millisecond)) {
		t.Error("a part is recent for longer than its time")
	}
}

// Guards against the size of pending saves being added up anew for each choice of a runner, and against a
// size that saves keep which have ended.
func TestPendingSavesAddUp(t *testing.T) {
	p, now := newPendingSaves(), time.Unix(0, 0)
	key := func(i int) cacheindex.Key { return cacheindex.Key{Part: fmt.Sprint(i)} }
	for i := range 2 * maxPendingSaves {
		p.add(key(i), 3, now)
	}
	if got := p.tokens(now); got != 3*maxPendingSaves {
		t.Errorf("%d tokens pending", got)
	}
	p.remove(key(2*maxPendingSaves - 1))
	p.remove(key(2*maxPendingSaves - 1))
	if got := p.tokens(now); got != 3*(maxPendingSaves-1) || p.has(key(2*maxPendingSaves-1), now) {
		t.Errorf("%d tokens pending after a save has ended", got)
	}
	if got := p.tokens(now.Add(saveTimeout + time.Millisecond)); got != 0 {
		t.Errorf("%d tokens pending after their time", got)
	}
}
