package retry

import (
	"github.com/lovagereach/lovagereach/ident"
)

// BrokenStream describes a stream that broke off before its last event.
type BrokenStream struct {
	// Delivered is the number of answer tokens that the caller has received.
	Delivered int
	// Version is the weight version that generated these tokens.
	Version ident.Version
	// Deterministic is set if the same seed yields the same tokens on every upstream
	// that has the version loaded.
	Deterministic bool
	// Upstream is the upstream that generated the tokens.
	Upstream ident.Upstream
	// UpstreamAlive is set if that upstream still accepts requests in the same
	// incarnation.
	UpstreamAlive bool
}

// ResumeAt is where a broken stream may be resumed.
type ResumeAt uint8

// Values of ResumeAt.
const (
	// ResumeNowhere means that the stream ends with an explicit error event.
	ResumeNowhere ResumeAt = iota
	// ResumeSameUpstream means the upstream that generated the tokens so far.
	ResumeSameUpstream
	// ResumeAnyUpstream means any upstream that has the version loaded.
	ResumeAnyUpstream
)

// Resume returns where a broken stream may be resumed. A stream that has delivered
// nothing may restart on any upstream; one that has may move only to an upstream that
// would have generated the same tokens.
func Resume(b BrokenStream) ResumeAt {
	switch {
	case b.Delivered == 0, b.Deterministic:
		return ResumeAnyUpstream
	case b.UpstreamAlive:
		return ResumeSameUpstream
	default:
		return ResumeNowhere
	}
}
