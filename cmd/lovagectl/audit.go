package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/apiclient"
)

// auditFlags filter an audit query. The filters can also be given as KEY=VALUE
// arguments.
type auditFlags struct {
	open    bool
	team    string
	request string
	batch   string
	limit   int
}

func newAudit() command {
	var f auditFlags
	return command{
		flags: func(flags *flag.FlagSet) {
			flags.BoolVar(&f.open, "open", false, "only requests that were accepted and have no outcome after their deadline")
			flags.StringVar(&f.team, "team", "", "only requests of this team")
			flags.StringVar(&f.request, "request", "", "only the request with this id")
			flags.StringVar(&f.batch, "batch", "", "only requests of this batch, and the batch's account")
			flags.IntVar(&f.limit, "limit", 0, "how many requests to show (default: as many as one answer holds)")
		},
		run: func(ctx context.Context, t *tool, args []string) error { return t.audit(ctx, f, args) },
	}
}

// values returns the query parameters of the flags that are set.
func (f auditFlags) values() url.Values {
	values := make(url.Values)
	for name, value := range map[string]string{"team": f.team, "request": f.request, "batch": f.batch} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if f.open {
		values.Set("open", "true")
	}
	if f.limit != 0 {
		values.Set("limit", strconv.Itoa(f.limit))
	}
	return values
}

func (t *tool) audit(ctx context.Context, f auditFlags, args []string) error {
	values := f.values()
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if !found {
			return usageError("audit: %q is neither a flag nor KEY=VALUE; flags stand before", arg)
		}
		values.Add(name, value)
	}
	path := api.PathAudit
	if len(values) > 0 {
		path += "?" + values.Encode()
	}
	if t.output != outputTable {
		return t.passThrough(ctx, path)
	}
	var answer auditAnswer
	err := t.client.Call(ctx, apiclient.Request{Method: http.MethodGet, Path: path, Into: &answer, Repeatable: true})
	if err != nil {
		return err
	}
	return t.print(answer, answer.rows)
}

// auditAnswer is the part of an answer that the table shows; -o json and -o yaml
// show the complete answer.
type auditAnswer struct {
	Records []auditRecord `json:"records"`
	Batches []auditBatch  `json:"batches"`
	More    bool          `json:"more"`
}

type auditRecord struct {
	Request      string    `json:"request"`
	Team         string    `json:"team"`
	Class        string    `json:"class"`
	Entry        string    `json:"entry"`
	Accepted     time.Time `json:"accepted"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"reason"`
	Upstream     string    `json:"upstream"`
	Version      string    `json:"version"`
	ReusedTokens int       `json:"reused_tokens"`
	KeptPrompt   string    `json:"kept_prompt"`
}

type auditBatch struct {
	Batch     string    `json:"batch"`
	Team      string    `json:"team"`
	State     string    `json:"state"`
	Expected  int       `json:"expected"`
	Settled   int       `json:"settled"`
	Open      int       `json:"open"`
	Unsettled int       `json:"unsettled"`
	Missing   int       `json:"missing"`
	Deadline  time.Time `json:"deadline"`
}

// keptNameWidth is the number of bytes of a kept prompt's name that the table shows.
const keptNameWidth = 12

func (a auditAnswer) rows(r *rows) {
	r.add("REQUEST", "ACCEPTED", "TEAM", "CLASS", "ENTRY", "OUTCOME", "REASON", "UPSTREAM", "VERSION", "REUSED", "KEPT PROMPT")
	for _, record := range a.Records {
		kept := record.KeptPrompt
		r.add(record.Request, record.Accepted.UTC().Format(time.RFC3339), record.Team, record.Class, record.Entry, record.Outcome,
			cmp.Or(record.Reason, "-"), cmp.Or(record.Upstream, "-"), cmp.Or(record.Version, "-"), record.ReusedTokens,
			cmp.Or(kept[:min(len(kept), keptNameWidth)], "-"))
	}
	if a.More {
		r.add("more requests match; narrow the query")
	}
	if len(a.Batches) == 0 {
		return
	}
	r.add()
	r.add("BATCH", "TEAM", "STATE", "EXPECTED", "SETTLED", "OPEN", "UNSETTLED", "MISSING", "DEADLINE")
	for _, b := range a.Batches {
		r.add(b.Batch, b.Team, b.State, b.Expected, b.Settled, b.Open, b.Unsettled, b.Missing, fmt.Sprint(b.Deadline.UTC().Format(time.RFC3339)))
	}
}
