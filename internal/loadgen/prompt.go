package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/callers"
	"github.com/lovagereach/lovagereach/internal/eventstream"
	"github.com/lovagereach/lovagereach/internal/standin"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
)

// promptJob is a prompt to be sent.
type promptJob struct {
	load    *PromptLoad
	request ident.Request
	tokens  []uint32
	seed    uint64
	// first is true for the first request of its load with this kept prompt.
	first bool
	// due is the arrival time of the request. Times are measured from it, so
	// that a delay of the client is not hidden.
	due time.Time
}

// promptSource generates the requests of one load.
type promptSource struct {
	load   *PromptLoad
	random *rand.Rand
	// salt makes kept prompts distinct from those of sources with another salt.
	salt uint64
	sent map[int]bool
}

// next returns a request with a new question to a random kept prompt.
func (s *promptSource) next() promptJob {
	load, random := s.load, s.random
	kept := random.IntN(load.Kept)
	first := !s.sent[kept]
	s.sent[kept] = true
	// A kept prompt has the same tokens in each request.
	own := rand.New(rand.NewPCG(s.salt, uint64(kept)))
	tokens := make([]uint32, 0, load.KeptTokens+load.QuestionTokens)
	for range load.KeptTokens {
		tokens = append(tokens, own.Uint32())
	}
	for range load.QuestionTokens {
		tokens = append(tokens, random.Uint32())
	}
	return promptJob{load: load, request: drawRequest(random), tokens: tokens, seed: random.Uint64() >> 11, first: first}
}

func drawRequest(random *rand.Rand) ident.Request {
	var id ident.Request
	for i := range id {
		id[i] = byte(random.Uint32())
	}
	return id
}

// promptResult is the result of a prompt, as seen by the caller.
type promptResult struct {
	kind       outcome.Kind
	detail     string
	firstToken time.Duration
	total      time.Duration
	upstream   string
	prompt     int
	reused     int
	keptFrom   string
	resumes    int
	// crossed is true if the answer does not have its request's id or a token
	// differs from the expected answer, short if the answer was marked complete
	// but is not.
	crossed bool
	short   bool
	// noOutcome is true if no entry reported the outcome of the request.
	noOutcome bool
}

// answerChunk is one event of an entry's stream.
type answerChunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Lovage *struct {
		Upstream  string `json:"upstream"`
		Reused    int    `json:"tokens_reused"`
		KeptFrom  string `json:"kept_from"`
		Resumes   int    `json:"resumes"`
		RequestID string `json:"request_id"`
	} `json:"lovage"`
	Error *answerError `json:"error"`
}

// prompt sends a prompt to an entry and checks the answer.
func (s *sender) prompt(ctx context.Context, entry string, job promptJob) promptResult {
	body, err := json.Marshal(map[string]any{
		"model":      job.load.Model,
		"prompt":     job.tokens,
		"max_tokens": job.load.AnswerTokens,
		"seed":       job.seed,
		"stream":     true,
	})
	if err != nil {
		return promptResult{kind: outcome.KindNotRun, detail: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+callers.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return promptResult{kind: outcome.KindNotRun, detail: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+job.load.Token)
	req.Header.Set(callers.HeaderClass, string(job.load.Class))
	resp, err := s.do(req, job.request)
	if err != nil {
		kind := outcome.KindOf(err)
		return promptResult{kind: kind, detail: errorReason(err), noOutcome: kind == outcome.KindUnknown}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		kind, detail := parseRefusal(resp)
		return promptResult{kind: kind, detail: detail}
	}
	return readAnswer(resp, job)
}

// answerChecker compares an answer with the one that the engines must generate.
type answerChecker struct {
	job      promptJob
	expected string
	text     strings.Builder
	result   promptResult
	finished bool
}

func readAnswer(resp *http.Response, job promptJob) promptResult {
	check := &answerChecker{
		job:      job,
		expected: standin.ExpectedAnswer(job.tokens, job.seed, job.load.AnswerTokens),
		result:   promptResult{kind: outcome.KindUnknown, prompt: len(job.tokens), detail: "stream ended early"},
	}
	check.result.crossed = resp.Header.Get(callers.HeaderRequestID) != job.request.String()
	events := eventstream.NewReader(resp.Body, upstreamapi.MaxEventBytes, "")
	events.DropComments()
	for {
		event, err := events.Next()
		if err != nil {
			check.result.detail = err.Error()
			check.result.noOutcome = true
			break
		}
		if string(event.Data) == upstreamapi.EndOfStream {
			check.finish()
			break
		}
		if !check.handleEvent(event.Data) {
			break
		}
	}
	check.result.total = time.Since(job.due)
	return check.result
}

// handleEvent checks an event and reports whether the stream continues.
func (c *answerChecker) handleEvent(data []byte) bool {
	var chunk answerChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		c.result.detail = err.Error()
		return false
	}
	if chunk.Error != nil {
		c.result.kind, c.result.detail = outcome.KindUnknown, chunk.Error.Code
		if kind, ok := outcome.ParseKind(chunk.Error.Outcome); ok {
			c.result.kind = kind
		}
		return false
	}
	if chunk.Lovage != nil {
		c.result.upstream = chunk.Lovage.Upstream
		c.result.reused = chunk.Lovage.Reused
		c.result.keptFrom = chunk.Lovage.KeptFrom
		c.result.resumes = chunk.Lovage.Resumes
	}
	if len(chunk.Choices) == 0 {
		return true
	}
	if chunk.Choices[0].FinishReason != nil {
		c.finished = true
	}
	c.handleToken(chunk.Choices[0].Text)
	return true
}

func (c *answerChecker) handleToken(text string) {
	if text == "" {
		return
	}
	if c.text.Len() == 0 {
		c.result.firstToken = time.Since(c.job.due)
	}
	due := c.expected[min(c.text.Len(), len(c.expected)):]
	if !strings.HasPrefix(due, text) {
		c.result.crossed = true
	}
	c.text.WriteString(text)
}

// finish handles the end-of-stream event.
func (c *answerChecker) finish() {
	c.result.kind, c.result.detail = outcome.KindDone, ""
	c.result.short = !c.finished || c.text.Len() < len(c.expected)
}
