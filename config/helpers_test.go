package config

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// testDocument returns a valid document with the given number of teams.
func testDocument(teams int) Document {
	doc := Document{
		Classes: []Class{{
			Name:       "questions",
			Kind:       KindModel,
			FirstToken: Target{Within: Duration(380 * time.Millisecond)},
			Deadline:   Duration(30 * time.Second),
			Repeatable: true,
		}, {
			Name:       "bids",
			Kind:       KindService,
			FirstToken: Target{Within: Duration(200 * time.Millisecond)},
			Deadline:   Duration(5 * time.Second),
			Audit:      AuditFull,
		}},
		Models:   []Model{{Name: "appraiser", Versions: []TargetVersion{{Version: "v1"}}}},
		Services: []Service{{Name: "clock", Class: "bids"}},
	}
	for i := range teams {
		doc.Teams = append(doc.Teams, testTeam(i))
	}
	doc.Normalize()
	return doc
}

func testTeam(i int) Team {
	name := fmt.Sprintf("team-%06d", i)
	return Team{
		Name:    ident.Team(name),
		Tokens:  []TokenDigest{DigestToken(name)},
		Classes: []ident.Class{"questions"},
	}
}

// command returns the command that a leader proposes for a document and a base.
func command(state *State, id string, base Revision, doc Document) Command {
	doc.Normalize()
	cmd := Command{RequestID: id, Author: "ana", Base: base, Content: ContentDigest(DigestToken(fmt.Sprint(base, doc)))}
	if base == state.Current().Revision() {
		cmd.Delta = Diff(state.Current(), &doc)
	}
	return cmd
}
