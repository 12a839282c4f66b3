package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/apiclient"
	"github.com/lovagereach/lovagereach/internal/configdoc"
)

func get(ctx context.Context, t *tool, _ []string) error {
	var answer api.ConfigAnswer
	if err := t.client.Call(ctx, apiclient.Request{Path: api.PathConfig, Into: &answer, Repeatable: true}); err != nil {
		return err
	}
	if t.output == outputJSON {
		return t.print(answer, nil)
	}
	// The output is YAML that apply accepts; the revision is a YAML comment.
	text, err := configdoc.Format(answer.Document)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.streams.out, "# revision %d\n%s", answer.Revision, text)
	return err
}

type historyQuery struct {
	Limit  int    `url:"limit,omitempty"`
	Before uint64 `url:"before,omitempty"`
}

func newHistory() command {
	var query historyQuery
	return command{
		flags: func(flags *flag.FlagSet) {
			flags.IntVar(&query.Limit, "limit", 20, "how many revisions to show")
			flags.Uint64Var(&query.Before, "before", 0, "show those before this revision")
		},
		run: func(ctx context.Context, t *tool, _ []string) error {
			var answer api.HistoryAnswer
			err := t.client.Call(ctx, apiclient.Request{Path: api.PathHistory, Query: query, Into: &answer, Repeatable: true})
			if err != nil {
				return err
			}
			return t.print(answer, func(r *rows) {
				r.add("REVISION", "TIME", "AUTHOR", "ITEMS", "REQUEST ID", "NOTE")
				for _, meta := range answer.Revisions {
					r.add(meta.Revision, meta.Time().UTC().Format(time.RFC3339), meta.Author, meta.Items, meta.RequestID, meta.Note)
				}
			})
		},
	}
}

type diffQuery struct {
	From uint64 `url:"from"`
	To   uint64 `url:"to,omitempty"`
}

func newDiff() command {
	var file string
	return command{
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&file, "f", "", "compare this document with the latest revision")
		},
		run: func(ctx context.Context, t *tool, args []string) error {
			if file != "" && len(args) == 0 {
				return t.apply(ctx, applyFlags{file: file, expect: noRevision, dryRun: true})
			}
			query, err := diffRange(args)
			if err != nil {
				return err
			}
			var answer api.DiffAnswer
			err = t.client.Call(ctx, apiclient.Request{Path: api.PathDiff, Query: query, Into: &answer, Repeatable: true})
			if err != nil {
				return err
			}
			return t.print(answer, func(r *rows) { deltaRows(r, answer.Delta) })
		},
	}
}

func diffRange(args []string) (diffQuery, error) {
	if len(args) < 1 || len(args) > 2 {
		return diffQuery{}, usageError("diff needs FROM and perhaps TO, or -f FILE")
	}
	numbers := make([]uint64, 2)
	for i, arg := range args {
		number, err := strconv.ParseUint(arg, 10, 63)
		if err != nil {
			return diffQuery{}, usageError("%q is not a revision", arg)
		}
		numbers[i] = number
	}
	return diffQuery{From: numbers[0], To: numbers[1]}, nil
}

func deltaRows(r *rows, delta config.Delta) {
	if delta.LedgerShards != 0 {
		r.add("set", "ledger_shards", delta.LedgerShards)
	}
	changeRows(r, "class", delta.Classes.Drop, delta.Classes.Put, func(c config.Class) (string, string) {
		return string(c.Name), fmt.Sprintf("%s, first token within %s for %v%%, deadline %s, audit %s", c.Kind, c.FirstToken.Within, c.FirstToken.Percentile, c.Deadline, c.Audit)
	})
	changeRows(r, "team", delta.Teams.Drop, delta.Teams.Put, func(t config.Team) (string, string) {
		return string(t.Name), fmt.Sprintf("%d tokens, classes %v, share %s to %s", len(t.Tokens), t.Classes, t.Share.Guaranteed, cmp.Or(t.Share.Maximum, config.FullShare))
	})
	changeRows(r, "model", delta.Models.Drop, delta.Models.Put, func(m config.Model) (string, string) {
		return string(m.Name), fmt.Sprintf("versions %s, at most %d loading", versionNames(m), m.MaxLoading)
	})
	changeRows(r, "service", delta.Services.Drop, delta.Services.Put, func(s config.Service) (string, string) {
		return string(s.Name), fmt.Sprintf("class %s, repeatable %v, %d path rules", s.Class, s.Repeatable, len(s.Paths))
	})
}

// versionNames returns the model's versions separated by commas, each followed by
// its adapters, which are prefixed with plus signs.
func versionNames(m config.Model) string {
	names := make([]string, 0, len(m.Versions))
	for _, wanted := range m.Versions {
		name := string(wanted.Version)
		for _, adapter := range wanted.Adapters {
			name += "+" + string(adapter)
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func changeRows[K ~string, V any](r *rows, kind string, drop []K, put []V, describe func(V) (string, string)) {
	for _, name := range drop {
		r.add("remove", kind+" "+string(name))
	}
	for _, item := range put {
		name, text := describe(item)
		r.add("set", kind+" "+name, text)
	}
}

func dump(ctx context.Context, t *tool, _ []string) error {
	return t.passThrough(ctx, api.PathDump)
}

// passThrough prints a complete answer, as YAML instead of a table, which would
// omit parts of it.
func (t *tool) passThrough(ctx context.Context, path string) error {
	var answer any
	err := t.client.Call(ctx, apiclient.Request{Method: http.MethodGet, Path: path, Into: &answer, Repeatable: true})
	if err != nil {
		return err
	}
	if t.output == outputTable {
		t.output = outputYAML
	}
	return t.print(answer, nil)
}
