//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requests atomic.Int64

// newID returns the identity of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requests.Add(1)) }

// answer is what a client gets for an attempt, status 0 for none.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// client sends attempts to entries over kept connections.
type client struct {
	fleet *fleet
	http  *http.Client
}

func newClient(f *fleet) *client {
	return &client{fleet: f, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 8, DisableCompression: true,
	}}}
}

// send sends one attempt to an entry.
func (c *client) send(m *machine, id, method, path, key, body string, deadline time.Duration, headers map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(c.fleet.ports.frontend)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	got, err := c.http.Do(request)
	if err != nil {
		c.fleet.out.printf("client %s %s %s at %s: no answer", id, method, path, m.ip)
		return answer{err: err}
	}
	defer got.Body.Close()
	raw, err := io.ReadAll(got.Body)
	c.fleet.out.printf("client %s %s %s at %s: %d, %d bytes, whole %t", id, method, path, m.ip, got.StatusCode, len(raw), err == nil)
	return answer{status: got.StatusCode, header: got.Header, body: string(raw), err: err}
}

// prompt sends a prompt with the given parts.
func (c *client) prompt(m *machine, id, key, prefix string) answer {
	tokens := 0
	for entry := range strings.SplitSeq(prefix, ",") {
		var n int
		_, count, _ := strings.Cut(entry, ":")
		if _, err := fmt.Sscan(count, &n); err != nil {
			panic(err)
		}
		tokens += n
	}
	return c.send(m, id, http.MethodPost, "/puxa400/2f", key, "prompt", 6*time.Second, map[string]string{
		"Model": modelName, "Token-Usage": fmt.Sprintf("%d,6", tokens), "Prompt-Prefix": prefix,
	})
}
