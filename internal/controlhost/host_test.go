package controlhost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/apiclient"
	"github.com/lovagereach/lovagereach/internal/adapter/peer"
	"github.com/lovagereach/lovagereach/internal/control/client"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/member"
)

const (
	testCluster = "test"
	testToken   = "operator-secret"
	// testTimeout fails a test that hangs; no check depends on its length.
	testTimeout = 30 * time.Second
)

var (
	testKey    = []byte("0123456789abcdef0123456789abcdef")
	discardLog = log.New(io.Discard)
)

// group is a set of control hosts on loopback.
type group struct {
	t     testing.TB
	dir   string
	peers map[ident.Host]string
	urls  map[ident.Host]string
	hosts map[ident.Host]*runningHost
}

// runningHost is one incarnation of a control host.
type runningHost struct {
	host  *Host
	drain func()
	kill  context.CancelFunc
	// result receives the result of Run.
	result chan error
}

func listen(t testing.TB, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func newGroup(t testing.TB) *group { return newGroupOf(t, 3) }

func newGroupOf(t testing.TB, hosts int) *group {
	t.Helper()
	g := &group{t: t, dir: t.TempDir(), peers: map[ident.Host]string{}, urls: map[ident.Host]string{}, hosts: map[ident.Host]*runningHost{}}
	listeners := map[ident.Host][2]net.Listener{}
	for i := range hosts {
		name := ident.Host(fmt.Sprint("control-", i))
		pair := [2]net.Listener{listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")}
		listeners[name] = pair
		g.peers[name] = pair[0].Addr().String()
		g.urls[name] = "http://" + pair[1].Addr().String()
	}
	for name, pair := range listeners {
		g.run(name, pair[0], pair[1])
	}
	t.Cleanup(g.stop)
	return g
}

func (g *group) run(name ident.Host, peers, operators net.Listener) {
	g.t.Helper()
	host, err := New(Options{
		Host:             name,
		DataCentre:       "hall",
		Cluster:          testCluster,
		Data:             filepath.Join(g.dir, string(name)),
		PeerListener:     peers,
		OperatorListener: operators,
		ControlAddresses: g.peers,
		OperatorURLs:     g.urls,
		OperatorTokens:   map[config.TokenDigest]string{config.DigestToken(testToken): "ana"},
		LedgerGroups:     2,
		PeerKey:          testKey,
		Log:              discardLog,
	})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, kill := context.WithCancel(context.Background())
	drain := make(chan struct{})
	r := &runningHost{host: host, kill: kill, drain: sync.OnceFunc(func() { close(drain) }), result: make(chan error, 1)}
	g.hosts[name] = r
	go func() { r.result <- host.Run(ctx, drain) }()
}

func (r *runningHost) wait(t testing.TB) {
	t.Helper()
	if err := <-r.result; err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("%s ended with %v", r.host.Name(), err)
	}
}

func (g *group) stop() {
	for _, r := range g.hosts {
		r.kill()
	}
	for _, r := range g.hosts {
		r.wait(g.t)
	}
}

// restart stops a host and starts it again with its addresses and data folder.
func (g *group) restart(name ident.Host, graceful bool) {
	g.t.Helper()
	old := g.hosts[name]
	if graceful {
		old.drain()
	} else {
		old.kill()
	}
	old.wait(g.t)
	g.run(name, listen(g.t, g.peers[name]), listen(g.t, g.urls[name][len("http://"):]))
}

// waitFor polls condition until it holds, and fails the test after testTimeout.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, testTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (g *group) leader() ident.Host {
	var leader ident.Host
	waitFor(g.t, "a leader", func() bool {
		for name, r := range g.hosts {
			if r.host.Server().Status().Leading != nil {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

func (g *group) awaitVoters(n int) {
	g.t.Helper()
	waitFor(g.t, "voters of every group", func() bool {
		for _, r := range g.hosts {
			for _, id := range r.host.options.groups() {
				if len(r.host.replicas[id].Status().Voters) != n {
					return false
				}
			}
		}
		return true
	})
}

func (g *group) operator() *apiclient.Client {
	var urls []string
	for _, url := range g.urls {
		urls = append(urls, url)
	}
	c, err := apiclient.New(urls, testToken, nil)
	if err != nil {
		g.t.Fatal(err)
	}
	return c
}

// apply sends a change until it is in force. A leader that is replaced meanwhile
// responds that it is not in force yet; sending the same request again makes no second
// change.
func (g *group) apply(id string, base config.Revision, deadline string) api.ApplyAnswer {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), testTimeout)
	defer cancel()
	for {
		answer := g.applyOnce(ctx, id, base, deadline)
		if answer.InForce || ctx.Err() != nil {
			return answer
		}
	}
}

func (g *group) applyOnce(ctx context.Context, id string, base config.Revision, deadline string) api.ApplyAnswer {
	g.t.Helper()
	request := api.ApplyRequest{
		RequestID: id,
		Base:      base,
		YAML:      "ledger_shards: 2\nclasses:\n- {name: questions, kind: model, first_token: {within: 380ms}, deadline: " + deadline + "}\n",
	}
	var answer api.ApplyAnswer
	err := g.operator().Call(ctx, apiclient.Request{Method: http.MethodPost, Path: api.PathConfig, Body: request, Into: &answer, Repeatable: true})
	if err != nil {
		g.t.Fatal(err)
	}
	return answer
}

// entry starts an entry's control client over loopback connections.
func (g *group) entry(name ident.Host) *client.Client {
	g.t.Helper()
	transport, err := peer.New(peer.Options{
		Cluster: testCluster,
		Self:    port.Peer{Host: name, DataCentre: "hall", Incarnation: 1, Role: "entry"},
		Key:     testKey,
	})
	if err != nil {
		g.t.Fatal(err)
	}
	var addresses []string
	for _, address := range g.peers {
		addresses = append(addresses, address)
	}
	c, err := client.New(client.Options{
		Peers: transport,
		Self: member.Member{
			Host: name, DataCentre: "hall", Role: member.RoleEntry, State: member.StateAlive,
			Stamp: member.Stamp{Incarnation: 1, Session: 1},
		},
		Addresses: addresses,
		Log:       discardLog,
	})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { _ = c.Run(ctx) })
	g.t.Cleanup(func() {
		cancel()
		ended.Wait()
		closing, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = transport.Close(closing)
	})
	return c
}

// Three control hosts form their groups. A change through the operators' interface is
// in force at all entries. Then the leader is killed and restarts from its disk, and the
// next leader is stopped gracefully. No revision may be lost, and a resend of the first
// request must return its first result.
func TestGroupSurvivesItsLeaders(t *testing.T) {
	g := newGroup(t)
	entries := []*client.Client{g.entry("entry-0"), g.entry("entry-1")}
	g.awaitVoters(3)
	if answer := g.apply("r1", 0, "30s"); answer.Revision != 1 || !answer.InForce {
		t.Fatalf("the first change returned %+v", answer)
	}
	checkRevision(t, entries, 1)
	g.checkAudit()

	killed := g.leader()
	g.hosts[killed].kill()
	g.hosts[killed].wait(t)
	delete(g.hosts, killed)
	if answer := g.apply("r2", 1, "31s"); answer.Revision != 2 || !answer.InForce {
		t.Fatalf("the change without the old leader returned %+v", answer)
	}
	checkRevision(t, entries, 2)
	g.run(killed, listen(t, g.peers[killed]), listen(t, g.urls[killed][len("http://"):]))
	waitFor(t, "the killed host to catch up", func() bool {
		return g.hosts[killed].host.Server().Status().Revision == 2
	})

	g.restart(g.leader(), true)
	if answer := g.apply("r1", 0, "30s"); !answer.Repeated || answer.Revision != 1 {
		t.Errorf("the resend of the first change returned %+v", answer)
	}
	if answer := g.apply("r3", 2, "32s"); answer.Revision != 3 {
		t.Errorf("the third change returned %+v", answer)
	}
	checkRevision(t, entries, 3)
}

// checkAudit sends an audit query to every host; each must reach the leaders of all
// ledger groups.
func (g *group) checkAudit() {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), testTimeout)
	defer cancel()
	for _, url := range g.urls {
		var answer map[string]any
		if err := g.operator().CallOne(ctx, url, apiclient.Request{Path: api.PathAudit + "?open=true", Into: &answer}); err != nil {
			g.t.Errorf("audit at %s: %v", url, err)
		}
	}
}

func checkRevision(t *testing.T, entries []*client.Client, revision config.Revision) {
	t.Helper()
	for i, entry := range entries {
		if got := entry.Snapshot().Revision(); got < revision {
			t.Errorf("entry %d is at revision %d while %d is in force", i, got, revision)
		}
	}
}

// A control host restarts with an empty data folder. It must neither vote nor form the
// groups again; the operator's replace adds it as a learner and promotes it. Right
// after that another host is lost permanently. The other two must still hold every
// revision.
func TestSecondHostLostAfterARepair(t *testing.T) {
	g := newGroup(t)
	g.awaitVoters(3)
	g.apply("r1", 0, "30s")
	const wiped = ident.Host("control-0")
	g.hosts[wiped].kill()
	g.hosts[wiped].wait(t)
	g.dir = t.TempDir()
	g.run(wiped, listen(t, g.peers[wiped]), listen(t, g.urls[wiped][len("http://"):]))
	waitFor(t, "the wiped host to wait", func() bool {
		return g.hosts[wiped].host.replicas[port.GroupConfig].opened.Load() != nil
	})
	g.changeMembers(api.ActionReplace, wiped)
	waitFor(t, "the wiped host to catch up", func() bool {
		return g.hosts[wiped].host.Server().Status().Revision == 1
	})
	g.hosts["control-1"].kill()
	g.hosts["control-1"].wait(t)
	delete(g.hosts, "control-1")
	if answer := g.apply("r2", 1, "31s"); answer.Revision != 2 {
		t.Errorf("the change after the second loss returned %+v", answer)
	}
	if answer := g.apply("r1", 0, "30s"); !answer.Repeated {
		t.Errorf("the resend of the first change returned %+v", answer)
	}
	// The lost host is removed from every group, whichever host leads it.
	g.changeMembers(api.ActionRemove, "control-1")
	g.awaitVoters(2)
}

func (g *group) changeMembers(action api.MemberAction, host ident.Host) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), testTimeout)
	defer cancel()
	var answer api.MembersAnswer
	err := g.operator().Call(ctx, apiclient.Request{
		Method: http.MethodPost, Path: api.PathMembers, Body: api.MemberRequest{Action: action, Host: host}, Into: &answer, Repeatable: true,
	})
	if err != nil {
		g.t.Fatal(err)
	}
}
