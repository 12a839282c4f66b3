package replica

import (
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/quorum"
)

// Peer methods of managers.
const (
	// MethodMessages sends messages of groups and has no response.
	MethodMessages port.Method = "replica.messages"
	// MethodIdentify requests the disk identity of a host for a group.
	MethodIdentify port.Method = "replica.identify"
)

const (
	// maxBodyBytes is the approximate maximum size of a body with more than one
	// message; a single larger message is sent alone.
	maxBodyBytes = 1 << 20
	// messageOverhead is the approximate encoded size of a message or entry without
	// its data.
	messageOverhead = 96
)

// envelope is a message with the ID of its group.
type envelope struct {
	Group   port.GroupID   `cbor:"1,keyasint"`
	Message quorum.Message `cbor:"2,keyasint"`
}

// outbox collects the messages of all groups of a worker by peer.
type outbox struct {
	manager *Manager
	peers   map[ident.Host][]envelope
}

func (o *outbox) add(group port.GroupID, messages []quorum.Message) {
	for i := range messages {
		to := messages[i].To
		o.peers[to] = append(o.peers[to], envelope{Group: group, Message: messages[i]})
	}
}

// flush sends the collected messages. The timers of a group resend a message that
// is dropped here.
func (o *outbox) flush() {
	for host, envelopes := range o.peers {
		if len(envelopes) == 0 {
			continue
		}
		o.send(host, envelopes)
		clear(envelopes)
		o.peers[host] = envelopes[:0]
	}
}

func (o *outbox) send(host ident.Host, envelopes []envelope) {
	stats := o.manager.stats
	address := o.manager.options.Address(host)
	if address == "" {
		stats.sendDrops.Add(len(envelopes))
		return
	}
	for len(envelopes) > 0 {
		count := countFitting(envelopes)
		body := wire.MustMarshal(envelopes[:count])
		if o.manager.options.Peers.Send(address, MethodMessages, body) {
			stats.bodies.Inc()
			stats.messages.Add(count)
		} else {
			stats.sendDrops.Add(count)
		}
		envelopes = envelopes[count:]
	}
}

// countFitting returns the number of leading envelopes that fit in one body, at
// least one.
func countFitting(envelopes []envelope) int {
	size := 0
	for i := range envelopes {
		size += messageSize(&envelopes[i].Message)
		if size > maxBodyBytes && i > 0 {
			return i
		}
	}
	return len(envelopes)
}

func messageSize(m *quorum.Message) int {
	size := messageOverhead
	for i := range m.Entries {
		size += messageOverhead + len(m.Entries[i].Data)
	}
	if m.Chunk != nil {
		size += messageOverhead + len(m.Chunk.Data)
	}
	return size
}
