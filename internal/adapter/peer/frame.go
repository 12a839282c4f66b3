package peer

import (
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
)

type frameKind uint8

const (
	frameRequest frameKind = iota + 1
	frameAnswer
	frameOneWay
	// frameGoodbye announces that the sender accepts no further requests.
	frameGoodbye
)

// answerStatus is the result of a request: handled, failed in the handler, or
// not run at all.
type answerStatus uint8

const (
	answerOK answerStatus = iota
	answerFailed
	answerNotRun
)

const (
	// frameOverhead is the maximum encoded size of a frame without its method,
	// body and error text.
	frameOverhead = 64
	maxMethod     = 128
	maxErrorText  = 1024
	// maxBatch is the maximum number of frames in one WebSocket message.
	maxBatch = 256
	// batchBytes is the size of a WebSocket message from which on the writer adds
	// no further frame.
	batchBytes = 256 << 10
)

// frame is one request, answer or one-way message. A WebSocket message is an
// array of frames, so that one write sends all frames that were queued during
// the previous write.
type frame struct {
	Kind frameKind `cbor:"1,keyasint"`
	// ID increases with each request on a connection; the answer has the ID of
	// its request.
	ID     uint64       `cbor:"2,keyasint,omitempty"`
	Method port.Method  `cbor:"3,keyasint,omitempty"`
	Body   []byte       `cbor:"4,keyasint,omitempty"`
	Status answerStatus `cbor:"5,keyasint,omitempty"`
	Error  string       `cbor:"6,keyasint,omitempty"`
	// TimeoutMillis is the time until the caller's deadline, zero if it has none.
	TimeoutMillis uint32 `cbor:"7,keyasint,omitempty"`
}

// size returns an upper bound of the encoded size in bytes.
func (f *frame) size() int {
	return frameOverhead + len(f.Method) + len(f.Body) + len(f.Error)
}

func (f *frame) validate() error {
	if f.Kind < frameRequest || f.Kind > frameGoodbye {
		return eris.Errorf("frame: kind: unknown value %d", f.Kind)
	}
	if len(f.Method) > maxMethod {
		return eris.Errorf("frame: method: longer than %d bytes", maxMethod)
	}
	if len(f.Error) > maxErrorText {
		return eris.Errorf("frame: error: longer than %d bytes", maxErrorText)
	}
	if f.Status > answerNotRun {
		return eris.Errorf("frame: status: unknown value %d", f.Status)
	}
	hasID := f.Kind == frameRequest || f.Kind == frameAnswer
	if hasID != (f.ID != 0) {
		return eris.Errorf("frame: id: %d is not allowed for kind %d", f.ID, f.Kind)
	}
	return nil
}

func encodeFrames(frames []frame) ([]byte, error) {
	return wire.Marshal(frames)
}

// decodeFrames decodes one WebSocket message. It returns an error unless the
// message is an array of 1 to maxBatch valid frames.
func decodeFrames(data []byte) ([]frame, error) {
	var frames []frame
	if err := wire.Unmarshal(data, &frames); err != nil {
		return nil, eris.Wrap(err, "frame: decode")
	}
	if len(frames) == 0 || len(frames) > maxBatch {
		return nil, eris.Errorf("frame: message holds %d frames", len(frames))
	}
	for i := range frames {
		if err := frames[i].validate(); err != nil {
			return nil, err
		}
	}
	return frames, nil
}

func truncate(text string, limit int) string {
	if len(text) > limit {
		return text[:limit]
	}
	return text
}
