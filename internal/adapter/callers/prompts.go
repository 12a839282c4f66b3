package callers

import (
	"net/http"

	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/httpbound"
	"github.com/lovagereach/lovagereach/internal/ingress"
	"github.com/lovagereach/lovagereach/outcome"
)

// decodedPrompt is what a prompt takes in memory beside its body, as a multiple of the body's bytes: a word
// of one letter becomes a token of 4 bytes, and one of up to 11 in the request to the engine.
const decodedPrompt = 16

func (h *Handler) completions(w http.ResponseWriter, r *http.Request) {
	h.prompt(w, r, textFormat, decodeText)
}

func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	h.prompt(w, r, chatFormat, decodeChat)
}

// prompt handles a model request in either format.
func (h *Handler) prompt(w http.ResponseWriter, r *http.Request, form answerFormat, decode func([]byte, limits) (decodedRequest, error)) {
	in, release := h.admit(w, r)
	if release == nil {
		return
	}
	defer release()
	body, err := httpbound.ReadBody(w, r, h.options.MaxBody)
	if err != nil {
		h.refuse(w, in.request, err)
		return
	}
	if err := ingress.Reserve(r.Context(), decodedPrompt*int64(len(body))); err != nil {
		h.refuse(w, in.request, &outcome.NotRun{Reason: outcome.ReasonOverloaded, Detail: err.Error(), RetryAfter: openRetryAfter})
		return
	}
	call, err := decode(body, limits{h.options.MaxPromptTokens, h.options.MaxAnswerTokens})
	if err != nil {
		h.refuse(w, in.request, err)
		return
	}
	call.prompt.Request = in.request
	call.prompt.Caller = in.caller
	call.prompt.Class = in.class
	call.prompt.Deadline = in.deadline
	answer, err := h.entry.Prompt(r.Context(), call.prompt)
	if err != nil {
		h.refuse(w, in.request, err)
		return
	}
	defer answer.Close()
	if call.stream {
		h.stream(w, answer, newChunkEncoder(form, call.prompt))
		return
	}
	h.sendComplete(w, answer, form, call.prompt)
}

// setProvenance sets the headers that are known before the answer is complete.
func setProvenance(header http.Header, from entry.Provenance) {
	header.Set(HeaderRequestID, from.Request.String())
	header.Set(HeaderClass, string(from.Class))
	header.Set(HeaderUpstream, string(from.Upstream))
	if from.Version != "" {
		header.Set(HeaderVersion, string(from.Version))
	}
}
