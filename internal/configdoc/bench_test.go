package configdoc

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
)

// teamsText returns a YAML document with the given number of teams.
func teamsText(tb testing.TB, teams int) []byte {
	tb.Helper()
	doc := config.Document{Classes: []config.Class{{
		Name:       "questions",
		Kind:       config.KindModel,
		FirstToken: config.Target{Within: config.Duration(380 * time.Millisecond)},
		Deadline:   config.Duration(30 * time.Second),
	}}}
	for i := range teams {
		name := fmt.Sprintf("team-%06d", i)
		doc.Teams = append(doc.Teams, config.Team{
			Name:    ident.Team(name),
			Tokens:  []config.TokenDigest{config.DigestToken(name)},
			Classes: []ident.Class{"questions"},
			Share:   config.TeamShare{Maximum: config.FullShare},
		})
	}
	doc.Normalize()
	text, err := Format(doc)
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

func BenchmarkParse(b *testing.B) {
	for _, teams := range []int{100, 1_000, 10_000, 27_000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			text := teamsText(b, teams)
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, err := Parse("bench.yaml", text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Parsing a document of thousands of teams must not occupy a control host for minutes.
// If the YAML library formats the entire document for each value, the bytes allocated
// for one team grow with the length of the document; the test bounds that growth.
func TestParseCostPerTeamIsBounded(t *testing.T) {
	const few, many, maxRatio = 200, 2000, 2.0
	perTeam := func(teams int) float64 {
		text := teamsText(t, teams)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		if _, err := Parse("c.yaml", text); err != nil {
			t.Fatal(err)
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / float64(teams)
	}
	if small, large := perTeam(few), perTeam(many); large > maxRatio*small {
		t.Errorf("one team of %d takes %.0f bytes, one of %d takes %.0f", few, small, many, large)
	}
}
