package roster

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func born(life uint64, u Upstream) Upstream {
	u.StartedMs = life
	return u
}

func loaded(version uint64, u Upstream) Upstream {
	u.Loaded = []Loaded{{"m", version}}
	return u
}

// A caller's prompt would be refused by a runner again and again. The runner had
// come to version 5, crashed and started again under its name with version 1 and
// a count that begins anew; the hosts took its words for late ones of before.
func TestLaterLifeReplacesAllThatIsKnown(t *testing.T) {
	for _, former := range []State{Serving, Leaving, Gone} {
		r := New()
		r.Announce(born(1000, loaded(5, beat("a", 70, Serving))))
		r.Announce(born(1000, loaded(5, beat("a", 71, former))))
		next := born(2000, loaded(1, beat("a", 1, Serving)))
		next.Address, next.Service, next.Slots = "10.0.0.2:80", "other", 9
		if !r.Announce(next) {
			t.Fatalf("after %v: the later life changed nothing", former)
		}
		if u, _ := r.Get("a"); !same(&u, &next) || u.Sequence != 1 || u.StartedMs != 2000 || len(r.Live()) != 1 {
			t.Fatalf("after %v: known is %+v", former, u)
		}
	}
}

// A heartbeat of the crashed life is held up on its way for seconds. It must
// neither bring old weights back nor end the life that follows.
func TestLateWordOfAFormerLifeChangesNothing(t *testing.T) {
	r := New()
	now := born(2000, loaded(3, beat("a", 1, Serving)))
	r.Announce(now)
	for _, late := range []Upstream{
		born(1000, loaded(5, beat("a", 90, Serving))), born(1000, beat("a", 91, Leaving)),
		born(1000, Upstream{ID: "a", State: Gone}), born(1000, loaded(3, beat("a", 92, Gone))),
	} {
		if r.Changes(late) || r.Announce(late) {
			t.Errorf("%v of the former life changed something", late.State)
		}
		if !r.Outdated(late) {
			t.Errorf("%v of the former life counts as a sign of this one", late.State)
		}
	}
	if u, _ := r.Get("a"); !same(&u, &now) || u.StartedMs != 2000 {
		t.Fatalf("known is %+v", u)
	}
	if r.Outdated(now) || r.Outdated(Upstream{ID: "b", StartedMs: 1}) {
		t.Fatal("a word of the present life counts as late")
	}
}

// A farewell without a birth ends the life that is known, for the answer to it
// promises that no new work comes; the next life serves again. One of a runner
// that nobody knew ends the first life that is heard of afterwards.
func TestFarewellWithoutBirth(t *testing.T) {
	r := New()
	r.Announce(born(1000, beat("a", 4, Serving)))
	r.Announce(Upstream{ID: "a", State: Gone})
	r.Announce(born(1000, beat("a", 5, Serving)))
	if u, _ := r.Get("a"); u.State != Gone || u.StartedMs != 1000 {
		t.Fatalf("after the farewell: %+v", u)
	}
	r.Announce(Upstream{ID: "b", State: Gone})
	r.Announce(born(1000, beat("b", 5, Serving)))
	if u, _ := r.Get("b"); u.State != Gone || u.StartedMs != 1000 {
		t.Fatalf("after a farewell that overtook the first word: %+v", u)
	}
	for _, id := range []string{"a", "b"} {
		r.Announce(born(2000, beat(id, 1, Serving)))
	}
	if len(r.Live()) != 2 {
		t.Fatalf("live in the next life: %+v", r.Live())
	}
}

// A runner that came back from its farewell is no longer among the departed: the
// bound on these must not drop it while it serves, nor one that left again as if
// it had left first.
func TestReturnedUpstreamOutlivesTheBoundOnTheGone(t *testing.T) {
	r := New()
	r.Announce(born(1000, beat("a", 1, Serving)))
	r.Announce(Upstream{ID: "a", State: Gone})
	r.Announce(born(2000, beat("a", 1, Serving)))
	for i := range MaxGone + 1 {
		r.Announce(Upstream{ID: string(rune('0'+i%10)) + string(rune(0x4e00+i)), State: Gone})
	}
	if len(r.Live()) != 1 {
		t.Fatal("a runner that serves was forgotten")
	}
}

// A log or snapshot from before the field is read, and what it knows goes on
// under the first birth that is told.
func TestRecordsWithoutBirthAreRead(t *testing.T) {
	type former struct {
		ID       string `cbor:"1,keyasint"`
		Service  string `cbor:"2,keyasint"`
		State    State  `cbor:"5,keyasint"`
		Sequence uint64 `cbor:"7,keyasint"`
	}
	raw, err := cbor.Marshal(former{ID: "a", Service: "llm", State: Leaving, Sequence: 9})
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
		t.Fatal("births are told where none was")
	}
	r.Announce(born(1000, beat("a", 10, Serving)))
	again := New()
	if again.Restore(r.Save()); !r.ReportsStartTimes() || !again.ReportsStartTimes() {
		t.Fatal("a birth that was told is not known")
	}
	if u, _ := r.Get("a"); u.State != Leaving || u.StartedMs != 1000 {
		t.Fatalf("known is %+v", u)
	}
	r.Announce(beat("a", 11, Serving))
	if u, _ := r.Get("a"); u.StartedMs != 1000 {
		t.Fatalf("a word without a birth took it away: %+v", u)
	}
}

// Another writer was first to announce a runner, for a service that nobody named,
// with a later birth, a higher count and a leave. The runner's own word, which
// whoever takes it in holds for the true one, must bring it in all the same; one
// that has said farewell stays away.
func TestAnotherServiceReplacesTheRecord(t *testing.T) {
	r := New()
	foreign := born(3000, beat("a", 900, Leaving))
	foreign.Service = "nobody"
	r.Announce(foreign)
	own := born(2000, beat("a", 1, Serving))
	if r.Outdated(own) || !r.Announce(own) {
		t.Fatal("the runner's own word is a late one")
	}
	if u, _ := r.Get("a"); !same(&u, &own) || u.Sequence != 1 {
		t.Fatalf("known is %+v", u)
	}
	r.Announce(Upstream{ID: "a", State: Gone})
	foreign.StartedMs = 2000
	r.Announce(foreign)
	if len(r.Live()) != 0 {
		t.Fatal("another service brought a runner back from its farewell")
	}
}
