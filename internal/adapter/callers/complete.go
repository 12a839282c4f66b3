package callers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/prefix"
)

// answerFormat is one of the two widely used formats of an answer.
type answerFormat uint8

const (
	textFormat answerFormat = iota
	chatFormat
)

// completeBody is the JSON body of an answer that isn't streamed.
type completeBody struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []completeChoice `json:"choices"`
	Usage   usageBody        `json:"usage"`
}

type completeChoice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *completeMessage `json:"message,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

type completeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usageBody struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// provenanceBody is the provenance in the last event of a stream.
type provenanceBody struct {
	RequestID    string `json:"request_id"`
	Outcome      string `json:"outcome"`
	Class        string `json:"class"`
	Upstream     string `json:"upstream"`
	Version      string `json:"weight_version"`
	TokensReused int    `json:"tokens_reused"`
	KeptPrompt   string `json:"kept_prompt,omitempty"`
	KeptFrom     string `json:"kept_from,omitempty"`
	Resumes      int    `json:"resumes,omitempty"`
}

func usageOf(from entry.Provenance) usageBody {
	return usageBody{
		PromptTokens:     from.PromptTokens,
		CompletionTokens: from.OutputTokens,
		TotalTokens:      from.PromptTokens + from.OutputTokens,
		Details:          usageDetails{CachedTokens: from.ReusedTokens},
	}
}

func provenanceOf(from entry.Provenance) provenanceBody {
	return provenanceBody{
		RequestID:    from.Request.String(),
		Outcome:      from.Outcome.String(),
		Class:        string(from.Class),
		Upstream:     string(from.Upstream),
		Version:      string(from.Version),
		TokensReused: from.ReusedTokens,
		KeptPrompt:   keptPrompt(from),
		KeptFrom:     string(from.KeptFrom),
		Resumes:      from.Resumes,
	}
}

// keptPrompt returns the ID of the kept prompt, empty if there is none.
func keptPrompt(from entry.Provenance) string {
	if from.KeptPrompt == (prefix.BlockID{}) {
		return ""
	}
	return from.KeptPrompt.String()
}

// maxCompleteText bounds the text of an answer that isn't streamed, in bytes: it is kept until its end.
const maxCompleteText = 16 << 20

// sendComplete collects an answer and sends it as one JSON body. Nothing is written before
// the answer is complete, so that a failed answer becomes an error status and never a
// shortened answer.
func (h *Handler) sendComplete(w http.ResponseWriter, answer entry.Answer, form answerFormat, prompt entry.Prompt) {
	var text strings.Builder
	finish := ""
	for {
		token, err := answer.Next()
		if err != nil {
			h.refuse(w, prompt.Request, err)
			return
		}
		if token.Done {
			finish = token.FinishReason
			break
		}
		if text.Len()+len(token.Text) > maxCompleteText {
			h.refuse(w, prompt.Request, &outcome.Unknown{Reason: outcome.ReasonBadAnswer, Detail: "the answer is too long to be sent as a whole"})
			return
		}
		text.WriteString(token.Text)
		h.metrics.tokens.Inc()
	}
	from := answer.Provenance()
	header := w.Header()
	setProvenance(header, from)
	setCompleted(header, from)
	header.Set(headerContentType, contentTypeJSON)
	body := completeBody{
		ID:      from.Request.String(),
		Object:  form.object(),
		Created: time.Now().Unix(),
		Model:   modelName(prompt),
		Choices: []completeChoice{form.choice(text.String(), finish)},
		Usage:   usageOf(from),
	}
	h.extendWrite(w)
	_ = json.NewEncoder(w).Encode(body)
}

// setCompleted sets the headers that are known once the answer is complete.
func setCompleted(header http.Header, from entry.Provenance) {
	header.Set(HeaderOutcome, from.Outcome.String())
	header.Set(HeaderReused, strconv.Itoa(from.ReusedTokens))
	if kept := keptPrompt(from); kept != "" {
		header.Set(HeaderKeptPrompt, kept)
		header.Set(HeaderKeptFrom, string(from.KeptFrom))
	}
}

func (s answerFormat) object() string {
	if s == chatFormat {
		return "chat.completion"
	}
	return "text_completion"
}

func (s answerFormat) choice(text, finish string) completeChoice {
	choice := completeChoice{FinishReason: finish}
	if s == chatFormat {
		choice.Message = &completeMessage{Role: "assistant", Content: text}
		return choice
	}
	choice.Text = &text
	return choice
}

func modelName(prompt entry.Prompt) string {
	if prompt.Adapter == "" {
		return string(prompt.Model)
	}
	return string(prompt.Model) + string(adapterSeparator) + string(prompt.Adapter)
}

// extendWrite sets the write deadline to WriteTimeout from now.
func (h *Handler) extendWrite(w http.ResponseWriter) {
	// Writers without deadline support, as in tests, have no slow readers.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.options.WriteTimeout))
}
