package simtree

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// nodeTick is the interval at which a relay checks its children for timeouts.
const nodeTick = 100 * time.Millisecond

// node is a relay or an entry.
type node struct {
	host    ident.Host
	process process
	rate    float64
	role    member.Role
	// entry is nil for a relay, relay is nil for an entry.
	entry       *relay.Child
	relay       *relay.Relay
	link        *relay.Link
	parents     []string
	incarnation int
	acked       config.Revision
	// timerID is the number of the current renewal timer. Timers with a lower
	// number have been replaced and do nothing.
	timerID int
}

func (n *node) child() *relay.Child {
	if n.relay != nil {
		return n.relay.Child()
	}
	return n.entry
}

func (w *World) newRelay(i int, parents []string) (*node, error) {
	n := w.newNode(fmt.Sprintf("relay-%03d", i), i, member.RoleRelay, parents)
	return n, w.start(n)
}

func (w *World) newEntry(i int, parents []string) *node {
	n := w.newNode(fmt.Sprintf("entry-%04d", i), i, member.RoleEntry, parents)
	// start returns an error only for invalid options of a relay.
	_ = w.start(n)
	return n
}

func (w *World) newNode(host string, i int, role member.Role, parents []string) *node {
	n := &node{host: ident.Host(host), role: role, rate: w.rate(), parents: parents}
	n.process = process{host: n.host, dataCentre: w.dataCentre(i)}
	w.byHost[n.host] = n
	return n
}

// start starts a new incarnation of a process.
func (w *World) start(n *node) error {
	n.incarnation++
	n.process.incarnation++
	n.process.alive = true
	n.acked = 0
	now := w.clock(n.rate)
	claim := claimOf(&n.process, n.role, n.incarnation)
	phase := time.Duration(w.random.Int64N(int64(relay.RenewEvery)))
	n.link = relay.NewLink(n.host, n.parents, now, phase)
	if n.role == member.RoleEntry {
		n.entry = relay.NewChild(claim)
	} else {
		var err error
		if n.relay, err = relay.NewRelay(claim, relay.RelayOptions(), now); err != nil {
			return err
		}
		w.tickRelay(n, n.process.incarnation)
	}
	w.scheduleRenewal(n)
	return nil
}

// Kill stops a process without a departure announcement.
func (w *World) Kill(host ident.Host) { w.byHost[host].process.alive = false }

// Restart kills a process, if it is alive, and starts a new incarnation.
func (w *World) Restart(host ident.Host) error {
	n := w.byHost[host]
	n.process.alive = false
	return w.start(n)
}

// Cut drops the messages between the data centres for which cut returns true. A
// nil cut restores all links.
func (w *World) Cut(cut func(from, to ident.DataCentre) bool) {
	if cut == nil {
		cut = func(_, _ ident.DataCentre) bool { return false }
	}
	w.blocked = cut
}

// Relays lists the hosts of relays.
func (w *World) Relays() []ident.Host { return hostsOf(w.relays) }

// Entries lists the hosts of entries.
func (w *World) Entries() []ident.Host { return hostsOf(w.entries) }

func hostsOf(nodes []*node) []ident.Host {
	hosts := make([]ident.Host, len(nodes))
	for i, n := range nodes {
		hosts[i] = n.host
	}
	return hosts
}

// Traffic returns the traffic of a process; an empty host means the leader.
func (w *World) Traffic(host ident.Host) Traffic {
	if host == "" {
		return w.root.process.traffic
	}
	return w.byHost[host].process.traffic
}

// Child returns the state of an entry or relay as a child of its parent.
func (w *World) Child(host ident.Host) *relay.Child { return w.byHost[host].child() }

func (w *World) tickRelay(n *node, incarnation int) {
	if !n.process.alive || n.process.incarnation != incarnation {
		return
	}
	n.relay.Tick(w.clock(n.rate))
	w.sendAck(n)
	w.after(nodeTick, func() { w.tickRelay(n, incarnation) })
}

// scheduleRenewal sets the timer for the next renewal and replaces the previous one.
func (w *World) scheduleRenewal(n *node) {
	n.timerID++
	timerID := n.timerID
	wait := n.link.Next().Sub(w.clock(n.rate))
	w.after(max(wait, time.Millisecond), func() {
		if !n.process.alive || n.timerID != timerID {
			return
		}
		if !w.clock(n.rate).Before(n.link.Next()) {
			w.renew(n)
		}
		w.scheduleRenewal(n)
	})
}

func (w *World) renew(n *node) {
	now := w.clock(n.rate)
	parent, attach := n.link.Send(now)
	if attach {
		w.attach(n)
	}
	var renewal relay.Renewal
	if n.relay != nil {
		renewal = n.relay.Renewal(now)
		if w.faults.AckOnReceipt {
			renewal.InForce = renewal.Held
		}
	} else {
		renewal = n.entry.Renewal(now, n.entry.Revision())
	}
	if ident.Host(parent) == rootName {
		r := w.root
		w.send(&n.process, &r.process, renewal, func() { w.renewAtRoot(r, n, renewal) })
		return
	}
	up := w.byHost[ident.Host(parent)]
	w.send(&n.process, &up.process, renewal, func() { w.renewAtRelay(up, n, renewal) })
}

func (w *World) attach(n *node) {
	if n.relay != nil {
		n.relay.Attach()
		return
	}
	n.entry.Attach()
}

func (w *World) renewAtRelay(up, from *node, renewal relay.Renewal) {
	now := w.clock(up.rate)
	answer := up.relay.ChildRenewal(now, renewal)
	if w.faults.FullTerm && answer.Refused == relay.RefusedNoLease {
		answer.Refused, answer.Term = "", relay.DefaultTerm
	}
	w.send(&up.process, &from.process, answer, func() { w.handleRenewed(from, answer) })
	w.pushFromRelay(up, from)
}

func (w *World) handleRenewed(n *node, answer relay.Renewed) {
	now := w.clock(n.rate)
	var effect relay.Effect
	if n.relay != nil {
		effect = n.relay.Renewed(answer)
	} else {
		effect = n.entry.Renewed(answer)
	}
	if n.link.Answered(now, answer, effect) {
		w.attach(n)
	}
	w.applyEffect(n, effect)
}

func (w *World) handleUpdate(n *node, update config.Update) {
	now := w.clock(n.rate)
	var effect relay.Effect
	if n.relay != nil {
		effect = n.relay.Pushed(now, update)
	} else {
		effect = n.entry.Pushed(update)
	}
	w.applyEffect(n, effect)
}

// applyEffect pushes a changed configuration to the children and acknowledges it
// to the parent.
func (w *World) applyEffect(n *node, effect relay.Effect) {
	if effect.Err != nil {
		panic(fmt.Sprintf("simtree: %s: %v", n.host, effect.Err))
	}
	if effect.Behind {
		n.link.RenewNow(w.clock(n.rate))
	}
	if effect.ConfigChanged {
		now := w.clock(n.rate)
		n.link.ConfigChanged(now, n.child().Serving(now))
	}
	if effect.ConfigChanged && n.relay != nil {
		w.pushToChildren(n)
	}
	w.sendAck(n)
	w.scheduleRenewal(n)
}

func (w *World) pushToChildren(n *node) {
	for _, m := range n.relay.Parent().Children() {
		if m.State != member.StateDown {
			w.pushFromRelay(n, w.byHost[m.Host])
		}
	}
}

func (w *World) pushFromRelay(n, child *node) {
	if update := n.relay.Push(child.host); !update.Empty() {
		w.send(&n.process, &child.process, update, func() { w.handleUpdate(child, update) })
	}
}

// sendAck acknowledges to the parent the revisions that are newly in force here
// and below.
func (w *World) sendAck(n *node) {
	ack, changed := w.ackOf(n)
	if !changed {
		return
	}
	parent := ident.Host(n.link.Parent())
	if parent == rootName {
		r := w.root
		w.send(&n.process, &r.process, ack, func() { r.parent.Ack(ack) })
		return
	}
	up := w.byHost[parent]
	w.send(&n.process, &up.process, ack, func() {
		up.relay.ChildAck(ack)
		w.sendAck(up)
	})
}

func (w *World) ackOf(n *node) (relay.Ack, bool) {
	if n.relay != nil {
		ack, changed := n.relay.Ack(w.clock(n.rate))
		if w.faults.AckOnReceipt && n.child().Revision() > n.acked {
			n.acked = n.child().Revision()
			ack = n.child().Ack(n.acked)
			return ack, true
		}
		return ack, changed
	}
	held := n.entry.Revision()
	if held <= n.acked {
		return relay.Ack{}, false
	}
	n.acked = held
	return n.entry.Ack(held), true
}
