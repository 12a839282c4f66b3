//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// clients send requests to entries.
type clients struct {
	world  *world
	client *http.Client
	sent   atomic.Int64
	parts  atomic.Int64
}

func newClients(w *world) *clients {
	return &clients{world: w, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// request is one attempt of a client.
type request struct {
	path, method string
	body         []byte
	deadline     time.Duration
	header       map[string]string
}

// answer is what a client got; status is 0 without an answer.
type answer struct {
	id     string
	sent   time.Time
	status int
	header http.Header
	body   []byte
	whole  bool
}

// send sends a request to one entry.
func (c *clients) send(ctx context.Context, to *machine, r request) answer {
	if r.deadline == 0 {
		r.deadline = 1500 * time.Millisecond
	}
	a := answer{id: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, c.sent.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, r.deadline)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+at(to.ip, c.world.ports.callers)+r.path, bytes.NewReader(r.body))
	if err != nil {
		return a
	}
	out.Host = "review.example"
	out.Header.Set("Request-Id", a.id)
	out.Header.Set("Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	out.Header.Set("X-Api-Key", key)
	for name, value := range r.header {
		out.Header.Set(name, value)
	}
	got, err := c.client.Do(out)
	if err != nil {
		return a
	}
	defer got.Body.Close()
	a.status, a.header = got.StatusCode, got.Header
	a.body, err = io.ReadAll(got.Body)
	a.whole = err == nil
	return a
}

// plan is a prompt of the larger kind: a long part that many requests share, and one of its own. A route that
// doesn't allow its stream to be resumed takes it.
func plan(shared string, output int) request {
	return request{path: "/once/x", method: http.MethodPost, body: []byte("prompt"), deadline: 6 * time.Second, header: map[string]string{
		"Model": model, "Token-Usage": fmt.Sprintf("17060,%d", output), "Prompt-Prefix": fmt.Sprintf("%s:12800,%x:4260", shared, time.Now().UnixNano()),
	}}
}

// part returns the id of a shared part that no request had before.
func (c *clients) part() string { return fmt.Sprintf("b%07x", c.parts.Add(1)) }
