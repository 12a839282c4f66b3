package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/lovagereach/lovagereach/internal/eventstream"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/upstreamapi"
	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/sequence"
)

// streamControl cancels a stream when its idle timer expires or its caller cancels.
type streamControl struct {
	cancel      context.CancelFunc
	idle        *time.Timer
	idleTimeout time.Duration
}

// stream reads one streamed answer. Next reads from the body synchronously, so that a
// slow caller causes backpressure on the engine instead of filling a queue.
type stream struct {
	ctx      context.Context
	request  port.GenerateRequest
	body     io.ReadCloser
	events   *eventstream.Reader
	codec    *upstreamapi.TokenCodec
	control  streamControl
	counters *Counters
	// order is that of the tokens, repeated the highest index that came again.
	order    sequence.Checker
	repeated int
	// progress is what came since the latest token of the answer.
	progress *progress
	// finalEvent is the event with the finish reason, returned once the end of the
	// stream confirms it.
	finalEvent *port.TokenEvent
	// closeErr is returned by Next once the stream has ended.
	closeErr error
}

const (
	// maxIdleBytes and maxIdleTime bound what an engine may send, and for how long, without a token of the
	// answer: comments while the request waits in its queue, and tokens that were delivered before.
	maxIdleBytes = 1 << 20
	maxIdleTime  = 10 * time.Minute
)

var errNoProgress = errors.New("the engine sends data without a token of the answer")

// progress is the data and the time since the latest token of an answer.
type progress struct {
	since time.Time
	bytes int
}

func (p *progress) restart() { *p = progress{since: time.Now()} }

// activityReader reads a body and resets the idle timer whenever data arrives. Engines
// send comments while a request waits in their queue, which may take longer than the
// idle timeout.
type activityReader struct {
	body     io.Reader
	control  streamControl
	progress *progress
}

// Read implements io.Reader.
func (l *activityReader) Read(p []byte) (int, error) {
	if l.progress.bytes >= maxIdleBytes || time.Since(l.progress.since) >= maxIdleTime {
		return 0, errNoProgress
	}
	n, err := l.body.Read(p)
	if l.progress.bytes += n; n > 0 {
		l.control.idle.Reset(l.control.idleTimeout)
	}
	return n, err
}

// drainTimeout is the maximum time to wait for the end of the body after the last event.
const drainTimeout = 100 * time.Millisecond

var (
	errStreamEnded  = errors.New("stream is over")
	errNoFinalEvent = errors.New("the stream ended before its final event")
)

func newStream(ctx context.Context, req port.GenerateRequest, body io.ReadCloser, control streamControl, counters *Counters) *stream {
	received := &progress{since: time.Now()}
	events := eventstream.NewReader(&activityReader{body: body, control: control, progress: received}, upstreamapi.MaxEventBytes, "")
	events.DropComments()
	return &stream{
		ctx:      ctx,
		request:  req,
		body:     body,
		events:   events,
		codec:    upstreamapi.NewTokenCodec(req.Request, req.Attempt),
		control:  control,
		counters: counters,
		order:    sequence.StartingAt(uint64(req.ResumeAt)),
		repeated: -1,
		progress: received,
	}
}

// Next implements port.TokenStream.
func (s *stream) Next(ctx context.Context) (port.TokenEvent, error) {
	if s.closeErr != nil {
		return port.TokenEvent{}, s.closeErr
	}
	if ctx.Done() != nil && ctx.Done() != s.ctx.Done() {
		stop := context.AfterFunc(ctx, s.control.cancel)
		defer stop()
	}
	s.control.idle.Reset(s.control.idleTimeout)
	event, err := s.read()
	s.control.idle.Stop()
	switch {
	case err != nil:
		s.closeErr = s.classifyError(ctx, err)
		s.release()
		return port.TokenEvent{}, s.closeErr
	case event.Done:
		s.closeErr = errStreamEnded
		s.drain()
		s.release()
	}
	return event, nil
}

// read returns the next event of this attempt and drops events of other attempts.
func (s *stream) read() (port.TokenEvent, error) {
	for {
		received, err := s.events.Next()
		if err != nil {
			return port.TokenEvent{}, err
		}
		data := received.Data
		if string(data) == upstreamapi.EndOfStream {
			if s.finalEvent == nil {
				return port.TokenEvent{}, errNoFinalEvent
			}
			return *s.finalEvent, nil
		}
		if index, text, ok := s.codec.Parse(data); ok {
			event, deliver, err := s.handleToken(index, text)
			if err != nil || deliver {
				return event, err
			}
			continue
		}
		chunk, err := decodeChunk(data)
		if err != nil {
			return port.TokenEvent{}, err
		}
		if chunk.ID != s.request.Request || chunk.Attempt != s.request.Attempt {
			s.counters.Crossed.Add(1)
			continue
		}
		event, deliver, err := s.handleChunk(chunk)
		if err != nil || deliver {
			return event, err
		}
	}
}

func decodeChunk(data []byte) (upstreamapi.CompletionChunk, error) {
	var chunk upstreamapi.CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return chunk, fmt.Errorf("event: %w", err)
	}
	return chunk, nil
}

// handleChunk processes a chunk of this attempt. It returns true if the chunk holds a
// token to deliver.
func (s *stream) handleChunk(chunk upstreamapi.CompletionChunk) (port.TokenEvent, bool, error) {
	if chunk.Error != nil {
		return port.TokenEvent{}, false, &outcome.Failed{Reason: outcome.ReasonUpstreamError, Detail: chunk.Error.Message}
	}
	if len(chunk.Choices) == 0 {
		return port.TokenEvent{}, false, nil
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != "" {
		return port.TokenEvent{}, false, s.finish(chunk, choice)
	}
	return s.handleToken(choice.TokenIndex, choice.Text)
}

// handleToken returns the event of a token and true, or false if the token was delivered
// before. A token after a gap is an error: the caller would otherwise get a shortened
// answer that looks complete.
func (s *stream) handleToken(index int, text string) (port.TokenEvent, bool, error) {
	if index < 0 {
		return port.TokenEvent{}, false, fmt.Errorf("token %d came", index)
	}
	if most := s.request.MaxTokens; most > 0 && index >= most {
		return port.TokenEvent{}, false, fmt.Errorf("token %d came where at most %d were asked for", index, most)
	}
	due := s.due()
	switch position := s.order.Observe(uint64(index)); position {
	case sequence.Due:
		s.progress.restart()
		return port.TokenEvent{Index: index, Text: text}, true, nil
	case sequence.Repeated:
		s.recordRepeated(index)
		return port.TokenEvent{}, false, nil
	default:
		return port.TokenEvent{}, false, fmt.Errorf("token %d came where %d was due: %v", index, due, position)
	}
}

// recordRepeated counts a token that was delivered before. A higher one than before is progress: an
// engine may resume an answer from its start.
func (s *stream) recordRepeated(index int) {
	s.counters.Duplicated.Add(1)
	if index > s.repeated {
		s.repeated = index
		s.progress.restart()
	}
}

// due returns the index of the next token.
func (s *stream) due() int {
	index, _ := s.order.Due()
	return int(index)
}

// finish stores the final event until the end of the stream confirms it.
func (s *stream) finish(chunk upstreamapi.CompletionChunk, choice upstreamapi.Choice) error {
	if chunk.Usage == nil {
		return errors.New("last event carries no usage")
	}
	if err := s.order.End(uint64(chunk.Usage.CompletionTokens)); err != nil {
		return fmt.Errorf("the engine counts %d tokens: %w", chunk.Usage.CompletionTokens, err)
	}
	s.finalEvent = &port.TokenEvent{
		Index:        s.due(),
		Done:         true,
		FinishReason: choice.FinishReason,
		Usage: port.Usage{
			PromptTokens: chunk.Usage.PromptTokens,
			ReusedTokens: chunk.Usage.Details.CachedTokens,
			OutputTokens: chunk.Usage.CompletionTokens,
			Version:      chunk.Version,
			Queue:        time.Duration(chunk.Usage.QueueMicros) * time.Microsecond,
			Prefill:      time.Duration(chunk.Usage.PrefillMicros) * time.Microsecond,
		},
	}
	return nil
}

// classifyError returns the outcome of a stream that failed with err.
func (s *stream) classifyError(ctx context.Context, err error) error {
	var failed *outcome.Failed
	if errors.As(err, &failed) {
		return failed
	}
	s.counters.Broken.Add(1)
	detail := fmt.Sprintf("after %d tokens: %v", s.due(), err)
	switch {
	case ctx.Err() != nil || s.ctx.Err() != nil:
		return &outcome.Unknown{Reason: contextReason(ctx, s.ctx), Detail: detail}
	case errors.Is(err, context.Canceled):
		// Neither context is done, so the idle timer cancelled the stream.
		return &outcome.Unknown{Reason: outcome.ReasonTimeout, Detail: detail}
	default:
		return &outcome.Unknown{Reason: outcome.ReasonStreamBroken, Detail: detail}
	}
}

func contextReason(contexts ...context.Context) outcome.Reason {
	for _, ctx := range contexts {
		if errors.Is(ctx.Err(), context.Canceled) {
			return outcome.ReasonCallerGone
		}
	}
	return outcome.ReasonTimeout
}

// drain reads the end of the body after the last event, so that the connection can be
// reused. If the body doesn't end within drainTimeout, the connection is closed; the
// caller still gets the complete answer.
func (s *stream) drain() {
	limit := time.AfterFunc(drainTimeout, s.control.cancel)
	defer limit.Stop()
	_, _ = s.events.Next() // only the end of the body can follow
}

// Close implements port.TokenStream. Before the end of the stream it closes the
// connection, which cancels the request at the engine.
func (s *stream) Close() error {
	if s.closeErr == nil {
		s.closeErr = errStreamEnded
	}
	s.release()
	return nil
}

// release stops the idle timer and releases the connection.
func (s *stream) release() {
	s.control.idle.Stop()
	s.control.cancel()
	_ = s.body.Close() // an error is irrelevant: the stream has ended
}
