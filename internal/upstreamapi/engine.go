package upstreamapi

import (
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// CompletionRequest is the body of POST PathCompletions: the widely used completions
// request with a token array as prompt, and additional fields that identify, resume
// and place the attempt.
type CompletionRequest struct {
	Model     ident.Model   `json:"model"`
	Version   ident.Version `json:"weight_version"`
	Adapter   ident.Adapter `json:"adapter,omitempty"`
	Prompt    []uint32      `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Priority  int           `json:"priority"`
	Seed      uint64        `json:"seed"`
	ResumeAt  int           `json:"resume_at,omitempty"`
	Request   ident.Request `json:"request_id"`
	Attempt   uint32        `json:"attempt"`
	// CacheSalt separates the prefix caches of different teams, models and
	// versions in engines that derive block names themselves.
	CacheSalt string `json:"cache_salt"`
	// BlockIDs are the names of the prompt's full blocks in order.
	BlockIDs []port.BlockID `json:"block_ids,omitempty"`
}

// SaltFor returns the cache salt of an attempt. The first block's identity is
// keyed by team, model, version and adapter, so prompts that may share a prefix
// have the same salt and no others do. A prompt shorter than a block gets a
// salt of its own and shares nothing.
func SaltFor(request ident.Request, blocks []port.BlockID) string {
	if len(blocks) == 0 {
		return request.String()
	}
	return string(blocks[0])
}

// CompletionChunk is one server-sent event of an answer.
type CompletionChunk struct {
	ID      ident.Request `json:"id"`
	Attempt uint32        `json:"attempt"`
	Choices []Choice      `json:"choices,omitempty"`
	Usage   *UsageBody    `json:"usage,omitempty"`
	Version ident.Version `json:"weight_version,omitempty"`
	Error   *ErrorDetail  `json:"error,omitempty"`
}

// Choice is one token of an answer. Choices after the first are ignored.
type Choice struct {
	Index        int    `json:"index"`
	TokenIndex   int    `json:"token_index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// UsageBody is an engine's usage report for a finished answer.
type UsageBody struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Details          PromptDetails `json:"prompt_tokens_details"`
	// QueueMicros and PrefillMicros are the times in microseconds that the
	// request was queued and prefilled before the first token.
	QueueMicros   int64 `json:"queue_us"`
	PrefillMicros int64 `json:"prefill_us"`
}

// PromptDetails contains the number of prompt tokens taken from the cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// EndOfStream is the data of the last event of a complete answer.
const EndOfStream = "[DONE]"
