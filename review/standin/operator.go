//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// object is a JSON object.
type object = map[string]any

func text(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// operator calls the control machines as the pages tell: after a failure, a 5xx, or a second without
// a response it turns to the next one.
type operator struct {
	fleet  *fleet
	client *http.Client
	next   int
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: &http.Client{Timeout: time.Second}}
}

// call sends one call until it gets a clear response, at most for the given time. It returns the
// status and the body, status 0 if there was none.
func (o *operator) call(method, path, body string, within time.Duration) (int, string) {
	wait := 50 * time.Millisecond
	for end := time.Now().Add(within); time.Now().Before(end); {
		m := o.fleet.controls[o.next%len(o.fleet.controls)]
		status, answer := o.callAt(m, method, path, body)
		o.fleet.out.printf("operator %s %s at %s: %d", method, path, m.ip, status)
		if status/100 == 2 || status/100 == 4 && status != 408 && status != 429 {
			return status, answer
		}
		o.next++
		time.Sleep(wait)
		wait = min(2*wait, 500*time.Millisecond)
	}
	return 0, ""
}

// callAt sends one call to one machine, status 0 if there is no response.
func (o *operator) callAt(m *machine, method, path, body string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+m.at(m.fleet.ports.control)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := o.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(raw)
}

const (
	host      = "pule25.example"
	modelName = "daka510000"
)

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, targetMs int) object {
	return object{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": targetMs,
		"priority": 0, "service": service, "max_attempts": 2, "public": false, "session_affinity": kind == "streaming",
		"resumable": kind == "streaming", "target_gap_ms": 200,
	}
}

// document returns a configuration like that on the pages.
func document(version int, routes []object, tenants []object) object {
	return object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": "huvo11a", "health_path": "/healthz", "max_connections": 170, "protocol": "h1", "tls": false, "engine": object{
				"slots": 12, "kv_capacity_tokens": 91398, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true,
				"managed": true, "stride": 7, "max_in_flight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": []object{{"name": modelName}},
			}},
			{"name": "kafi81c", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}
