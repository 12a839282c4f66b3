package simtree

import (
	"fmt"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// nodeTick is how often a relay looks for silent children.
const nodeTick = 100 * time.Millisecond

// node is a relay or an entry.
type node struct {
	host ident.Host
	end  end
	rate float64
	role member.Role
	// entry is set for entries, relay for relays.
	entry       *relay.Child
	relay       *relay.Relay
	link        *relay.Link
	parents     []string
	incarnation int
	acked       config.Revision
	// wake is the number of the renewal timer that counts; earlier ones were
	// replaced.
	wake int
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
	// Only a relay's options can be refused.
	_ = w.start(n)
	return n
}

func (w *World) newNode(host string, i int, role member.Role, parents []string) *node {
	n := &node{host: ident.Host(host), role: role, rate: w.rate(), parents: parents}
	n.end = end{host: n.host, dataCentre: w.dataCentre(i)}
	w.byHost[n.host] = n
	return n
}

// start begins a new life of a process.
func (w *World) start(n *node) error {
	n.incarnation++
	n.end.life++
	n.end.alive = true
	n.acked = 0
	now := w.clock(n.rate)
	claim := claimOf(&n.end, n.role, n.incarnation)
	phase := time.Duration(w.random.Int64N(int64(relay.RenewEvery)))
	n.link = relay.NewLink(n.host, n.parents, now, phase)
	if n.role == member.RoleEntry {
		n.entry = relay.NewChild(claim)
	} else {
		var err error
		if n.relay, err = relay.NewRelay(claim, relay.RelayOptions(), now); err != nil {
			return err
		}
		w.tick(n, n.end.life)
	}
	w.arm(n)
	return nil
}

// Kill ends a process without a word.
func (w *World) Kill(host ident.Host) { w.byHost[host].end.alive = false }

// Restart begins a new life of a process that was killed.
func (w *World) Restart(host ident.Host) error {
	n := w.byHost[host]
	n.end.alive = false
	return w.start(n)
}

// Cut parts data centres from each other; nil heals.
func (w *World) Cut(cut func(from, to ident.DataCentre) bool) {
	if cut == nil {
		cut = func(_, _ ident.DataCentre) bool { return false }
	}
	w.cut = cut
}

// Relays and Entries list the hosts.
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

// Traffic returns what a process has sent and received; the leader's with an
// empty host.
func (w *World) Traffic(host ident.Host) Traffic {
	if host == "" {
		return w.root.end.traffic
	}
	return w.byHost[host].end.traffic
}

// Child returns an entry's or relay's link to its parent, for its state.
func (w *World) Child(host ident.Host) *relay.Child { return w.byHost[host].child() }

func (w *World) tick(n *node, life int) {
	if !n.end.alive || n.end.life != life {
		return
	}
	n.relay.Tick(w.clock(n.rate))
	w.ackUp(n)
	w.after(nodeTick, func() { w.tick(n, life) })
}

// arm sets the timer for the next renewal, in place of an earlier one.
func (w *World) arm(n *node) {
	n.wake++
	wake := n.wake
	wait := n.link.Next().Sub(w.clock(n.rate))
	w.after(max(wait, time.Millisecond), func() {
		if !n.end.alive || n.wake != wake {
			return
		}
		if !w.clock(n.rate).Before(n.link.Next()) {
			w.renew(n)
		}
		w.arm(n)
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
		w.send(&n.end, &r.end, renewal, func() { w.renewAtRoot(r, n, renewal) })
		return
	}
	up := w.byHost[ident.Host(parent)]
	w.send(&n.end, &up.end, renewal, func() { w.renewAtRelay(up, n, renewal) })
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
	w.send(&up.end, &from.end, answer, func() { w.renewed(from, answer) })
	w.pushFromRelay(up, from)
}

func (w *World) renewed(n *node, answer relay.Renewed) {
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
	w.settle(n, effect)
}

func (w *World) pushed(n *node, update config.Update) {
	now := w.clock(n.rate)
	var effect relay.Effect
	if n.relay != nil {
		effect = n.relay.Pushed(now, update)
	} else {
		effect = n.entry.Pushed(update)
	}
	w.settle(n, effect)
}

// settle passes a change on downwards and upwards.
func (w *World) settle(n *node, effect relay.Effect) {
	if effect.Err != nil {
		panic(fmt.Sprintf("simtree: %s: %v", n.host, effect.Err))
	}
	if effect.Behind {
		n.link.Behind(w.clock(n.rate))
	}
	if effect.ConfigChanged {
		now := w.clock(n.rate)
		n.link.Moved(now, n.child().Serving(now))
	}
	if effect.ConfigChanged && n.relay != nil {
		w.pushBelow(n)
	}
	w.ackUp(n)
	w.arm(n)
}

func (w *World) pushBelow(n *node) {
	for _, m := range n.relay.Parent().Children() {
		if m.State != member.StateDown {
			w.pushFromRelay(n, w.byHost[m.Host])
		}
	}
}

func (w *World) pushFromRelay(n, child *node) {
	if update := n.relay.Push(child.host); !update.Empty() {
		w.send(&n.end, &child.end, update, func() { w.pushed(child, update) })
	}
}

// ackUp tells the parent what more is in force here.
func (w *World) ackUp(n *node) {
	ack, changed := w.ackOf(n)
	if !changed {
		return
	}
	parent := ident.Host(n.link.Parent())
	if parent == rootName {
		r := w.root
		w.send(&n.end, &r.end, ack, func() { r.parent.Ack(ack) })
		return
	}
	up := w.byHost[parent]
	w.send(&n.end, &up.end, ack, func() {
		up.relay.ChildAck(ack)
		w.ackUp(up)
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
