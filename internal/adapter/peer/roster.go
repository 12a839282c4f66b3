package peer

import (
	"fmt"
	"sync"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// maxPeers is the maximum number of processes whose latest incarnation is stored.
const maxPeers = 8192

// RoleControlTool is the role of short-lived operator tools. Several may run
// concurrently on one host, so their incarnations don't supersede one another.
const RoleControlTool = "ctl"

// peerKey identifies a process across its incarnations.
type peerKey struct {
	host ident.Host
	role string
}

// peerState is the latest known incarnation of a process.
type peerState struct {
	incarnation ident.Incarnation
	// answered is the latest hello of this process that the incarnation has
	// answered.
	answered helloSeq
	// previous is the incarnation before, zero if none is known.
	previous ident.Incarnation
	conns    map[*conn]struct{}
}

// helloSeq is the number of a hello written by this process. A hello carries a nonce
// that the remote proof covers, and is written after the connection is established, so
// that a process that answers it was running after all hellos with lower numbers.
type helloSeq uint64

// roster holds the latest incarnation of each process and its connections. The
// incarnations of a process don't overlap, so the one that has answered a later hello is
// the newer one. Wall-clock start times aren't compared: a process that restarts after
// its clock stepped back would be refused as an older incarnation for as long as it runs.
type roster struct {
	stats *stats

	mu     sync.Mutex
	issued helloSeq
	peers  map[peerKey]*peerState
}

func newRoster(s *stats) *roster {
	return &roster{stats: s, peers: make(map[peerKey]*peerState)}
}

// issue returns the number of the next hello.
func (r *roster) issue() helloSeq {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.issued++
	return r.issued
}

// admit records that p has answered a hello. A newer incarnation closes the connections
// of the previous one: otherwise messages of a replaced process could still arrive after
// those of its successor. A stale answer of a previous incarnation is refused.
func (r *roster) admit(p port.Peer, answered helloSeq) error {
	if p.Role == RoleControlTool {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := peerKey{host: p.Host, role: p.Role}
	known, ok := r.peers[key]
	switch {
	case !ok:
		return r.add(key, p.Incarnation, answered)
	case p.Incarnation == known.incarnation:
		known.answered = max(known.answered, answered)
		return nil
	case answered < known.answered:
		detail := fmt.Sprintf("host %q has a later life %d, this is %d", p.Host, known.incarnation, p.Incarnation)
		return &RefusedError{Reason: RefusedIncarnation, Detail: detail}
	case p.Incarnation == known.previous && len(known.conns) > 0:
		// An incarnation that was superseded connects again only if it is still running.
		// If both superseded each other in turn, neither could keep a connection.
		detail := fmt.Sprintf("two processes run as %s of host %q, %d and %d; stop one", p.Role, p.Host, known.incarnation, p.Incarnation)
		return &RefusedError{Reason: RefusedConcurrent, Detail: detail}
	}
	known.previous = known.incarnation
	known.incarnation, known.answered = p.Incarnation, answered
	r.supersede(known)
	return nil
}

// add stores a process that was unknown before.
func (r *roster) add(key peerKey, incarnation ident.Incarnation, answered helloSeq) error {
	if len(r.peers) >= maxPeers && !r.evict() {
		return &RefusedError{Reason: RefusedBusy, Detail: "too many peers are connected"}
	}
	r.peers[key] = &peerState{incarnation: incarnation, answered: answered, conns: make(map[*conn]struct{})}
	return nil
}

// evict removes one process without connections and reports whether there was one.
func (r *roster) evict() bool {
	for key, known := range r.peers {
		if len(known.conns) == 0 {
			delete(r.peers, key)
			return true
		}
	}
	return false
}

// supersede closes the connections of the previous incarnation.
func (r *roster) supersede(known *peerState) {
	for c := range known.conns {
		r.stats.superseded.Inc()
		c.fail(&RefusedError{Reason: RefusedIncarnation, Detail: "a later life has connected"})
	}
	clear(known.conns)
}

// attach registers an admitted connection. It returns false if a newer
// incarnation has been admitted since the hello.
func (r *roster) attach(c *conn) bool {
	if c.remote.Role == RoleControlTool {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.peers[peerKey{host: c.remote.Host, role: c.remote.Role}]
	if !ok || known.incarnation != c.remote.Incarnation {
		return false
	}
	known.conns[c] = struct{}{}
	return true
}

func (r *roster) detach(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.peers[peerKey{host: c.remote.Host, role: c.remote.Role}]; ok {
		delete(known.conns, c)
	}
}
