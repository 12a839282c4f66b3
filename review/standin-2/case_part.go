//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["part"] = partAfterMove }

const (
	// badPart is the part that crashes each runner that begins to write an answer on it.
	badPart = "badbad01"
	// backAfter is how long a runner that has crashed is away.
	backAfter = 2 * time.Second
)

// crash ends the runner at once; it is back after some seconds under its id, and knows nothing of before.
func (u *runner) crash() {
	u.gate.down()
	time.AfterFunc(backAfter, func() {
		u.mu.Lock()
		u.born, u.sequence, u.events, u.cached = time.Now().UnixMilli(), 0, nil, make(map[string]bool)
		u.mu.Unlock()
		_ = u.gate.open()
	})
}

// arrival is a request with the bad part that reached a runner.
type arrival struct {
	id, runner string
	at         time.Time
}

// arrivals collects them.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(id, runner string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, arrival{id, runner, time.Now()})
	return len(a.list)
}

// fifth returns when the fifth runner crashed, zero if fewer have.
func (a *arrivals) fifth() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	const enough = 5
	if len(a.list) < enough {
		return time.Time{}
	}
	return a.list[enough-1].at
}

// partAfterMove lets requests with one part crash the runners of a service. When the part is known to crash
// runners, a new configuration moves the route to another service, and the requests go on.
func partAfterMove(ctx context.Context, w *world) (verdict, error) {
	f, err := w.startFleet(3, 2)
	if err != nil {
		return verdict{}, err
	}
	var crashes arrivals
	for n := range 12 {
		service := []string{"llm", "app"}[n/6]
		u, err := f.newRunner(ctx, service, fmt.Sprintf("i-%s%d", service, n%6), n)
		if err != nil {
			return verdict{}, err
		}
		u.mu.Lock()
		u.serve = func(rw http.ResponseWriter, r *http.Request) {
			pause(r.Context(), 50*time.Millisecond)
			if strings.Contains(r.Header.Get("Prompt-Prefix"), badPart+":") {
				n := crashes.add(r.Header.Get("Request-Id"), u.id)
				w.rec.line("%s crashes, the %d. time that one does: request %s", u.id, n, r.Header.Get("Request-Id"))
				u.crash()
				panic(http.ErrAbortHandler)
			}
			if r.Header.Get("Prompt-Prefix") != "" {
				u.answerStream(rw, r)
				return
			}
			u.answerPlain(rw, r)
		}
		u.mu.Unlock()
	}
	o, c := newOperator(f), newClients(w)
	if err := f.startServing(ctx, o, c, true); err != nil {
		return verdict{}, err
	}
	pause(ctx, 4*time.Second)
	// Sound requests share other parts.
	send, stop := context.WithCancel(ctx)
	defer stop()
	var senders sync.WaitGroup
	var mu sync.Mutex
	sound, served, bad := 0, 0, 0
	for n := range 8 {
		senders.Go(func() {
			for send.Err() == nil {
				a := c.send(send, f.entries[n%2], soundPrompt(n%4))
				mu.Lock()
				sound++
				if a.status == http.StatusOK && a.whole {
					served++
				}
				mu.Unlock()
				pause(send, 200*time.Millisecond)
			}
		})
	}
	pause(ctx, 4*time.Second)
	if troubled() {
		senders.Go(func() {
			for n := 0; send.Err() == nil; n++ {
				go c.send(send, f.entries[n%2], badPrompt(n))
				mu.Lock()
				bad++
				mu.Unlock()
				pause(send, 500*time.Millisecond)
			}
		})
		if !until(ctx, 20*time.Second, func() bool { return !crashes.fifth().IsZero() }) {
			return verdict{}, fmt.Errorf("fewer than five runners have crashed")
		}
		w.rec.line("the fifth runner has crashed")
		pause(ctx, time.Until(crashes.fifth().Add(contact+2*time.Second)))
	}
	if troubled() && os.Getenv("ONLY") != "part" || !troubled() {
		moved := document(true)
		for _, r := range moved["routes"].([]any) {
			if route := r.(map[string]any); route["name"] == "plan" {
				route["service"] = "app"
			}
		}
		if !o.put(ctx, 2, moved, 5*time.Second) {
			return verdict{}, fmt.Errorf("configuration 2 was not acknowledged")
		}
		w.rec.line("the route of the prompts leads to the other service now")
	}
	pause(ctx, 25*time.Second)
	stop()
	senders.Wait()
	late := 0
	if fifth := crashes.fifth(); !fifth.IsZero() {
		for _, a := range crashes.list {
			if a.at.Sub(fifth) > contact {
				late++
			}
		}
	}
	const allowed = 3
	seen := fmt.Sprintf("%d requests with the part were sent, %d reached runners, of which %d later than %v after the fifth crash; %d of %d sound requests were served", bad, len(crashes.list), late, contact, served, sound)
	return verdict{broken: late > allowed, seen: seen}, nil
}

// soundPrompt is a prompt with a part that other sound requests share.
func soundPrompt(n int) request {
	return prompt(fmt.Sprintf("a%03d:301", n))
}

// badPrompt is a prompt with the bad part and one that sound requests share.
func badPrompt(n int) request {
	return prompt(fmt.Sprintf("a%03d:301,%s:200", n%4, badPart))
}

func prompt(parts string) request {
	return request{path: "/plan/x", method: http.MethodPost, body: []byte("prompt"), deadline: 4 * time.Second, header: map[string]string{
		"Model": model, "Token-Usage": "600,3", "Prompt-Prefix": fmt.Sprintf("%s,%x:82", parts, time.Now().UnixNano()),
	}}
}
