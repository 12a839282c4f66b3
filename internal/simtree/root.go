package simtree

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// rootTick is how often the leader looks for silent children.
const rootTick = 100 * time.Millisecond

// reattachGrace is how long the children of a lost relay have to attach
// elsewhere before they are taken for down.
const reattachGrace = 4 * time.Second

// root is the leader of the control group; the group's log is a State here.
type root struct {
	end       end
	rate      float64
	state     *config.State
	directory *member.Directory
	parent    *relay.Parent
	epoch     uint64
}

// lead makes a new leader over the committed state.
func (w *World) lead(state *config.State, epoch uint64) error {
	directory, err := member.NewDirectory(member.DirectoryOptions{
		MaxMembers: member.DefaultMaxMembers,
		History:    member.DefaultHistory,
		Retention:  member.DefaultRetention,
	}, epoch)
	if err != nil {
		return err
	}
	r := &root{
		end:       end{host: rootName, dataCentre: w.dataCentre(0), alive: true, life: int(epoch)},
		rate:      w.rate(),
		state:     state,
		directory: directory,
		epoch:     epoch,
	}
	r.parent, err = relay.NewParent(relay.RootOptions(), w.clock(r.rate), state, directory)
	if err != nil {
		return err
	}
	w.root = r
	w.after(rootTick, func() { w.tickRoot(r) })
	return nil
}

// ChangeLeader replaces the leader. The new one has the committed configuration
// and knows no process.
func (w *World) ChangeLeader() error {
	w.root.end.alive = false
	return w.lead(w.root.state, w.root.epoch+1)
}

func (w *World) tickRoot(r *root) {
	if w.root != r {
		return
	}
	now := w.clock(r.rate)
	r.parent.Tick(now)
	changes := r.parent.Changes()
	r.directory.Merge(now, rootName, changes)
	for _, m := range changes {
		if m.Role == member.RoleRelay && m.State == member.StateDown {
			host := m.Host
			w.after(reattachGrace, func() { w.relayLost(r, host) })
		}
	}
	r.directory.Tick(now)
	w.observe()
	w.after(rootTick, func() { w.tickRoot(r) })
}

// relayLost gives up the children of a relay unless it has come back.
func (w *World) relayLost(r *root, host ident.Host) {
	for _, m := range r.parent.Children() {
		if m.Host == host && m.State != member.StateDown {
			return
		}
	}
	r.directory.ParentLost(w.clock(r.rate), host)
}

func (w *World) pushAll(r *root) {
	for _, m := range r.parent.Children() {
		if m.State != member.StateDown {
			w.pushFromRoot(r, w.byHost[m.Host])
		}
	}
}

func (w *World) pushFromRoot(r *root, child *node) {
	if update := r.parent.Push(child.host); !update.Empty() {
		w.send(&r.end, &child.end, update, func() { w.pushed(child, update) })
	}
}

// Change commits a change of the configuration and pushes it.
func (w *World) Change(doc config.Document, id string) config.Result {
	r := w.root
	base := r.state.Current()
	delta := config.Diff(base, &doc)
	result := r.state.Apply(config.Command{RequestID: id, Author: "simtree", Base: base.Revision(), Delta: delta})
	r.parent.Committed(w.clock(r.rate), result.Revision)
	w.pushAll(r)
	return result
}

// Document returns the committed configuration.
func (w *World) Document() config.Document { return w.root.state.Current().Document() }

// InForce returns the revision that the leader reports as in force.
func (w *World) InForce() config.Revision {
	return w.root.parent.InForce(w.clock(w.root.rate))
}

// Committed returns the latest committed revision.
func (w *World) Committed() config.Revision { return w.root.state.Current().Revision() }

// Directory returns the leader's membership.
func (w *World) Directory() *member.Directory { return w.root.directory }

// renewAtRoot answers a renewal at the leader.
func (w *World) renewAtRoot(r *root, from *node, renewal relay.Renewal) {
	now := w.clock(r.rate)
	answer := r.parent.Renew(now, renewal, relay.DefaultTerm)
	if answer.Verdict == member.VerdictAccepted {
		r.directory.Merge(now, from.host, renewal.Descendants)
	}
	w.send(&r.end, &from.end, answer, func() { w.renewed(from, answer) })
	w.pushFromRoot(r, from)
}
