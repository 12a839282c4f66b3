package config

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lovagereach/lovagereach/internal/wire"
)

var teamCounts = []int{1_000, 10_000, 27_000}

// loadedState returns a state with a document of the given number of teams.
func loadedState(b *testing.B, teams int) *State {
	b.Helper()
	state := NewState()
	if got := state.Apply(command(state, "first", 0, testDocument(teams))); got.Verdict != VerdictApplied {
		b.Fatalf("%+v", got)
	}
	return state
}

// changeTeamCommand returns a command that replaces the token of one team.
func changeTeamCommand(state *State, teams, n int) Command {
	team := testTeam(n % teams)
	team.Tokens = []TokenDigest{DigestToken(fmt.Sprint(n))}
	base := state.Current().Revision()
	delta := Delta{From: base}
	delta.Teams.Put = []Team{team}
	return Command{RequestID: fmt.Sprint(n), Author: "ana", Base: base, Delta: delta}
}

func BenchmarkTeamByToken(b *testing.B) {
	for _, teams := range teamCounts {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			current := loadedState(b, teams).Current()
			digest := testTeam(teams / 2).Tokens[0]
			for b.Loop() {
				if _, found := current.TeamByToken(digest); !found {
					b.Fatal("team not found")
				}
			}
		})
	}
}

func BenchmarkStateApplyOneTeam(b *testing.B) {
	for _, teams := range teamCounts {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			state := loadedState(b, teams)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				if got := state.Apply(changeTeamCommand(state, teams, n)); got.Verdict != VerdictApplied {
					b.Fatalf("%+v", got)
				}
			}
		})
	}
}

func BenchmarkSnapshotMemory(b *testing.B) {
	for _, teams := range teamCounts {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			doc := testDocument(teams)
			var kept *Snapshot
			before := heapBytes()
			for b.Loop() {
				kept, _ = NewSnapshot(1, doc)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(teams)*1000, "B/1000teams")
			runtime.KeepAlive(kept)
		})
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkCatchUp measures an update for a follower that lacks a number of
// changes of different teams out of 27,000.
func BenchmarkCatchUp(b *testing.B) {
	const teams = 27_000
	for _, pending := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("pending=", pending), func(b *testing.B) {
			state := loadedState(b, teams)
			behind := NewFollower()
			if _, err := behind.Apply(state.Since(0)); err != nil {
				b.Fatal(err)
			}
			start := behind.Current()
			for n := range pending {
				state.Apply(changeTeamCommand(state, teams, n))
			}
			bytes, full := 0, 0.0
			for b.Loop() {
				update := state.Since(start.Revision())
				bytes = len(wire.MustMarshal(update))
				if update.Full != nil {
					full = 1
				}
				follower := &Follower{current: start}
				if moved, err := follower.Apply(update); !moved || err != nil {
					b.Fatal(moved, err)
				}
			}
			b.ReportMetric(float64(bytes), "B/update")
			b.ReportMetric(full, "full")
		})
	}
}

// BenchmarkRestore measures the restoration of a control host's state from its
// snapshot after a number of changes.
func BenchmarkRestore(b *testing.B) {
	const teams = 27_000
	for _, changes := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("changes=", changes), func(b *testing.B) {
			state := loadedState(b, teams)
			for n := range changes {
				state.Apply(changeTeamCommand(state, teams, n))
			}
			data := wire.MustMarshal(state.Image())
			for b.Loop() {
				var image Image
				if err := wire.Unmarshal(data, &image); err != nil {
					b.Fatal(err)
				}
				if _, err := FromImage(image); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/snapshot")
		})
	}
}

// The allocations of one change must not grow with the number of teams, and the
// message of a change must stay small.
func TestChangeCostIsIndependentOfTeamCount(t *testing.T) {
	const maxAllocations, maxDeltaBytes = 120, 256
	for _, teams := range []int{100, 10_000} {
		snapshot, err := NewSnapshot(1, testDocument(teams))
		if err != nil {
			t.Fatal(err)
		}
		team := testTeam(7)
		team.Tokens = []TokenDigest{DigestToken("new")}
		delta := Delta{From: 1, To: 2}
		delta.Teams.Put = []Team{team}
		allocations := testing.AllocsPerRun(50, func() {
			if snapshot.Check(delta) != nil {
				t.Fatal("valid delta was refused")
			}
			snapshot.Apply(delta)
		})
		if allocations > maxAllocations {
			t.Errorf("%d teams: %v allocations for one change", teams, allocations)
		}
		if size := len(wire.MustMarshal(Update{Delta: &delta})); size > maxDeltaBytes {
			t.Errorf("a change of one team takes %d bytes", size)
		}
	}
}
