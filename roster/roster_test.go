package roster

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

func announcement(id string, sequence uint64, state State) Upstream {
	return Upstream{ID: id, Service: "llm", Address: "10.0.0.1:80", DataCentre: "north", State: state, Slots: 4, Sequence: sequence}
}

// Guards against requests to a runner that was promised no new work: the runner announces
// that it leaves and is answered, then an earlier announcement arrives late.
func TestLeavingIsFinal(t *testing.T) {
	r := New()
	r.Announce(announcement("a", 1, Serving))
	r.Announce(announcement("a", 5, Leaving))
	for _, late := range []Upstream{announcement("a", 4, Serving), announcement("a", 6, Serving)} {
		r.Announce(late)
		if u, _ := r.Get("a"); u.State != Leaving {
			t.Fatalf("after announcement %d the runner is %v", late.Sequence, u.State)
		}
	}
	r.Announce(Upstream{ID: "a", State: Gone})
	r.Announce(announcement("a", 9, Serving))
	if u, _ := r.Get("a"); u.State != Gone || len(r.Live()) != 0 {
		t.Fatalf("after its departure the runner is %v, live %v", u.State, r.Live())
	}
}

// A departure that overtakes the upstream's first announcement keeps it gone.
func TestDepartureOfUnknownUpstreamIsKept(t *testing.T) {
	r := New()
	r.Announce(Upstream{ID: "a", State: Gone})
	r.Announce(announcement("a", 1, Serving))
	if len(r.Live()) != 0 {
		t.Fatal("an announcement after the departure added the upstream")
	}
}

// Each upstream announces itself every second; only changes may take an entry in the
// replicated log.
func TestRepeatedAnnouncementsChangeNothing(t *testing.T) {
	r := New()
	if !r.Announce(announcement("a", 1, Serving)) {
		t.Fatal("the first announcement changed nothing")
	}
	before := r.Revision()
	for sequence := uint64(2); sequence < 10; sequence++ {
		if r.Changes(announcement("a", sequence, Serving)) || r.Announce(announcement("a", sequence, Serving)) {
			t.Fatalf("announcement %d changed something", sequence)
		}
	}
	if r.Revision() != before {
		t.Fatalf("revision went from %d to %d", before, r.Revision())
	}
}

// A runner has reported new weights; an announcement that it sent before must not make
// requests ask for the old version.
func TestLoadedVersionsOnlyGrow(t *testing.T) {
	r := New()
	old := announcement("a", 1, Serving)
	old.Loaded = []Loaded{{"m", 1}}
	r.Announce(old)
	newer := announcement("a", 1, Serving)
	newer.Loaded = []Loaded{{"m", 2}}
	r.Announce(newer)
	late := announcement("a", 2, Serving)
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
	r.Announce(announcement("b", 1, Serving))
	r.Announce(announcement("a", 3, Leaving))
	r.Announce(Upstream{ID: "c", State: Gone})
	other := New()
	other.Restore(r.Save())
	if !reflect.DeepEqual(r.Live(), other.Live()) || r.Revision() != other.Revision() {
		t.Fatalf("restored %v at %d, want %v at %d", other.Live(), other.Revision(), r.Live(), r.Revision())
	}
	other.Announce(announcement("c", 9, Serving))
	if len(other.Live()) != 2 {
		t.Fatal("a restored roster lost a departed upstream")
	}
}

// An entry with an older revision is sent the changes since and nothing else. If a change
// were missing, it would send requests to departed upstreams for as long as it runs. 1,000
// random changes, with readers that lag, skip or are new, and restores from snapshots.
func TestPagesSinceRevisionReproduceRoster(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 2))
	r := New()
	type reader struct {
		revision uint64
		listing  bool
		held     map[string]Upstream
	}
	readers := make([]reader, 4)
	complete, incremental := 0, 0
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
				complete++
				reader.held, reader.revision, reader.listing = make(map[string]Upstream), 0, true
			} else {
				incremental++
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
	if incremental < 10*complete {
		t.Errorf("%d complete listings, %d incremental ones", complete, incremental)
	}
}

// Guards against a roster that keeps the software version of a previous incarnation, or loses it
// with a departure that names none.
func TestSoftwareVersionIsThatOfTheIncarnation(t *testing.T) {
	r := New()
	announce := func(started, sequence uint64, software string) Upstream {
		r.Announce(Upstream{ID: "i-1", Service: "llm", Address: "a:1", State: Serving, StartedMs: started, Sequence: sequence, Software: software})
		u, _ := r.Get("i-1")
		return u
	}
	if u := announce(1000, 5, "v1"); u.Software != "v1" {
		t.Errorf("first incarnation: %q", u.Software)
	}
	revision := r.Revision()
	if u := announce(2000, 1, "v2"); u.Software != "v2" || r.Revision() == revision {
		t.Errorf("second incarnation: %q, revision %d after %d", u.Software, r.Revision(), revision)
	}
	if u := announce(1000, 9, "v1"); u.Software != "v2" {
		t.Errorf("after a stale announcement: %q", u.Software)
	}
	r.Announce(Upstream{ID: "i-1", State: Gone})
	if u, _ := r.Get("i-1"); u.Software != "v2" {
		t.Errorf("after its departure: %q", u.Software)
	}
}
