//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaving"] = leavingThroughAnother }

// exitAfter is how long a runner goes on that has said that it leaves and gets no acknowledgement.
const exitAfter = 3300 * time.Millisecond

// leavingThroughAnother partitions the entries from all runners for a few seconds: the connections of one
// are reset and those of the other live on, while new ones are refused. Meanwhile a runner that is cut off
// from control begins to leave and says so in its answers. The first entry passes such an answer on, which
// it got through the other one.
func leavingThroughAnother(ctx context.Context, w *world) (verdict, error) {
	f, err := w.startFleet(3, 2)
	if err != nil {
		return verdict{}, err
	}
	if _, err := f.newRunner(ctx, "app", "i-app0", 0); err != nil {
		return verdict{}, err
	}
	var runners []*runner
	for n := range 4 {
		u, err := f.newRunner(ctx, "llm", fmt.Sprintf("i-llm%d", n), 1+n)
		if err != nil {
			return verdict{}, err
		}
		runners = append(runners, u)
	}
	o, c := newOperator(f), newClients(w)
	if err := f.startServing(ctx, o, c, true); err != nil {
		return verdict{}, err
	}
	cut, other := f.entries[0], f.entries[1]
	pause(ctx, 3*time.Second)
	// Each entry gets connections to all runners, by prompts with different shared parts.
	for round := range 3 {
		for _, m := range f.entries {
			for part := range 12 {
				a := c.send(ctx, m, plan(fmt.Sprintf("a%d%d", round, part), 2))
				for _, u := range runners {
					u.claim(a.id, m)
				}
			}
		}
	}
	leaves := runners[0]
	if troubled() {
		leaves.mu.Lock()
		leaves.late = 6 * time.Second
		leaves.mu.Unlock()
		w.rec.line("from now on the heartbeats of %s arrive 6 s late", leaves.id)
		pause(ctx, 9*time.Second)
		for _, u := range runners {
			u.gate.refuse(cut)
		}
		w.rec.line("%s and %s are partitioned from all runners: connections of the first are reset, those of the second live on, new ones are refused", cut.name, other.name)
	}
	if !until(ctx, 4*time.Second, func() bool {
		return c.send(ctx, cut, plan(c.part(), 2)).status == http.StatusOK
	}) {
		return verdict{}, fmt.Errorf("%s serves nothing through another entry", cut.name)
	}
	leaves.mu.Lock()
	leaves.leaving, leaves.state = true, "draining"
	leaves.mu.Unlock()
	w.rec.line("%s begins to leave", leaves.id)
	began := time.Now()
	var passed time.Time
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && passed.IsZero(); pause(ctx, 30*time.Millisecond) {
		a := c.send(ctx, cut, plan(c.part(), 2))
		if a.header.Get("Server-Leaving") != "" {
			passed = time.Now()
			w.rec.line("%s passes on the answer to %s with Server-Leaving, signature %s", cut.name, a.id, a.header.Get("Server-Seal"))
		}
	}
	if passed.IsZero() {
		if troubled() {
			return verdict{}, fmt.Errorf("%s passed on no answer with Server-Leaving", cut.name)
		}
		passed = time.Now()
	}
	exit := time.AfterFunc(exitAfter, func() {
		leaves.end()
		w.rec.line("%s has ended, %.1f s after it began to leave", leaves.id, time.Since(began).Seconds())
	})
	defer exit.Stop()
	if troubled() {
		pause(ctx, 300*time.Millisecond)
		for _, u := range runners {
			if err := u.gate.open(); err != nil {
				return verdict{}, err
			}
		}
		w.rec.line("the partition is over")
	}
	// Meanwhile the entry serves other requests.
	for time.Since(passed) < drainTime+300*time.Millisecond && ctx.Err() == nil {
		c.send(ctx, cut, request{path: "/read/x", method: http.MethodGet})
		pause(ctx, 50*time.Millisecond)
	}
	var mu sync.Mutex
	var senders sync.WaitGroup
	sent, reached, served, lost := 0, 0, 0, 0
	for range 12 {
		senders.Go(func() {
			for end := passed.Add(drainTime + 3*time.Second); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 20*time.Millisecond) {
				a := c.send(ctx, cut, plan(c.part(), 40))
				mu.Lock()
				if a.sent.Sub(passed) > drainTime {
					sent++
					if a.status == http.StatusOK && a.whole {
						served++
					}
					if leaves.runs(a.id) > 0 {
						reached++
						if a.status != http.StatusOK || !a.whole {
							lost++
						}
						w.rec.line("request %s, sent to %s %.1f s after that answer, reaches %s; status %d, whole answer %v", a.id, cut.name, a.sent.Sub(passed).Seconds(), leaves.id, a.status, a.whole)
					}
				}
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	seen := fmt.Sprintf("of %d requests sent to %s later than %v after it had passed on an answer with Server-Leaving, %d reached that runner, of which %d were lost when it ended; %d were served", sent, cut.name, drainTime, reached, lost, served)
	return verdict{broken: reached > 0, seen: seen}, nil
}

// claim records that the connection on which a request ran here is one of an entry.
func (u *runner) claim(id string, m *machine) {
	u.mu.Lock()
	r := u.latest
	found := u.latestID == id
	u.mu.Unlock()
	if found && r != nil {
		u.gate.used(r, m)
	}
}
