package controlhost

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control"
)

// BenchmarkApplyUntilInForce measures the time from an operator's request until the
// change is in force at nine entries, with three control hosts that sync to disk and
// all connections on loopback.
func BenchmarkApplyUntilInForce(b *testing.B) {
	const entries = 9
	g := newGroup(b)
	g.awaitVoters(3)
	for i := range entries {
		g.entry(ident.Host(fmt.Sprint("entry-", i)))
	}
	revision := g.apply("first", 0, "30s").Revision
	waitFor(b, "serving leases of all entries", func() bool {
		leading := g.hosts[g.leader()].host.Server().Status().Leading
		return leading != nil && len(leading.Entries) == entries
	})
	var times []time.Duration
	for b.Loop() {
		start := time.Now()
		answer := g.apply(fmt.Sprint("r", revision), revision, fmt.Sprintf("%dms", 30_000+revision))
		times = append(times, time.Since(start))
		if answer.Verdict != config.VerdictApplied || !answer.InForce {
			b.Fatalf("%+v", answer)
		}
		revision = answer.Revision
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkRestart measures the time from the start of a control host until it leads
// and has the latest revision, after a number of changes of one team each.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("changes=", changes), func(b *testing.B) {
			const name = ident.Host("control-0")
			g := newGroupOf(b, 1)
			g.awaitVoters(1)
			revision := g.apply("first", 0, "30s").Revision
			for range changes {
				revision = g.changeTeam(revision)
			}
			for b.Loop() {
				g.restart(name, false)
				waitFor(b, "the latest revision", func() bool {
					status := g.hosts[name].host.Server().Status()
					return status.Leading != nil && status.Revision == revision
				})
			}
		})
	}
}

// changeTeam applies a change of one team at the leader without HTTP and returns the
// new revision.
func (g *group) changeTeam(base config.Revision) config.Revision {
	g.t.Helper()
	team := config.Team{
		Name:    ident.Team(fmt.Sprint("team-", base%100)),
		Tokens:  []config.TokenDigest{config.DigestToken(fmt.Sprint(base))},
		Classes: []ident.Class{"questions"},
	}
	delta := config.Delta{From: base}
	delta.Teams.Put = []config.Team{team}
	answer, err := g.hosts[g.leader()].host.Server().Apply(g.t.Context(), control.ApplyRequest{
		RequestID: fmt.Sprint("team-", base), Author: "ana", Base: base, Delta: &delta, Content: config.ContentDigest(team.Tokens[0]),
	})
	if err != nil || answer.Result.Verdict != config.VerdictApplied {
		g.t.Fatalf("%+v, %v", answer, err)
	}
	return answer.Result.Revision
}
