package member

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func claim(host string, incarnation, session int, state State) Member {
	return Member{
		Host:       ident.Host(host),
		DataCentre: "hall-north",
		Role:       RoleEntry,
		Peers:      "127.0.0.1:1",
		Stamp:      Stamp{Incarnation: ident.Incarnation(incarnation), Session: uint32(session)},
		State:      state,
	}
}

func newRegistry(t *testing.T, maxChildren int) *Registry {
	t.Helper()
	registry, err := NewRegistry(RegistryOptions{Timeout: DefaultTimeout, MaxChildren: maxChildren})
	if err != nil {
		t.Fatal(err)
	}
	return registry
}

func newDirectory(t *testing.T, history int) *Directory {
	t.Helper()
	directory, err := NewDirectory(DirectoryOptions{MaxMembers: 100, History: history, Retention: time.Hour}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return directory
}

// Heartbeats arrive late, repeated or from an earlier incarnation of the sender.
// Each case checks the verdict on its last heartbeat. With a wrong verdict callers
// get the address of a dead process.
func TestHeartbeatVerdicts(t *testing.T) {
	type step struct {
		after time.Duration
		claim Member
	}
	cases := []struct {
		name  string
		steps []step
		want  Verdict
	}{
		{"first", []step{{0, claim("a", 1, 1, StateAlive)}}, VerdictAccepted},
		{"repeated", []step{{0, claim("a", 1, 1, StateAlive)}, {0, claim("a", 1, 1, StateAlive)}}, VerdictAccepted},
		{"earlier incarnation", []step{{0, claim("a", 2, 1, StateAlive)}, {0, claim("a", 1, 9, StateAlive)}}, VerdictStale},
		{"earlier session", []step{{0, claim("a", 1, 2, StateAlive)}, {0, claim("a", 1, 1, StateAlive)}}, VerdictStale},
		{"alive after draining", []step{{0, claim("a", 1, 1, StateDraining)}, {0, claim("a", 1, 1, StateAlive)}}, VerdictStale},
		{"silent, then the same session", []step{{0, claim("a", 1, 1, StateAlive)}, {3 * time.Second, claim("a", 1, 1, StateAlive)}}, VerdictStale},
		{"silent, then a new session", []step{{0, claim("a", 1, 1, StateAlive)}, {3 * time.Second, claim("a", 1, 2, StateAlive)}}, VerdictAccepted},
		{"too many children", []step{{0, claim("a", 1, 1, StateAlive)}, {0, claim("b", 1, 1, StateAlive)}, {0, claim("c", 1, 1, StateAlive)}}, VerdictFull},
		{"replaces a child that is down", []step{{0, claim("a", 1, 1, StateDown)}, {0, claim("b", 1, 1, StateAlive)}, {0, claim("c", 1, 1, StateAlive)}}, VerdictAccepted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			registry := newRegistry(t, 2)
			now := testStart
			var got Verdict
			for _, s := range c.steps {
				now = now.Add(s.after)
				registry.Tick(now)
				got = registry.Heartbeat(now, s.claim)
			}
			if got != c.want {
				t.Errorf("verdict %s, want %s", got, c.want)
			}
		})
	}
}

// A process sends heartbeats and then goes silent. Its parent must report it alive
// once and down once, however many heartbeats or ticks follow; otherwise the
// directory would be flooded with repeated claims.
func TestRegistryReportsEachChangeOnce(t *testing.T) {
	registry := newRegistry(t, 10)
	registry.Heartbeat(testStart, claim("a", 1, 1, StateAlive))
	if got := registry.Changes(); len(got) != 1 || got[0].State != StateAlive {
		t.Fatalf("changes %+v", got)
	}
	registry.Heartbeat(testStart.Add(time.Second), claim("a", 1, 1, StateAlive))
	if got := registry.Changes(); got != nil {
		t.Fatalf("a repeated heartbeat is reported as a change: %+v", got)
	}
	registry.Tick(testStart.Add(4 * time.Second))
	registry.Tick(testStart.Add(5 * time.Second))
	if got := registry.Changes(); len(got) != 1 || got[0].State != StateDown {
		t.Fatalf("changes %+v", got)
	}
}

// An entry loses its relay and attaches to another one. The "down" from the old
// relay has the earlier session and must be ignored in either order of arrival;
// otherwise callers would no longer get the entry's address.
func TestMoveBetweenParentsWithReportsInEitherOrder(t *testing.T) {
	moved := claim("a", 1, 2, StateAlive)
	lost := claim("a", 1, 1, StateDown)
	for _, reports := range [][2]Member{{moved, lost}, {lost, moved}} {
		directory := newDirectory(t, 10)
		directory.Merge(testStart, "relay-1", []Member{claim("a", 1, 1, StateAlive)})
		for _, report := range reports {
			directory.Merge(testStart, "relay-2", []Member{report})
		}
		directory.ParentLost(testStart, "relay-1")
		view := NewView()
		update, _ := directory.Since(view.Version())
		if err := view.Apply(update); err != nil {
			t.Fatal(err)
		}
		if got := view.Alive(RoleEntry, "hall-north"); len(got) != 1 {
			t.Errorf("reports %v leave %+v alive", reports, got)
		}
	}
}

// A draining entry accepts no new callers but still sends its queued requests.
// Messages between entries must go to alive and draining entries and to no others.
func TestPresentIncludesDraining(t *testing.T) {
	directory, view := newDirectory(t, 10), NewView()
	directory.Merge(testStart, "relay-1", []Member{claim("a", 1, 1, StateAlive), claim("b", 1, 1, StateDraining), claim("c", 1, 1, StateDown)})
	update, _ := directory.Since(view.Version())
	if err := view.Apply(update); err != nil {
		t.Fatal(err)
	}
	if alive, present := view.Alive(RoleEntry, ""), view.Present(RoleEntry, ""); len(alive) != 1 || len(present) != 2 {
		t.Errorf("alive %+v, present %+v", alive, present)
	}
}

// A relay crashes with processes attached. Its children that are not down must be
// marked down and those of other parents must not change; a second report of the
// same loss has no effect. Children that attach elsewhere have a later session.
func TestParentLostMarksItsChildrenDown(t *testing.T) {
	directory := newDirectory(t, 10)
	directory.Merge(testStart, "relay-1", []Member{claim("a", 1, 1, StateAlive), claim("b", 1, 1, StateDraining)})
	directory.Merge(testStart, "relay-2", []Member{claim("c", 1, 1, StateAlive)})
	if lost := directory.ParentLost(testStart, "relay-1"); lost != 2 {
		t.Errorf("%d members lost, want 2", lost)
	}
	if lost := directory.ParentLost(testStart, "relay-1"); lost != 0 {
		t.Errorf("%d members lost by a repeated report, want 0", lost)
	}
}

// A root is replaced while updates of the old root are still in transit. A view
// that applied them would list processes as alive that are known to be down.
func TestViewRefusesOlderUpdates(t *testing.T) {
	view := NewView()
	newest := Update{To: Version{Epoch: 2, Sequence: 1}, Snapshot: true, Members: []Member{claim("a", 1, 1, StateDown)}}
	if err := view.Apply(newest); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		update Update
		want   error
	}{
		{"snapshot of an earlier epoch", Update{To: Version{Epoch: 1, Sequence: 99}, Snapshot: true}, ErrStale},
		{"earlier snapshot of this epoch", Update{To: Version{Epoch: 2}, Snapshot: true}, ErrStale},
		{"delta with a gap", Update{From: Version{Epoch: 2, Sequence: 3}, To: Version{Epoch: 2, Sequence: 4}}, ErrGap},
		{"delta across epochs", Update{From: Version{Epoch: 1, Sequence: 1}, To: Version{Epoch: 3, Sequence: 1}}, ErrGap},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := view.Apply(c.update); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if m, _ := view.Lookup("a"); m.State != StateDown {
				t.Errorf("a is %s", m.State)
			}
		})
	}
}

// Views that get updates at random intervals, some so rarely that they need a
// snapshot, must end up equal to the directory.
func TestViewsConverge(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	directory := newDirectory(t, 8)
	views := []*View{NewView(), NewView(), NewView()}
	now := testStart
	for step := range 2000 {
		now = now.Add(time.Minute)
		host := fmt.Sprintf("h%d", rng.IntN(20))
		state := State(1 + rng.IntN(3))
		directory.Merge(now, "relay", []Member{claim(host, 1+step/100, 1+rng.IntN(3), state)})
		directory.Tick(now)
		for i, view := range views {
			if rng.IntN(1+10*i) == 0 {
				catchUp(t, directory, view)
			}
		}
	}
	for i, view := range views {
		catchUp(t, directory, view)
		if view.Len() != len(directory.members) {
			t.Errorf("view %d has %d members, directory %d", i, view.Len(), len(directory.members))
		}
		for host, e := range directory.members {
			if got, _ := view.Lookup(host); got != e.member {
				t.Errorf("view %d has %+v, directory %+v", i, got, e.member)
			}
		}
	}
}

func catchUp(t *testing.T, directory *Directory, view *View) {
	t.Helper()
	update, behind := directory.Since(view.Version())
	if !behind {
		return
	}
	if err := view.Apply(update); err != nil {
		t.Fatal(err)
	}
}
