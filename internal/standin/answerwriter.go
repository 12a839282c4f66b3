package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagereach/lovagereach/internal/upstreamapi"
)

// answerWriter streams the answer to a request.
type answerWriter struct {
	engine    *Engine
	req       upstreamapi.CompletionRequest
	w         http.ResponseWriter
	ctx       context.Context
	path      string
	queueTime time.Duration
	buf       []byte
}

// run streams the answer and reports whether it was sent completely.
func (a *answerWriter) run() bool {
	start := time.Now()
	reused, ready := a.engine.computePrompt(a.req)
	if sleep(a.ctx, time.Until(ready)) != nil {
		return false
	}
	prefill := time.Since(start)
	if !a.applyStartFaults() {
		return false
	}
	if !a.sendTokens() {
		return false
	}
	a.send(upstreamapi.CompletionChunk{
		Choices: []upstreamapi.Choice{{TokenIndex: a.req.MaxTokens, FinishReason: "length"}},
		Usage:   usage(a.req, reused, a.queueTime, prefill),
		Version: a.req.Version,
	})
	a.buf = upstreamapi.AppendEvent(a.buf[:0], []byte(upstreamapi.EndOfStream))
	return a.flush()
}

// wait waits until ready is closed and returns false if the caller disconnects.
// At each KeepAlive interval it sends a comment, so that the caller knows that
// the request is still queued.
func (a *answerWriter) wait(ready <-chan struct{}) bool {
	a.w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(a.engine.options.KeepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-ready:
			return true
		case <-a.ctx.Done():
			return false
		case <-ticker.C:
			a.buf = append(a.buf[:0], ": waiting\n\n"...)
			if !a.flush() {
				return false
			}
		}
	}
}

// applyStartFaults applies the faults that take effect before the first token.
// It returns false if no token must be sent.
func (a *answerWriter) applyStartFaults() bool {
	faults := a.engine.faults
	if _, ok := faults.Take(FaultError, a.path); ok {
		upstreamapi.WriteError(a.w, http.StatusInternalServerError, "error", "failed by a fault")
		return false
	}
	if _, ok := faults.Take(FaultReset, a.path); ok {
		abortConnection()
	}
	if _, ok := faults.Take(FaultCrossed, a.path); ok {
		a.sendCrossed()
	}
	return true
}

// sendCrossed sends tokens under the identity of another request.
func (a *answerWriter) sendCrossed() {
	other := a.req.Request
	other[0] ^= 0xff
	for i := a.req.ResumeAt; i < a.req.MaxTokens; i++ {
		chunk := upstreamapi.CompletionChunk{
			ID:      other,
			Attempt: a.req.Attempt,
			Choices: []upstreamapi.Choice{{TokenIndex: i, Text: " crossed"}},
		}
		a.buf = upstreamapi.AppendEvent(a.buf[:0], marshal(chunk))
		a.flush()
	}
}

// sendTokens sends the answer's tokens and reports whether all of them were
// sent.
func (a *answerWriter) sendTokens() bool {
	faults := a.engine.faults
	key := NewAnswerKey(a.req.Prompt, a.req.Seed)
	codec := upstreamapi.NewTokenCodec(a.req.Request, a.req.Attempt)
	_, duplicated := faults.Take(FaultDuplicated, a.path)
	middle := (a.req.ResumeAt + a.req.MaxTokens) / 2
	due := time.Now()
	for i := a.req.ResumeAt; i < a.req.MaxTokens; i++ {
		if i == middle && a.applyMidAnswerFaults() {
			return false
		}
		if a.engine.options.DecodeInterval > 0 {
			due = due.Add(a.engine.options.DecodeInterval)
			if sleep(a.ctx, time.Until(due)) != nil {
				return false
			}
		}
		a.buf = append(a.buf[:0], upstreamapi.EventStart...)
		a.buf = codec.Append(a.buf, i, key.Token(i))
		a.buf = append(a.buf, upstreamapi.EventEnd...)
		if !a.flush() || (duplicated && !a.flush()) {
			return false
		}
		a.engine.counters.outputTokens.Add(1)
	}
	return true
}

// applyMidAnswerFaults applies the faults that take effect in the middle of an
// answer. It returns true if the answer must end there.
func (a *answerWriter) applyMidAnswerFaults() bool {
	faults := a.engine.faults
	if _, ok := faults.Take(FaultTruncated, a.path); ok {
		return true
	}
	if _, ok := faults.Take(FaultStalled, a.path); ok {
		<-a.ctx.Done()
		return true
	}
	if _, ok := faults.Take(FaultHalfWritten, a.path); ok {
		a.buf = append(a.buf[:0], `data: {"id":"`...)
		a.flush()
		abortConnection()
	}
	return false
}

func (a *answerWriter) send(chunk upstreamapi.CompletionChunk) bool {
	chunk.ID, chunk.Attempt = a.req.Request, a.req.Attempt
	a.buf = upstreamapi.AppendEvent(a.buf[:0], marshal(chunk))
	return a.flush()
}

func (a *answerWriter) flush() bool {
	if _, err := a.w.Write(a.buf); err != nil {
		return false
	}
	if flusher, ok := a.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return a.ctx.Err() == nil
}
