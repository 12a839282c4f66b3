package steward

import (
	"bytes"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/evacuation"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quarantine"
	"github.com/lovagereach/lovagereach/roster"
)

// fuzzCommands are commands of each kind.
func fuzzCommands() []command {
	up := roster.Upstream{ID: "a", Service: "llm", Address: "10.0.0.1:1", DataCentre: "north", State: roster.Serving, Slots: 4, Sequence: 1,
		Loaded: []roster.Loaded{{Model: "m", Version: 1}}, StartedMs: 1000, ColdMs: 5, Software: "v1"}
	gone := up
	gone.State, gone.StartedMs, gone.Supersedes = roster.Gone, 900, 1000
	at := quarantine.Incarnation{Upstream: "a", StartedMs: 1000}
	return []command{
		{Document: &catalog.Document{Version: 1, Source: []byte("x"), Services: []catalog.Service{{Name: "llm", Engine: &catalog.Engine{Slots: 4}, ColdPerS: 2}}}},
		{Weights: &roster.Loaded{Model: "m", Version: 2}, Naming: &Naming{Host: "c1", AtMs: 5}}, {Minimum: &minimumVersion{Model: "m", Version: 2, Age: time.Second}},
		{Upstream: &up}, {Upstreams: []roster.Upstream{up, gone}}, {StoreIncarnation: &storeIncarnation{Address: "store:1", Incarnation: 7}},
		{Report: &Report{Crashes: []quarantine.Crash{{Incarnation: at, Fingerprints: []quarantine.Fingerprint{{1}}, Parts: []quarantine.Fingerprint{{2}}}}}},
		{Report: &Report{Served: []quarantine.Fingerprint{{1}}, Unused: [][]quarantine.Fingerprint{{{2}}}, Unserved: []quarantine.Fingerprint{{2}}}},
		{Forget: []quarantine.Incarnation{at}}, {Trial: []quarantine.Fingerprint{{2}}}, {Learned: []byte("x")}, {Evacuate: &evacuation.Order{DataCentre: "north"}},
	}
}

// fillAll asks a machine for all that it tells watchers.
func fillAll(m *Machine) {
	m.fill(&WatchRequest{Entry: &EntryView{Host: "e1"}}, &WatchAnswer{})
	m.fill(&WatchRequest{Relay: true}, &WatchAnswer{})
	m.targetVersions()
}

// Guards against a committed command or a snapshot of another release, with fields missing or values that can't be,
// that ends every host which applies it, also after a restart.
func FuzzMachine(f *testing.F) {
	full, commands := NewMachine(), fuzzCommands()
	for i := range commands {
		data := wire.MustMarshal(commands[i])
		full.Apply(1, data)
		f.Add(data, wire.MustMarshal(commands[(i+1)%len(commands)]), true)
	}
	snapshot, err := full.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot, wire.MustMarshal(commands[3]), false)
	f.Fuzz(func(t *testing.T, first, second []byte, apply bool) {
		m := NewMachine()
		if apply {
			m.Apply(1, first)
		} else if m.Restore(first) != nil {
			return
		}
		fillAll(m)
		m.Apply(2, second)
		m.Apply(3, first)
		fillAll(m)
		saved, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewMachine()
		if err := restored.Restore(saved); err != nil {
			t.Fatalf("its own snapshot: %v", err)
		}
		fillAll(restored)
		if again, err := restored.Snapshot(); err != nil || !bytes.Equal(saved, again) {
			t.Errorf("the snapshot differs after a restart: %v", err)
		}
	})
}
