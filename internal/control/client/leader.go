package client

import (
	"slices"
	"sync"

	"github.com/lovagereach/lovagereach/internal/control/protocol"
)

// leaderFinder selects the address that calls are sent to. It is safe for
// concurrent use.
type leaderFinder struct {
	mu        sync.Mutex
	addresses []string
	target    string
	// targetChanged is closed when target changes.
	targetChanged chan struct{}
}

func newLeaderFinder(addresses []string) *leaderFinder {
	return &leaderFinder{addresses: addresses, target: addresses[0], targetChanged: make(chan struct{})}
}

// current returns the address to call and a channel that is closed when it
// changes.
func (f *leaderFinder) current() (string, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target, f.targetChanged
}

// markFailed selects the next address if tried is still the target.
func (f *leaderFinder) markFailed(tried string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if tried != f.target {
		return
	}
	at := slices.Index(f.addresses, tried)
	f.setTarget(f.addresses[(at+1)%len(f.addresses)])
}

// handleRedirect selects the leader named in a control host's redirect. A host
// that knows no leader is treated as failed.
func (f *leaderFinder) handleRedirect(tried string, to *protocol.Redirect) {
	if to == nil || to.Address == "" || to.Address == tried {
		f.markFailed(tried)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if tried == f.target {
		f.setTarget(to.Address)
	}
}

func (f *leaderFinder) setTarget(to string) {
	if to == f.target {
		return
	}
	f.target = to
	close(f.targetChanged)
	f.targetChanged = make(chan struct{})
}
