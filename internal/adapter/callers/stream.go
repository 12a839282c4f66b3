package callers

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/lovagereach/lovagereach/internal/entry"
)

// chunkEncoder encodes the events of one stream. The part common to all events is encoded
// once, and encoding a token needs no allocation.
type chunkEncoder struct {
	form   answerFormat
	head   []byte
	buffer []byte
}

func newChunkEncoder(form answerFormat, prompt entry.Prompt) *chunkEncoder {
	head := []byte(`data: {"id":"`)
	head = append(head, prompt.Request.String()...)
	head = append(head, `","object":"`...)
	if form == chatFormat {
		head = append(head, "chat.completion.chunk"...)
	} else {
		head = append(head, "text_completion"...)
	}
	head = append(head, `","created":`...)
	head = strconv.AppendInt(head, time.Now().Unix(), 10)
	head = append(head, `,"model":`...)
	head = appendString(head, modelName(prompt))
	head = append(head, `,"choices":[{"index":0,`...)
	return &chunkEncoder{form: form, head: head}
}

// token returns the event of a token. The slice is valid until the next call.
func (c *chunkEncoder) token(token entry.Token) []byte {
	out := append(c.buffer[:0], c.head...)
	switch {
	case c.form == textFormat:
		out = append(out, `"text":`...)
		out = appendString(out, token.Text)
	case token.Index == 0:
		out = append(out, `"delta":{"role":"assistant","content":`...)
		out = appendString(out, token.Text)
		out = append(out, '}')
	default:
		out = append(out, `"delta":{"content":`...)
		out = appendString(out, token.Text)
		out = append(out, '}')
	}
	out = append(out, `,"finish_reason":null}]}`...)
	c.buffer = append(out, '\n', '\n')
	return c.buffer
}

// finalEvents returns the final events of a complete answer.
func (c *chunkEncoder) finalEvents(finish string, from entry.Provenance) ([]byte, error) {
	usage, err := json.Marshal(usageOf(from))
	if err != nil {
		return nil, err
	}
	provenance, err := json.Marshal(provenanceOf(from))
	if err != nil {
		return nil, err
	}
	out := append(c.buffer[:0], c.head...)
	if c.form == textFormat {
		out = append(out, `"text":"",`...)
	} else {
		out = append(out, `"delta":{},`...)
	}
	out = append(out, `"finish_reason":`...)
	out = appendString(out, finish)
	out = append(out, `}],"usage":`...)
	out = append(out, usage...)
	out = append(out, `,"lovage":`...)
	out = append(out, provenance...)
	return append(out, "}\n\ndata: [DONE]\n\n"...), nil
}

// errorEvent returns the last event of an answer that failed. No [DONE] follows it, so
// that clients don't mistake the answer for a complete one.
func errorEvent(err error, from entry.Provenance) []byte {
	_, detail := describe(err, from.Request)
	body, encodeErr := json.Marshal(errorBody{Error: detail})
	if encodeErr != nil {
		body = []byte(`{"error":{"message":"the answer broke off","type":"server_error","code":"internal"}}`)
	}
	out := append([]byte("event: error\ndata: "), body...)
	return append(out, '\n', '\n')
}

// stream sends an answer as server-sent events.
func (h *Handler) stream(w http.ResponseWriter, answer entry.Answer, events *chunkEncoder) {
	h.metrics.streams.Inc()
	// If the first token fails, an error status can still be sent.
	token, err := answer.Next()
	if err != nil {
		h.refuse(w, answer.Provenance().Request, err)
		return
	}
	header := w.Header()
	setProvenance(header, answer.Provenance())
	header.Set(headerContentType, contentTypeEvents)
	header.Set(headerCacheControl, "no-cache")
	out := eventWriter{w: w, control: http.NewResponseController(w), timeout: h.options.WriteTimeout}
	for !token.Done {
		if err := out.write(events.token(token)); err != nil {
			h.writeFailed(err)
			return
		}
		h.metrics.tokens.Inc()
		if token, err = answer.Next(); err != nil {
			h.writeFailed(out.write(errorEvent(err, answer.Provenance())))
			return
		}
	}
	final, err := events.finalEvents(token.FinishReason, answer.Provenance())
	if err != nil {
		final = errorEvent(err, answer.Provenance())
	}
	// The server flushes the last event together with the end of the body when the
	// handler returns; a flush here would cost an additional system call.
	h.writeFailed(out.append(final))
}

// writeFailed counts a write that failed because the caller read too slowly.
func (h *Handler) writeFailed(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		h.metrics.slowReaders.Inc()
	}
}

// eventWriter writes and flushes events with a write deadline.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// deadlineSetAt is the time at which the deadline was last set.
	deadlineSetAt time.Time
}

// deadlineRefreshDivisor divides the timeout to get the minimum interval between updates
// of the deadline. An update for each token would double the cost of a token.
const deadlineRefreshDivisor = 8

// write writes and flushes an event.
func (e *eventWriter) write(event []byte) error {
	if err := e.append(event); err != nil {
		return err
	}
	return e.control.Flush()
}

// append writes an event without flushing it.
func (e *eventWriter) append(event []byte) error {
	now := time.Now()
	if now.Sub(e.deadlineSetAt) > e.timeout/deadlineRefreshDivisor {
		e.deadlineSetAt = now
		// Writers without deadline support, as in tests, have no slow readers.
		_ = e.control.SetWriteDeadline(now.Add(e.timeout))
	}
	_, err := e.w.Write(event)
	return err
}

// appendString appends text as a JSON string. Printable ASCII without characters to
// escape, the usual case, is copied; other text is encoded by encoding/json.
func appendString(out []byte, text string) []byte {
	for i := range len(text) {
		char := text[i]
		if char < ' ' || char >= 0x7f || char == '"' || char == '\\' {
			return appendEscaped(out, text)
		}
	}
	out = append(out, '"')
	out = append(out, text...)
	return append(out, '"')
}

func appendEscaped(out []byte, text string) []byte {
	escaped, err := json.Marshal(text)
	if err != nil {
		panic("callers: encode string: " + err.Error())
	}
	return append(out, escaped...)
}
