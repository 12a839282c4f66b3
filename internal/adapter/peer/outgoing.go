package peer

import (
	"context"
	"sync/atomic"
	"time"
)

// The states of an outgoing frame. A frame leaves stateQueued exactly once:
// either the writer claims it or its caller abandons it. This is how a caller
// distinguishes "no byte was sent" from "outcome uncertain".
const (
	stateQueued uint32 = iota
	stateClaimed
	stateAbandoned
)

// outgoing is a frame to be written.
type outgoing struct {
	frame    frame
	deadline time.Time
	state    atomic.Uint32
	// answer receives at most one frame. It is nil unless the frame is a request.
	answer chan frame
	// callerGone is set once the caller has returned. It is guarded by the
	// connection's mutex.
	callerGone bool
}

func newRequest(ctx context.Context, f frame) *outgoing {
	deadline, _ := ctx.Deadline()
	return &outgoing{frame: f, deadline: deadline, answer: make(chan frame, 1)}
}

// claim claims the frame for writing and reports whether it was still queued.
func (o *outgoing) claim() bool {
	return o.state.CompareAndSwap(stateQueued, stateClaimed)
}

// abandon withdraws the frame and reports whether it was still queued.
func (o *outgoing) abandon() bool {
	return o.state.CompareAndSwap(stateQueued, stateAbandoned)
}

// stampTimeout sets the frame's timeout to the time left until the caller's
// deadline.
func (o *outgoing) stampTimeout(now time.Time) {
	if o.deadline.IsZero() {
		return
	}
	remaining := max(o.deadline.Sub(now).Milliseconds(), 1)
	o.frame.TimeoutMillis = uint32(min(remaining, int64(^uint32(0))))
}
