package ledger

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/audit"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/outcome"
)

func traced(n uint64, batch string) audit.Opening {
	now := time.Now()
	return audit.Opening{
		Request: requestOf(n), Team: "ledger", Class: "mapping-checks", Entry: "e1",
		Accepted: now, Deadline: now.Add(30 * time.Second), Mode: audit.ModeFull, Batch: batch,
	}
}

func newTestAuditor(t *testing.T, entry *fakeEntry) *Auditor {
	tracer := NewTracer(entry.Client)
	auditor := NewAuditor(audit.DefaultOptions(), tracer, time.Now, log.New(io.Discard))
	go tracer.Run(entry.net.stopped)
	go auditor.Run(entry.net.stopped)
	return auditor
}

// listOpen returns the open requests that an operator sees through another entry
// host.
func listOpen(t *testing.T, cluster *fakeCluster, shards uint32) []audit.Record {
	t.Helper()
	other := newFakeEntry(cluster, "desk", 1, shards)
	defer other.kill()
	found, err := other.Audit(context.Background(), audit.Query{Open: true})
	if err != nil {
		t.Fatal(err)
	}
	return found.Records
}

// An entry host crashes with requests in flight. They never get an outcome, and
// only the trace still records them: after their deadline exactly these requests
// must be listed, at any other entry host that an operator queries.
func TestWorkOfADeadEntryIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shards = 3
		cluster := newFakeCluster(shards)
		entry := newFakeEntry(cluster, "e1", 1, shards)
		auditor := newTestAuditor(t, entry)
		lost := make(map[ident.Request]bool)
		for n := range uint64(40) {
			o := traced(n, "")
			if err := auditor.Open(context.Background(), o); err != nil {
				t.Fatal(err)
			}
			if n%10 == 7 {
				lost[o.Request] = true
				continue
			}
			auditor.Close(o.Request, audit.Closing{Kind: outcome.KindDone, Decided: time.Now()})
		}
		auditor.tracer.Drain(context.Background())
		entry.kill()
		if got := listOpen(t, cluster, shards); len(got) != 0 {
			t.Errorf("%d requests listed before their deadline", len(got))
		}
		time.Sleep(time.Minute)
		got := listOpen(t, cluster, shards)
		if len(got) != len(lost) {
			t.Errorf("%d requests listed, want %d", len(got), len(lost))
		}
		for _, r := range got {
			if !lost[r.Opening.Request] {
				t.Errorf("request %s is listed though it has an outcome", r.Opening.Request)
			}
		}
	})
}

// Reports are lost, repeated and answered late while the leader changes. No
// accepted request may be missing from the trace. A request that was closed, or
// refused because its opening was not confirmed, must not remain listed.
func TestTraceUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster(1)
		entry := newFakeEntry(cluster, "e1", 1, 1)
		auditor := newTestAuditor(t, entry)
		calls := 0
		entry.net.delivery = func(port.Method) delivery {
			calls++
			if calls%17 == 0 {
				cluster.depose()
			}
			return [...]delivery{delivered, lostAfter, delivered, lostBefore, lateCopy}[calls%5]
		}
		accepted, refused := 0, 0
		for n := range uint64(200) {
			o := traced(n, "")
			timeout := time.Minute
			if n%4 == 0 {
				timeout = 5 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			err := auditor.Open(ctx, o)
			cancel()
			if err != nil {
				refused++
				continue
			}
			accepted++
			auditor.Close(o.Request, audit.Closing{Kind: outcome.KindDone, Decided: time.Now()})
		}
		time.Sleep(2 * time.Minute)
		if got := listOpen(t, cluster, 1); len(got) != 0 {
			t.Errorf("%d finished requests are listed as open", len(got))
		}
		found, err := entry.Audit(context.Background(), audit.Query{Limit: audit.MaxResults})
		if err != nil {
			t.Fatal(err)
		}
		done := 0
		for _, r := range found.Records {
			if r.Kind == outcome.KindDone {
				done++
			}
		}
		if done != accepted || refused == 0 {
			t.Errorf("%d of %d accepted requests are in the trace, %d refused", done, accepted, refused)
		}
		entry.kill()
		time.Sleep(2 * copyDelay)
	})
}

// The ledger doesn't answer while callers continue to declare batches. They wait
// until their deadlines, and their declarations remain queued, since they may
// already be in flight. A declaration beyond the queue's limit must be refused
// immediately, or an outage would exhaust the memory of the entry host.
func TestDeclarationsAreBounded(t *testing.T) {
	cluster := newFakeCluster(1)
	entry := newFakeEntry(cluster, "e1", 1, 1)
	defer entry.kill()
	tracer := NewTracer(entry.Client)
	declaration := audit.Declaration{BatchID: audit.BatchID{Team: "ledger", Batch: "night-1"}}
	queue := tracer.queue("ledger", "night-1", ident.Request{})
	queue.declares = make([]pendingDeclaration, maxTraceQueue-1)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	if err := tracer.Declare(gone, declaration); !errors.Is(err, context.Canceled) {
		t.Errorf("last declaration within the limit: %v", err)
	}
	if err := tracer.Declare(gone, declaration); !errors.Is(err, errTraceFull) {
		t.Errorf("declaration beyond the limit: %v", err)
	}
	if len(queue.declares) != maxTraceQueue {
		t.Errorf("%d declarations are queued, want %d", len(queue.declares), maxTraceQueue)
	}
}
