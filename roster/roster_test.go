package roster

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

func beat(id string, sequence uint64, state State) Upstream {
	return Upstream{ID: id, Service: "llm", Address: "10.0.0.1:80", DataCentre: "north", State: state, Slots: 4, Sequence: sequence}
}

// A caller's request would reach a runner that was promised no more work. The
// runner says that it leaves and is answered; then its announcement from before,
// held up on the way, arrives.
func TestLeavingIsForGood(t *testing.T) {
	r := New()
	r.Announce(beat("a", 1, Serving))
	r.Announce(beat("a", 5, Leaving))
	for _, late := range []Upstream{beat("a", 4, Serving), beat("a", 6, Serving)} {
		r.Announce(late)
		if u, _ := r.Get("a"); u.State != Leaving {
			t.Fatalf("after announcement %d the runner is %v", late.Sequence, u.State)
		}
	}
	r.Announce(Upstream{ID: "a", State: Gone})
	r.Announce(beat("a", 9, Serving))
	if u, _ := r.Get("a"); u.State != Gone || len(r.Live()) != 0 {
		t.Fatalf("after its farewell the runner is %v, live %v", u.State, r.Live())
	}
}

func TestFarewellOfAnUnknownUpstreamIsKept(t *testing.T) {
	r := New()
	r.Announce(Upstream{ID: "a", State: Gone})
	r.Announce(beat("a", 1, Serving))
	if len(r.Live()) != 0 {
		t.Fatal("an announcement that came after the farewell brought the upstream in")
	}
}

// Announcements come every second from each upstream; only changes may cost a
// place in the replicated log.
func TestRepeatedAnnouncementsChangeNothing(t *testing.T) {
	r := New()
	if !r.Announce(beat("a", 1, Serving)) {
		t.Fatal("the first changed nothing")
	}
	before := r.Revision()
	for sequence := uint64(2); sequence < 10; sequence++ {
		if r.Changes(beat("a", sequence, Serving)) || r.Announce(beat("a", sequence, Serving)) {
			t.Fatalf("announcement %d changed something", sequence)
		}
	}
	if r.Revision() != before {
		t.Fatalf("revision went from %d to %d", before, r.Revision())
	}
}

// A runner has loaded new weights, as its report told; an announcement that it
// sent before must not make requests ask for the old ones.
func TestLoadedVersionsOnlyGrow(t *testing.T) {
	r := New()
	old := beat("a", 1, Serving)
	old.Loaded = []Loaded{{"m", 1}}
	r.Announce(old)
	loaded := beat("a", 1, Serving)
	loaded.Loaded = []Loaded{{"m", 2}}
	r.Announce(loaded)
	late := beat("a", 2, Serving)
	late.Loaded = []Loaded{{"m", 1}}
	r.Announce(late)
	if u, _ := r.Get("a"); u.VersionOf("m") != 2 {
		t.Fatalf("version %d, want 2", u.VersionOf("m"))
	}
}

func TestGoneUpstreamsAreBounded(t *testing.T) {
	r := New()
	for i := range MaxGone + 100 {
		r.Announce(Upstream{ID: fmt.Sprint(i), State: Gone})
	}
	if got := len(r.Save().Upstreams); got != MaxGone {
		t.Fatalf("%d departed upstreams are kept, want %d", got, MaxGone)
	}
}

func TestRestoreGivesTheSameState(t *testing.T) {
	r := New()
	r.Announce(beat("b", 1, Serving))
	r.Announce(beat("a", 3, Leaving))
	r.Announce(Upstream{ID: "c", State: Gone})
	other := New()
	other.Restore(r.Save())
	if !reflect.DeepEqual(r.Live(), other.Live()) || r.Revision() != other.Revision() {
		t.Fatalf("restored %v at %d, want %v at %d", other.Live(), other.Revision(), r.Live(), r.Revision())
	}
	other.Announce(beat("c", 9, Serving))
	if len(other.Live()) != 2 {
		t.Fatal("a restored roster forgot who is gone")
	}
}

// An entry that holds an older revision is told what changed since, and nothing else.
// Told too little, it would send requests to upstreams that have left for as long as it
// runs. A thousand random changes, with readers that lag, skip and come new, and a host
// that goes on from a snapshot between.
func TestChangesSinceARevisionLeadToTheRoster(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 2))
	r := New()
	type reader struct {
		revision uint64
		listing  bool
		held     map[string]Upstream
	}
	readers := make([]reader, 4)
	whole, parts := 0, 0
	for step := range 1000 {
		r.Announce(Upstream{
			ID: fmt.Sprint("u", random.IntN(30)), Service: "s", Address: fmt.Sprint("a", random.IntN(9)),
			State: State(1 + random.IntN(3)), Sequence: uint64(step), StartedMs: uint64(1 + step/50),
		})
		if step%300 == 299 {
			saved := r.Save()
			r = New()
			r.Restore(saved)
		}
		reader := &readers[random.IntN(len(readers))]
		if reader.held == nil || random.IntN(3) > 0 {
			if reader.held == nil || !reader.listing && !r.Covers(reader.revision) {
				whole++
				reader.held, reader.revision, reader.listing = make(map[string]Upstream), 0, true
			} else {
				parts++
			}
			changed, upTo := r.Page(reader.revision, 7)
			if len(changed) > 7 {
				t.Fatalf("%d upstreams on a page", len(changed))
			}
			for _, u := range changed {
				reader.held[u.ID] = u
				if u.State == Gone {
					delete(reader.held, u.ID)
				}
			}
			if reader.revision = upTo; upTo < r.Revision() {
				continue
			}
			reader.listing = false
			live := r.Live()
			if len(live) != len(reader.held) {
				t.Fatalf("step %d: holds %d of %d upstreams", step, len(reader.held), len(live))
			}
			for _, u := range live {
				if h := reader.held[u.ID]; !same(&h, &u) {
					t.Fatalf("step %d: holds %+v of %+v", step, h, u)
				}
			}
		}
	}
	if parts < 10*whole {
		t.Errorf("told all %d times, changes %d times", whole, parts)
	}
}
