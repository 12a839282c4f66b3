package steward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/resumption"
	"github.com/lovagereach/lovagereach/roster"
)

func announceSoftware(m *Machine, id, software string, state roster.State) {
	m.Apply(0, wire.MustMarshal(command{Upstream: &roster.Upstream{ID: id, Service: "llm", Address: id + ":1", State: state, Slots: 1, Software: software}}))
}

// Guards against a control host that takes a software version for the only one while callers may
// resume streams of another, also after it has been restarted.
func TestControlHostsKnowTheOnlySoftwareVersion(t *testing.T) {
	m := NewMachine()
	only := func(m *Machine, since time.Time) string {
		software, known := m.onlySoftware("llm", since)
		return fmt.Sprint(software, " ", known)
	}
	announceSoftware(m, "i-1", "v1", roster.Serving)
	announceSoftware(m, "i-2", "v1", roster.Serving)
	if got := only(m, time.Now()); got != "v1 true" {
		t.Errorf("one version: %s", got)
	}
	began := time.Now()
	announceSoftware(m, "i-3", "v2", roster.Serving)
	if got := only(m, began); got != "v1 true" {
		t.Errorf("a version that this leader has listed just now: %s", got)
	}
	if got := only(m, time.Now()); got[len(got)-5:] != "false" {
		t.Errorf("two versions: %s", got)
	}
	announceSoftware(m, "i-1", "", roster.Gone)
	announceSoftware(m, "i-2", "", roster.Gone)
	saved, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(saved); err != nil {
		t.Fatal(err)
	}
	for name, machine := range map[string]*Machine{"running": m, "restarted": restored} {
		if got := only(machine, time.Now()); got[len(got)-5:] != "false" {
			t.Errorf("%s, just after v1 has gone: %s", name, got)
		}
	}
}

// Guards against a control host that forgets a version sooner than callers let go of its streams,
// also after it has been restarted.
func TestControlHostsKnowHowLongCallersHoldOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMachine()
		d := testDocument(1, "x")
		d.Routes = []catalog.Route{{Name: "long", Kind: catalog.Stream, Resumable: true, Timeout: time.Minute}}
		m.Apply(0, wire.MustMarshal(command{Document: d}))
		announceSoftware(m, "i-1", "v1", roster.Serving)
		announceSoftware(m, "i-2", "v2", roster.Serving)
		announceSoftware(m, "i-1", "", roster.Gone)
		saved, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewMachine()
		if err := restored.Restore(saved); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Second)
		for name, machine := range map[string]*Machine{"running": m, "restarted": restored} {
			if _, known := machine.onlySoftware("llm", time.Now()); known {
				t.Errorf("%s: known 100 s after v1 has gone", name)
			}
		}
		time.Sleep(30 * time.Second)
		for name, machine := range map[string]*Machine{"running": m, "restarted": restored} {
			if software, known := machine.onlySoftware("llm", time.Now()); !known || software != "v2" {
				t.Errorf("%s: %q, %v 130 s after v1 has gone", name, software, known)
			}
		}
	})
}

// Guards against a control host that forgets what began a stream while a caller who may wait for long
// still holds on to it.
func TestControlHostsKeepOriginsForAsLongAsCallersHoldOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Steward{machine: NewMachine(), relay: newRelayState(NewMachine(), newSharedIndex(), nil)}
		s.origins.records = resumption.NewRecords()
		d := testDocument(1, "x")
		d.Routes = []catalog.Route{{Name: "long", Kind: catalog.Stream, Resumable: true, Timeout: time.Minute}}
		s.machine.Apply(0, wire.MustMarshal(command{Document: d}))
		key := resumption.NewKey("growers", "id-1")
		exchange := func(request *OriginRequest) *OriginAnswer {
			raw, err := s.handleOrigin(t.Context(), port.Peer{}, methodOrigin, wire.MustMarshal(request))
			if err != nil {
				t.Fatal(err)
			}
			answer := &OriginAnswer{}
			if err := wire.Unmarshal(raw, answer); err != nil {
				t.Fatal(err)
			}
			return answer
		}
		exchange(&OriginRequest{Records: []resumption.Record{{Key: key, Origin: resumption.Origin{Service: "llm", Software: "v1"}, Send: 1}}})
		time.Sleep(110 * time.Second)
		if answer := exchange(&OriginRequest{Find: &key, Service: "llm"}); answer.Found == nil {
			t.Error("not found 110 s after it was recorded")
		}
	})
}

// Guards against records of streams that an entry can't find after the entry that made them, and
// one control host, have ended.
func TestOriginsAreFoundAfterTheLossOfAHost(t *testing.T) {
	f := newTestGroup(t)
	f.startThree()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, second := f.startReporting(ctx, "127.0.0.31"), f.startReporting(ctx, "127.0.0.32")
	f.await("both entries know the control hosts", func() bool {
		return len(first.follower.Hosts()) == 3 && len(second.follower.Hosts()) == 3 && second.follower.Leader() != ""
	})
	key, want := resumption.NewKey("growers", "id-1"), resumption.Origin{Service: "llm", Software: "v2"}
	for _, host := range resumption.Holders(key, first.follower.Hosts()) {
		if _, err := first.follower.ExchangeOrigins(ctx, host, &OriginRequest{Records: []resumption.Record{{Key: key, Origin: want, Send: 1}}}); err != nil {
			t.Fatal(err)
		}
	}
	hosts := second.follower.Hosts()
	f.kill(hostName(2))
	found := 0
	for _, host := range hosts {
		bound, stop := context.WithTimeout(ctx, time.Second)
		answer, err := second.follower.ExchangeOrigins(bound, host, &OriginRequest{Find: &key, Service: "llm"})
		stop()
		switch {
		case host == string(hostName(2)) && err == nil:
			t.Error("a host that has ended answers")
		case err != nil:
		case answer.Found == nil || answer.Found.Origin != want:
			t.Errorf("%s: found %+v", host, answer.Found)
		default:
			found++
		}
	}
	if found != 2 {
		t.Errorf("found at %d hosts", found)
	}
}
