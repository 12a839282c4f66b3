package steward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against shares of the retry budget that are less than one further send, because they
// are computed for a thousand entries of which callers use forty; and against shares that add
// up to more than the budget when callers switch to other entries.
func TestActiveCountCoversRecentEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLeadership()
		views := make([]EntryView, 1000)
		use := func(from, to int) {
			for i := range views {
				views[i] = EntryView{Host: fmt.Sprint("e", i)}
				if i >= from && i < to {
					views[i].Rate = 5
				}
			}
		}
		use(0, 40)
		if got := l.activeCount(views, time.Now()); got != 1000 {
			t.Errorf("%d counted by a new leader, want all 1000", got)
		}
		time.Sleep(activeWindow)
		if got := l.activeCount(views, time.Now()); got != 40 {
			t.Errorf("%d of 40 are in use", got)
		}
		use(100, 150)
		time.Sleep(silentEvery)
		if got := l.activeCount(views, time.Now()); got != 90 {
			t.Errorf("%d are in use, 90 were within the window", got)
		}
		time.Sleep(activeWindow + silentEvery)
		if got := l.activeCount(views, time.Now()); got != 50 {
			t.Errorf("%d of 50 are in use", got)
		}
	})
}
