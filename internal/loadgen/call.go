package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// callJob is a call of a plain service. It may be sent more than once.
type callJob struct {
	load    *CallLoad
	key     string
	body    string
	resend  bool
	overlap bool
	due     time.Time
	seed    uint64
}

func newCallJob(load *CallLoad, serial int, random *rand.Rand, seed uint64) callJob {
	job := callJob{load: load, body: fmt.Sprintf("call %d of run %d", serial, seed), seed: random.Uint64()}
	if !load.Repeatable {
		job.key = fmt.Sprintf("%s-%d-%d", load.Service, seed, serial)
	}
	job.resend = job.key != "" && random.Float64() < load.Resend
	job.overlap = job.resend && random.IntN(2) == 0
	return job
}

// callResult is the result of one attempt of a call, as seen by the caller.
type callResult struct {
	kind    outcome.Kind
	detail  string
	total   time.Duration
	run     int
	crossed bool
}

// call sends one attempt of a call.
func (s *sender) call(ctx context.Context, entry string, job callJob, id ident.Request) callResult {
	path := callers.PathServices + string(job.load.Service) + "/" + strings.TrimPrefix(job.load.Path, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, strings.NewReader(job.body))
	if err != nil {
		return callResult{kind: outcome.KindNotRun, detail: err.Error()}
	}
	req.Header.Set("Content-Type", "text/plain")
	req.Header.Set("Authorization", "Bearer "+job.load.Token)
	if job.key != "" {
		req.Header.Set(callers.HeaderIdempotency, job.key)
	}
	resp, err := s.do(req, id)
	if err != nil {
		return callResult{kind: outcome.KindOf(err), detail: errorReason(err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		kind, detail := parseRefusal(resp)
		return callResult{kind: kind, detail: detail}
	}
	var answer standin.ServiceAnswer
	if err := upstreamapi.DecodeBounded(resp.Body, upstreamapi.MaxAnswerBytes, &answer); err != nil {
		return callResult{kind: outcome.KindUnknown, detail: err.Error()}
	}
	return callResult{
		kind:    outcome.KindDone,
		total:   time.Since(job.due),
		run:     answer.Run,
		crossed: answer.Echo != job.body || answer.Key != job.key,
	}
}
