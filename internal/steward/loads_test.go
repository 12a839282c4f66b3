package steward

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/roster"
)

func testLoader(runners int) (*loader, []roster.Upstream) {
	machine := NewMachine()
	machine.weights["m"] = 2
	s := &Steward{machine: machine, options: Options{LoadsAtOnce: 3, VersionTime: 15 * time.Second, Log: log.New(io.Discard)}}
	var live []roster.Upstream
	for i := range runners {
		live = append(live, roster.Upstream{ID: fmt.Sprintf("r%02d", i), State: roster.Serving, Loaded: []roster.Loaded{{Model: "m", Version: 1}}})
	}
	return newLoader(&leadership{steward: s}), live
}

// loaded notes that a runner has the newest version.
func loaded(live []roster.Upstream, id string) {
	i := slices.IndexFunc(live, func(u roster.Upstream) bool { return u.ID == id })
	live[i].Loaded = []roster.Loaded{{Model: "m", Version: 2}}
}

// All runners must have named weights in time, with as few as possible out of
// service at once: each load takes 1.8 s here, and every turn is taken at once.
func TestLoadsAreInTimeWithFewAtOnce(t *testing.T) {
	for _, c := range []struct{ runners, most int }{{18, 4}, {9, 2}, {3, 1}, {57, 13}} {
		o, live := testLoader(c.runners)
		now := time.Unix(1000, 0)
		began, ends, most, left := now, map[string]time.Time{}, 0, c.runners
		for left > 0 && now.Sub(began) < time.Minute {
			for id, end := range ends {
				if !now.Before(end) {
					delete(ends, id)
					o.release(id, true, now)
					o.noteUsual(1800 * time.Millisecond)
					loaded(live, id)
					left--
				}
			}
			for _, u := range o.next(live, now) {
				ends[u.ID] = now.Add(1800 * time.Millisecond)
			}
			most = max(most, len(ends))
			now = now.Add(loadEvery)
		}
		if took := now.Sub(began); took > 15*time.Second || most > c.most {
			t.Errorf("%d runners: %v, %d at once", c.runners, took, most)
		}
	}
}

// A crashed runner refuses every question. It must not keep the others from
// their turns.
func TestUnreachableRunnersHoldNoTurn(t *testing.T) {
	o, live := testLoader(6)
	now := time.Now()
	turns := map[string]int{}
	for range 400 {
		for _, u := range o.next(live, now) {
			turns[u.ID]++
			o.release(u.ID, u.ID != "r00", now)
			if u.ID != "r00" {
				loaded(live, u.ID)
			}
		}
		now = now.Add(5 * time.Millisecond)
	}
	if turns["r00"] > 4 || turns["r05"] == 0 {
		t.Fatalf("turns: %v", turns)
	}
}
