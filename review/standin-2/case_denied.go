//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["denied"] = deniedAfterPartition }

// newPath is the path of a request that nobody has sent before.
const newPath = "/read/new"

// deniedAfterPartition partitions the entries from all runners for a moment: their connections live on, new
// ones are refused. Meanwhile several clients send the same safe request to one entry, for the first time. Its
// answers have neither a length nor chunks and end with their connections.
func deniedAfterPartition(ctx context.Context, w *world) (verdict, error) {
	f, err := w.startFleet(3, 2)
	if err != nil {
		return verdict{}, err
	}
	var runners []*runner
	for n := range 4 {
		u, err := f.newRunner(ctx, "app", fmt.Sprintf("i-app%d", n), n)
		if err != nil {
			return verdict{}, err
		}
		u.mu.Lock()
		u.serve = func(rw http.ResponseWriter, r *http.Request) {
			pause(r.Context(), 60*time.Millisecond)
			if strings.HasPrefix(r.URL.Path, newPath) {
				w.rec.line("%s runs %s", u.id, r.Header.Get("Request-Id"))
				u.answerUnframed(rw, r)
				return
			}
			u.answerPlain(rw, r)
		}
		u.mu.Unlock()
		runners = append(runners, u)
	}
	o, c := newOperator(f), newClients(w)
	if err := f.startServing(ctx, o, c, false); err != nil {
		return verdict{}, err
	}
	pause(ctx, 3*time.Second)
	// Each entry gets connections to all runners.
	for _, m := range f.entries {
		for range 4 {
			c.many(ctx, m, 12, "/read/warm")
		}
	}
	first := f.entries[0]
	if troubled() {
		for _, u := range runners {
			u.gate.refuse(nil)
		}
		w.rec.line("the entries are partitioned from all runners: connections live on, new ones are refused")
	}
	statuses := c.many(ctx, first, 8, newPath)
	w.rec.line("8 clients send GET %s to %s at the same time: statuses %v", newPath, first.name, statuses)
	if troubled() {
		pause(ctx, 2*time.Second)
		for _, u := range runners {
			if err := u.gate.open(); err != nil {
				return verdict{}, err
			}
		}
		w.rec.line("the partition is over")
	}
	pause(ctx, contact+2*time.Second)
	sent, denied, others := 0, 0, 0
	byStatus := make(map[int]int)
	for n := range 40 {
		m := f.entries[n%2]
		a := c.send(ctx, m, request{path: newPath, method: http.MethodGet})
		sent++
		byStatus[a.status]++
		if a.status/100 == 4 && a.status != http.StatusTooManyRequests && a.status != http.StatusRequestTimeout && a.status != http.StatusMisdirectedRequest {
			denied++
		}
		if n < 4 {
			w.rec.line("GET %s at %s: status %d", newPath, m.name, a.status)
		}
		for _, status := range c.many(ctx, m, 4, fmt.Sprintf("/read/%d", n)) {
			sent++
			if status == http.StatusOK {
				others++
			}
		}
		pause(ctx, 50*time.Millisecond)
	}
	allowed := 5 + sent/500
	seen := fmt.Sprintf("%d seconds after the partition, of %d requests GET %s at two entries %d are denied (answers by status: %v), of all %d requests at most %d may be; %d of 160 other requests are served", int((contact + 2*time.Second).Seconds()), 40, newPath, denied, byStatus, sent, allowed, others)
	return verdict{broken: denied > allowed, seen: seen}, nil
}

// many sends the same request several times at once and returns the statuses.
func (c *clients) many(ctx context.Context, to *machine, n int, path string) []int {
	statuses := make([]int, n)
	var sends sync.WaitGroup
	for i := range n {
		sends.Go(func() { statuses[i] = c.send(ctx, to, request{path: path, method: http.MethodGet}).status })
	}
	sends.Wait()
	return statuses
}
