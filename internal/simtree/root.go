package simtree

import (
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// rootTick is the interval at which the leader checks its children for timeouts.
const rootTick = 100 * time.Millisecond

// reattachGrace is the time that the children of a lost relay have to attach to
// another parent before they are considered down.
const reattachGrace = 4 * time.Second

// root is the leader of the control group. A config.State replaces the group's
// log.
type root struct {
	process   process
	rate      float64
	state     *config.State
	directory *member.Directory
	parent    *relay.Parent
	epoch     uint64
}

// startLeader starts a new leader with the committed state.
func (w *World) startLeader(state *config.State, epoch uint64) error {
	directory, err := member.NewDirectory(member.DirectoryOptions{
		MaxMembers: member.DefaultMaxMembers,
		History:    member.DefaultHistory,
		Retention:  member.DefaultRetention,
	}, epoch)
	if err != nil {
		return err
	}
	r := &root{
		process:   process{host: rootName, dataCentre: w.dataCentre(0), alive: true, incarnation: int(epoch)},
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
// and an empty membership.
func (w *World) ChangeLeader() error {
	w.root.process.alive = false
	return w.startLeader(w.root.state, w.root.epoch+1)
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
			w.after(reattachGrace, func() { w.markChildrenLost(r, host) })
		}
	}
	r.directory.Tick(now)
	w.recordInForce()
	w.after(rootTick, func() { w.tickRoot(r) })
}

// markChildrenLost reports the relay's children to the directory as lost, unless
// the relay has attached again.
func (w *World) markChildrenLost(r *root, host ident.Host) {
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
		w.send(&r.process, &child.process, update, func() { w.handleUpdate(child, update) })
	}
}

// Change commits a new configuration and pushes it to the children.
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

// renewAtRoot handles a renewal at the leader.
func (w *World) renewAtRoot(r *root, from *node, renewal relay.Renewal) {
	now := w.clock(r.rate)
	answer := r.parent.Renew(now, renewal, relay.DefaultTerm)
	if answer.Verdict == member.VerdictAccepted {
		r.directory.Merge(now, from.host, renewal.Descendants)
	}
	w.send(&r.process, &from.process, answer, func() { w.handleRenewed(from, answer) })
	w.pushFromRoot(r, from)
}
