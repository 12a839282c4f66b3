package control_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/control"
	"github.com/lovagereach/lovagereach/internal/control/client"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/member"
)

// deployment is three control hosts and some entries on the fakes, in the virtual
// time of a synctest bubble.
type deployment struct {
	t       *testing.T
	group   *fakeGroup
	network *fakeNetwork
	servers []*control.Server
	entries []*client.Client
	// upstreams returns the upstreams that the entries report.
	upstreams atomic.Pointer[func() []protocol.Upstream]
	// replaced contains the calls of Options.OnEntryReplaced.
	replaced []replacedEntry
	stop     context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
}

type replacedEntry struct {
	host     ident.Host
	previous ident.Incarnation
}

func (d *deployment) entryReplaced(host ident.Host, previous ident.Incarnation) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.replaced = append(d.replaced, replacedEntry{host, previous})
}

func deploy(t *testing.T, entries int) *deployment {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	d := &deployment{t: t, group: newFakeGroup(), network: newFakeNetwork(), stop: stop, ctx: ctx}
	addresses := make(map[ident.Host]string)
	for _, name := range hostNames {
		addresses[name] = string(name)
	}
	for i, replica := range d.group.hosts {
		server := control.NewServer(control.Options{Replica: replica, Machine: replica.machine, Addresses: addresses, OnEntryReplaced: d.entryReplaced, Log: discardLog})
		server.Register(fakeRegistry{d.network, string(hostNames[i])})
		d.servers = append(d.servers, server)
		d.run(server.Run)
	}
	for i := range entries {
		d.startEntry(i)
	}
	d.awaitLeases()
	return d
}

func entryName(i int) ident.Host { return ident.Host(fmt.Sprint("entry-", i)) }

// claimOf returns an entry's claim to membership.
func claimOf(host ident.Host, incarnation ident.Incarnation) member.Member {
	return member.Member{
		Host:       host,
		DataCentre: "hall-north",
		Role:       member.RoleEntry,
		Stamp:      member.Stamp{Incarnation: incarnation, Session: 1},
		State:      member.StateAlive,
	}
}

func (d *deployment) startEntry(i int) *client.Client {
	entry, err := client.New(client.Options{
		Peers:     &fakePeer{network: d.network, self: port.Peer{Host: entryName(i), DataCentre: "hall-north", Incarnation: 1, Role: "entry"}},
		Self:      claimOf(entryName(i), 1),
		Addresses: []string{"control-0", "control-1", "control-2"},
		Log:       discardLog,
		Upstreams: func() []protocol.Upstream {
			report := d.upstreams.Load()
			if report == nil {
				return nil
			}
			return (*report)()
		},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.entries = append(d.entries, entry)
	d.run(entry.Run)
	return entry
}

func (d *deployment) run(f func(context.Context) error) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if err := f(d.ctx); err != nil {
			d.t.Error(err)
		}
	}()
}

// awaitLeases waits until leases are granted and old ones have ended.
func (d *deployment) awaitLeases() { time.Sleep(10 * time.Second) }

func (d *deployment) close() {
	d.stop()
	d.wg.Wait()
}

// apply sends one request to a control host.
func (d *deployment) apply(host int, id string, base config.Revision, doc config.Document) (control.ApplyAnswer, error) {
	ctx, cancel := context.WithTimeout(d.ctx, 20*time.Second)
	defer cancel()
	return d.servers[host].Apply(ctx, control.ApplyRequest{RequestID: id, Author: "ana", Base: base, Document: doc})
}

// mustApply applies a document, requires the revision to be in force and returns
// it.
func (d *deployment) mustApply(host int, id string, base config.Revision, doc config.Document) config.Revision {
	d.t.Helper()
	answer, err := d.apply(host, id, base, doc)
	if err != nil {
		d.t.Fatal(err)
	}
	if answer.Result.Verdict != config.VerdictApplied || !answer.InForce {
		d.t.Fatalf("apply gives %+v", answer)
	}
	return answer.Result.Revision
}

// document returns a valid document. Documents with different seeds differ.
func document(teams, seed int) config.Document {
	doc := config.Document{
		Classes: []config.Class{{
			Name:       "questions",
			Kind:       config.KindModel,
			FirstToken: config.Target{Within: config.Duration(380 * time.Millisecond)},
			Deadline:   config.Duration(30*time.Second + time.Duration(seed)*time.Millisecond),
		}},
		Models: []config.Model{{Name: "appraiser", Versions: []config.TargetVersion{{Version: "v1"}}}},
	}
	for i := range teams {
		name := fmt.Sprintf("team-%06d", i)
		doc.Teams = append(doc.Teams, config.Team{
			Name:    ident.Team(name),
			Tokens:  []config.TokenDigest{config.DigestToken(name)},
			Classes: []ident.Class{"questions"},
		})
	}
	doc.Normalize()
	return doc
}
