package peer

import (
	"fmt"
	"sync"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// maxKnownPeers bounds the processes whose latest life is remembered.
const maxKnownPeers = 8192

// RoleControlTool is the role of short-lived operator tools. Several may run
// on one host at once, so their incarnations do not supersede one another.
const RoleControlTool = "ctl"

type process struct {
	host ident.Host
	role string
}

// life is the latest life known of a process.
type life struct {
	incarnation ident.Incarnation
	// answered is the latest hello of ours that this life has answered.
	answered helloSeq
	// former is the life before, zero if none is known.
	former ident.Incarnation
	conns  map[*conn]struct{}
}

// helloSeq numbers the hellos that this process writes. Each carries a nonce that the
// far side's proof covers, and is written once the connection stands, so that whoever
// answers one was alive after all that went before it.
type helloSeq uint64

// roster knows the latest life of each process and its connections. The lives of one
// process follow one another, so that the life which has answered a later hello is the
// later one. The time of day says nothing of it: a process that starts again after its
// clock stepped back would count as its own past for as long as it runs.
type roster struct {
	stats *stats

	mu     sync.Mutex
	issued helloSeq
	lives  map[process]*life
}

func newRoster(s *stats) *roster {
	return &roster{stats: s, lives: make(map[process]*life)}
}

// issue returns the number of the next hello.
func (r *roster) issue() helloSeq {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.issued++
	return r.issued
}

// admit takes in that p has answered a hello. A later life ends the connections of
// the former one: otherwise messages of a process that was replaced could still arrive
// after those of its successor. An answer of a former life that comes late is refused.
func (r *roster) admit(p port.Peer, answered helloSeq) error {
	if p.Role == RoleControlTool {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := process{host: p.Host, role: p.Role}
	known, ok := r.lives[key]
	switch {
	case !ok:
		return r.add(key, p.Incarnation, answered)
	case p.Incarnation == known.incarnation:
		known.answered = max(known.answered, answered)
		return nil
	case answered < known.answered:
		detail := fmt.Sprintf("host %q has a later life %d, this is %d", p.Host, known.incarnation, p.Incarnation)
		return &RefusedError{Reason: RefusedIncarnation, Detail: detail}
	case p.Incarnation == known.former && len(known.conns) > 0:
		// Only a process that still runs comes back. If each took the other's place,
		// neither could keep a connection.
		detail := fmt.Sprintf("two processes run as %s of host %q, %d and %d; stop one", p.Role, p.Host, known.incarnation, p.Incarnation)
		return &RefusedError{Reason: RefusedConcurrent, Detail: detail}
	}
	known.former = known.incarnation
	known.incarnation, known.answered = p.Incarnation, answered
	r.supersede(known)
	return nil
}

func (r *roster) add(key process, incarnation ident.Incarnation, answered helloSeq) error {
	if len(r.lives) >= maxKnownPeers && !r.evict() {
		return &RefusedError{Reason: RefusedBusy, Detail: "too many peers are connected"}
	}
	r.lives[key] = &life{incarnation: incarnation, answered: answered, conns: make(map[*conn]struct{})}
	return nil
}

func (r *roster) evict() bool {
	for key, known := range r.lives {
		if len(known.conns) == 0 {
			delete(r.lives, key)
			return true
		}
	}
	return false
}

func (r *roster) supersede(known *life) {
	for c := range known.conns {
		r.stats.superseded.Inc()
		c.fail(&RefusedError{Reason: RefusedIncarnation, Detail: "a later life has connected"})
	}
	clear(known.conns)
}

// attach registers an admitted connection. It reports false when a later life
// was admitted between the hello and now.
func (r *roster) attach(c *conn) bool {
	if c.remote.Role == RoleControlTool {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.lives[process{host: c.remote.Host, role: c.remote.Role}]
	if !ok || known.incarnation != c.remote.Incarnation {
		return false
	}
	known.conns[c] = struct{}{}
	return true
}

func (r *roster) detach(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.lives[process{host: c.remote.Host, role: c.remote.Role}]; ok {
		delete(known.conns, c)
	}
}
