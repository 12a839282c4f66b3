//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// operator sends configurations and reads them, as the pages say: to any daemon that serves control, the
// same call again to another one after a failure, a 5xx, a 408, a 429 or a second without an answer.
type operator struct {
	world  *world
	client *http.Client

	mu    sync.Mutex
	hosts []string
	next  int
	// content holds what was sent, by version, and acked the newest version that was acknowledged.
	content map[int][]byte
	acked   int
}

func newOperator(f *fleet) *operator {
	o := &operator{world: f.world, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, content: make(map[int][]byte)}
	for _, m := range f.controls {
		o.hosts = append(o.hosts, m.ip)
	}
	return o
}

// setHosts replaces the list of daemons.
func (o *operator) setHosts(machines ...*machine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hosts = nil
	for _, m := range machines {
		o.hosts = append(o.hosts, m.ip)
	}
}

func (o *operator) host() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return o.hosts[o.next%len(o.hosts)]
}

// call makes one call and returns the status, 0 without an answer.
func (o *operator) call(ctx context.Context, method, host, path string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at(host, o.world.ports.operators)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := o.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, read
}

// put sends a configuration until it is acknowledged, for at most d.
func (o *operator) put(ctx context.Context, version int, document map[string]any, d time.Duration) bool {
	document["version"] = version
	body, _ := json.Marshal(document)
	o.mu.Lock()
	o.content[version] = body
	o.mu.Unlock()
	o.world.rec.line("operator sends configuration %d", version)
	return o.order(ctx, http.MethodPut, "/-/config", body, d, func(host string) {
		o.mu.Lock()
		o.acked = max(o.acked, version)
		o.mu.Unlock()
		o.world.rec.line("configuration %d acknowledged by %s", version, host)
	})
}

// order repeats a call until it gets a 2xx, for at most d.
func (o *operator) order(ctx context.Context, method, path string, body []byte, d time.Duration, acknowledged func(host string)) bool {
	wait := 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		host := o.host()
		if status, _ := o.call(ctx, method, host, path, body); status/100 == 2 {
			acknowledged(host)
			return true
		}
		pause(ctx, wait)
		wait = min(2*wait, 400*time.Millisecond)
	}
	return false
}

// read reads the configuration from one daemon.
func (o *operator) read(ctx context.Context, host string) (status int, content []byte) {
	return o.call(ctx, http.MethodGet, host, "/-/config", nil)
}

// document is a configuration of one plain service and, if engine is set, one of model runners.
func document(engine bool) map[string]any {
	route := func(name, kind string, attempts int, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "review.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 6000, "target_latency_ms": 300,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false, "session_affinity": kind == "streaming", "resumable": kind == "streaming", "target_gap_ms": 200,
		}
	}
	plain := map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}
	d := map[string]any{
		"routes":   []any{route("read", "safe", 2, "app"), route("post", "unsafe", 1, "app")},
		"services": []any{plain},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "growers", "api_keys": []string{key}, "priority": 1}},
	}
	if engine {
		d["routes"] = append(d["routes"].([]any), route("plan", "streaming", 2, "llm"), route("once", "streaming", 1, "llm"))
		once := d["routes"].([]any)[3].(map[string]any)
		once["resumable"] = false
		d["services"] = append(d["services"].([]any), map[string]any{
			"name": "llm", "health_path": "/healthz", "max_connections": 230, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 32, "kv_capacity_tokens": 111646, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true, "managed": true,
				"stride": 7, "max_in_flight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": model}},
			},
		})
	}
	return d
}

// Names in the configuration.
const (
	key   = "nu6wsjnbanfqasnmgkcu"
	model = "daka510000"
)

// startServing sends the first configuration and waits until every entry serves.
func (f *fleet) startServing(ctx context.Context, o *operator, c *clients, engine bool) error {
	if !o.put(ctx, 1, document(engine), 20*time.Second) {
		return fmt.Errorf("the first configuration was not acknowledged: %w", errNotServing)
	}
	for _, m := range f.entries {
		if !until(ctx, 15*time.Second, func() bool {
			return c.send(ctx, m, request{path: "/read/x", method: http.MethodGet}).status == http.StatusOK
		}) {
			return errNotServing
		}
	}
	return f.formed()
}
