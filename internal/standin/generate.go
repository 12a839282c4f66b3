package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// Bounds of a completion request.
const (
	maxPromptTokens = 1 << 20
	maxAnswerTokens = 1 << 16
)

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	e.counters.requests.Add(1)
	var req upstreamapi.CompletionRequest
	body := http.MaxBytesReader(w, r.Body, upstreamapi.MaxRequestBytes)
	if err := upstreamapi.DecodeBounded(body, upstreamapi.MaxRequestBytes, &req); err != nil {
		upstreamapi.WriteError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	if !e.faults.applyBeforeRun(w, r) {
		return
	}
	if request, attempt, err := upstreamapi.ReadAttempt(r.Header); err == nil {
		upstreamapi.SetAttempt(w.Header(), request, attempt)
	}
	if reason := e.refusalReason(req); reason != "" {
		e.counters.refused.Add(1)
		refuse(w, r, http.StatusConflict, reason)
		return
	}
	arrived := time.Now()
	waiter, err := e.batch.join(req.Priority, len(req.Prompt))
	if err != nil {
		e.counters.refused.Add(1)
		refuse(w, r, http.StatusTooManyRequests, err.Error())
		return
	}
	answer := &answerWriter{engine: e, req: req, w: w, ctx: r.Context(), path: r.URL.Path}
	if !answer.wait(waiter.granted) {
		e.batch.abandon(waiter)
		e.counters.cancelled.Add(1)
		return
	}
	defer e.batch.release()
	e.begun.add(req.Request)
	e.options.RunLog.add(RunRequest, req.Request.String())
	answer.queueTime = time.Since(arrived)
	if answer.run() {
		e.counters.finished.Add(1)
	} else {
		e.counters.cancelled.Add(1)
	}
}

// refusalReason returns the reason for which the engine refuses req, or an empty
// string if it runs req.
func (e *Engine) refusalReason(req upstreamapi.CompletionRequest) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !req.Stream:
		return "only streamed answers are served"
	case len(req.Prompt) == 0 || len(req.Prompt) > maxPromptTokens:
		return "prompt has no or too many tokens"
	case req.MaxTokens <= 0 || req.MaxTokens > maxAnswerTokens:
		return "max_tokens is out of range"
	case req.ResumeAt < 0 || req.ResumeAt > req.MaxTokens:
		return "resume_at is out of range"
	case !e.models.has(req.Model, req.Version, req.Adapter):
		return "model, version or adapter is not loaded"
	}
	return ""
}

// contents returns the content of each complete block of the prompt that has a
// block ID.
func (e *Engine) contents(req upstreamapi.CompletionRequest) []content {
	size := e.options.BlockTokens
	n := min(len(req.BlockIDs), len(req.Prompt)/size)
	contents := make([]content, n)
	hash := uint64(0)
	for i := range contents {
		hash = chainHash(hash, req.Prompt[i*size:(i+1)*size])
		contents[i] = content{Model: req.Model, Version: req.Version, Adapter: req.Adapter, Prefix: hash}
	}
	return contents
}

// computePrompt reserves prefill time for the uncached part of the prompt. It
// returns the number of reused tokens and the time at which prefill completes.
func (e *Engine) computePrompt(req upstreamapi.CompletionRequest) (reused int, ready time.Time) {
	contents := e.contents(req)
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := 0
	for hits < len(contents) && e.cache.use(req.BlockIDs[hits], contents[hits]) {
		hits++
	}
	reused = hits * e.options.BlockTokens
	computed := len(req.Prompt) - reused
	for i := hits; i < len(contents); i++ {
		e.cache.put(req.BlockIDs[i], contents[i])
	}
	e.counters.promptTokens.Add(uint64(len(req.Prompt)))
	e.counters.reusedTokens.Add(uint64(reused))
	e.counters.computedTokens.Add(uint64(computed))
	return reused, e.prefill.reserve(time.Now(), int64(computed))
}

// usage returns the usage report of a finished answer.
func usage(req upstreamapi.CompletionRequest, reused int, queue, prefill time.Duration) *upstreamapi.UsageBody {
	return &upstreamapi.UsageBody{
		PromptTokens:     len(req.Prompt),
		CompletionTokens: req.MaxTokens,
		Details:          upstreamapi.PromptDetails{CachedTokens: reused},
		QueueMicros:      queue.Microseconds(),
		PrefillMicros:    prefill.Microseconds(),
	}
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return data
}

func (e *Engine) handleBlocks(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	snapshot := port.BlockSnapshot{
		Incarnation: e.incarnation,
		Sequence:    e.announcer.lastSequence(),
		Blocks:      e.cache.states(e.options.BlockBytes),
	}
	e.mu.Unlock()
	upstreamapi.WriteJSON(w, http.StatusOK, snapshot)
}
