package roster

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func startedAt(ms uint64, u Upstream) Upstream {
	u.StartedMs = ms
	return u
}

func withVersion(version uint64, u Upstream) Upstream {
	u.Loaded = []Loaded{{"m", version}}
	return u
}

// Guards against prompts that a runner refuses repeatedly: the runner had loaded version 5,
// crashed and restarted under its name with version 1 and a new sequence, and the hosts
// treated its announcements as stale ones of the previous incarnation.
func TestNewerIncarnationReplacesRecord(t *testing.T) {
	for _, previous := range []State{Serving, Leaving, Gone} {
		r := New()
		r.Announce(startedAt(1000, withVersion(5, announcement("a", 70, Serving))))
		r.Announce(startedAt(1000, withVersion(5, announcement("a", 71, previous))))
		next := startedAt(2000, withVersion(1, announcement("a", 1, Serving)))
		next.Address, next.Service, next.Slots = "10.0.0.2:80", "other", 9
		if !r.Announce(next) {
			t.Fatalf("after %v: the newer incarnation changed nothing", previous)
		}
		if u, _ := r.Get("a"); !same(&u, &next) || u.Sequence != 1 || u.StartedMs != 2000 || len(r.Live()) != 1 {
			t.Fatalf("after %v: record is %+v", previous, u)
		}
	}
}

// An announcement of the crashed incarnation arrives seconds late. It must neither restore
// the old version nor end the newer incarnation.
func TestStaleAnnouncementOfPreviousIncarnationChangesNothing(t *testing.T) {
	r := New()
	current := startedAt(2000, withVersion(3, announcement("a", 1, Serving)))
	r.Announce(current)
	for _, late := range []Upstream{
		startedAt(1000, withVersion(5, announcement("a", 90, Serving))), startedAt(1000, announcement("a", 91, Leaving)),
		startedAt(1000, Upstream{ID: "a", State: Gone}), startedAt(1000, withVersion(3, announcement("a", 92, Gone))),
	} {
		if r.Changes(late) || r.Announce(late) {
			t.Errorf("%v of the previous incarnation changed the record", late.State)
		}
		if !r.Outdated(late) {
			t.Errorf("%v of the previous incarnation is not outdated", late.State)
		}
	}
	if u, _ := r.Get("a"); !same(&u, &current) || u.StartedMs != 2000 {
		t.Fatalf("record is %+v", u)
	}
	if r.Outdated(current) || r.Outdated(Upstream{ID: "b", StartedMs: 1}) {
		t.Fatal("an announcement of the current incarnation is outdated")
	}
}

// A departure without a start time ends the known incarnation, because its answer promises
// that no new work arrives; the next incarnation serves again. The departure of an unknown
// runner ends the first incarnation that is announced afterwards.
func TestDepartureWithoutStartTime(t *testing.T) {
	r := New()
	r.Announce(startedAt(1000, announcement("a", 4, Serving)))
	r.Announce(Upstream{ID: "a", State: Gone})
	r.Announce(startedAt(1000, announcement("a", 5, Serving)))
	if u, _ := r.Get("a"); u.State != Gone || u.StartedMs != 1000 {
		t.Fatalf("after the departure: %+v", u)
	}
	r.Announce(Upstream{ID: "b", State: Gone})
	r.Announce(startedAt(1000, announcement("b", 5, Serving)))
	if u, _ := r.Get("b"); u.State != Gone || u.StartedMs != 1000 {
		t.Fatalf("after a departure that overtook the first announcement: %+v", u)
	}
	for _, id := range []string{"a", "b"} {
		r.Announce(startedAt(2000, announcement(id, 1, Serving)))
	}
	if len(r.Live()) != 2 {
		t.Fatalf("live in the next incarnation: %+v", r.Live())
	}
}

// A runner that restarted after its departure is not in the list of departed upstreams any
// more: the limit of that list must not drop it while it serves, nor, if it leaves again,
// count its first departure.
func TestRestartedUpstreamSurvivesLimitOfGone(t *testing.T) {
	r := New()
	r.Announce(startedAt(1000, announcement("a", 1, Serving)))
	r.Announce(Upstream{ID: "a", State: Gone})
	r.Announce(startedAt(2000, announcement("a", 1, Serving)))
	for i := range MaxGone + 1 {
		r.Announce(Upstream{ID: string(rune('0'+i%10)) + string(rune(0x4e00+i)), State: Gone})
	}
	if len(r.Live()) != 1 {
		t.Fatal("a runner that serves was dropped")
	}
}

// Records of a log or snapshot without the start time field are read and adopt the first
// start time that is announced.
func TestRecordsWithoutStartTimeAreRead(t *testing.T) {
	type oldUpstream struct {
		ID       string `cbor:"1,keyasint"`
		Service  string `cbor:"2,keyasint"`
		State    State  `cbor:"5,keyasint"`
		Sequence uint64 `cbor:"7,keyasint"`
	}
	raw, err := cbor.Marshal(oldUpstream{ID: "a", Service: "llm", State: Leaving, Sequence: 9})
	if err != nil {
		t.Fatal(err)
	}
	var read Upstream
	if err := cbor.Unmarshal(raw, &read); err != nil || read.ID != "a" || read.StartedMs != 0 {
		t.Fatalf("read %+v, %v", read, err)
	}
	r := New()
	r.Restore(Saved{Upstreams: []Upstream{read}, Revision: 1})
	if r.ReportsStartTimes() {
		t.Fatal("a start time is reported although none was announced")
	}
	r.Announce(startedAt(1000, announcement("a", 10, Serving)))
	again := New()
	if again.Restore(r.Save()); !r.ReportsStartTimes() || !again.ReportsStartTimes() {
		t.Fatal("an announced start time is not reported")
	}
	if u, _ := r.Get("a"); u.State != Leaving || u.StartedMs != 1000 {
		t.Fatalf("record is %+v", u)
	}
	r.Announce(announcement("a", 11, Serving))
	if u, _ := r.Get("a"); u.StartedMs != 1000 {
		t.Fatalf("an announcement without a start time removed it: %+v", u)
	}
}

// Another writer was first to announce a runner, for an unconfigured service, with a later
// start time, a higher sequence and state Leaving. The runner's own announcement, accepted
// as genuine by the caller of Announce, must still be applied; a runner that announced its
// departure stays gone.
func TestAnotherServiceReplacesTheRecord(t *testing.T) {
	r := New()
	forged := startedAt(3000, announcement("a", 900, Leaving))
	forged.Service = "nobody"
	r.Announce(forged)
	own := startedAt(2000, announcement("a", 1, Serving))
	if r.Outdated(own) || !r.Announce(own) {
		t.Fatal("the runner's own announcement was not applied")
	}
	if u, _ := r.Get("a"); !same(&u, &own) || u.Sequence != 1 {
		t.Fatalf("record is %+v", u)
	}
	r.Announce(Upstream{ID: "a", State: Gone})
	forged.StartedMs = 2000
	r.Announce(forged)
	if len(r.Live()) != 0 {
		t.Fatal("an announcement for another service revived a departed runner")
	}
}
