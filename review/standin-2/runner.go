//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a server of one service.
type runner struct {
	world       *world
	service, id string
	address     string
	slots       int
	work        time.Duration
	// software is the version of its software, pauses the time between two events.
	software string
	pauses   time.Duration
	born     int64
	models   []any

	mu       sync.Mutex
	sequence int
	state    string
	// leaving indicates that it says so in its answers, late is how late its heartbeats arrive.
	leaving bool
	late    time.Duration
	// next is the host of the control API that it announces itself to next.
	next  int
	hosts []string
	// serve answers a client's request; manage a call under /-/, if it returns true.
	serve  func(w http.ResponseWriter, r *http.Request)
	manage func(w http.ResponseWriter, r *http.Request) bool
	ran    map[string]int
	gate   *gate
	// events are the parts that it has read, and cached those of them by salt and id.
	events []any
	cached map[string]bool
	// latest is the latest request that ran here.
	latest   *http.Request
	latestID string
}

// newRunner starts a runner on an address of its own.
func (f *fleet) newRunner(ctx context.Context, service, id string, n int) (*runner, error) {
	u := &runner{
		world: f.world, service: service, id: id, slots: 6, work: 100 * time.Millisecond, software: "v1", pauses: 40 * time.Millisecond, born: time.Now().UnixMilli(),
		state: "ready", ran: make(map[string]int), cached: make(map[string]bool),
	}
	if service == "llm" {
		u.slots, u.models = 32, []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}
	}
	for _, m := range f.controls {
		u.hosts = append(u.hosts, m.ip)
	}
	server := &http.Server{Handler: u}
	u.gate = newGate(server, at(f.ip(100+n), 0))
	if err := u.gate.open(); err != nil {
		return nil, err
	}
	u.address = u.gate.address
	f.atEnd(func() { _ = server.Close() })
	go u.announce(ctx)
	return u, nil
}

// ServeHTTP implements http.Handler.
func (u *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", u.id)
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		if u.manage == nil || !u.manage(w, r) {
			u.answerManagement(w, r)
		}
		return
	}
	u.mu.Lock()
	u.ran[r.Header.Get("Request-Id")]++
	serve, leaving := u.serve, u.leaving
	u.latest, u.latestID = r, r.Header.Get("Request-Id")
	u.mu.Unlock()
	w.Header().Set("Keep-Alive", "timeout=30")
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if serve != nil {
		serve(w, r)
		return
	}
	pause(r.Context(), u.work)
	if u.models != nil {
		u.answerStream(w, r)
		return
	}
	u.answerPlain(w, r)
}

// read records the shared parts of a prompt as cached.
func (u *runner) read(r *http.Request) {
	parts, salt := strings.Split(r.Header.Get("Prompt-Prefix"), ","), r.Header.Get("Cache-Salt")
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, part := range parts[:len(parts)-1] {
		id, count, _ := strings.Cut(part, ":")
		if tokens, err := strconv.Atoi(count); err == nil && !u.cached[salt+"/"+id] {
			u.cached[salt+"/"+id] = true
			u.events = append(u.events, []any{len(u.events) + 1, "+", salt, id, tokens, model})
		}
	}
}

// answerStream answers with a stream of an event for each token, which may go on after an event.
func (u *runner) answerStream(w http.ResponseWriter, r *http.Request) {
	u.read(r)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, output, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	events, _ := strconv.Atoi(output)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Server-Seal", u.seal(r.Header.Get("Request-Id")))
	for n := after + 1; n <= events && r.Context().Err() == nil; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, u.id, u.software, n)
		_ = http.NewResponseController(w).Flush()
		pause(r.Context(), u.pauses)
	}
}

// seal returns the signature of an answer.
func (u *runner) seal(id string) string { return "seal." + u.id + "." + id }

// answerPlain answers with a short body.
func (u *runner) answerPlain(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	text := "answer to " + id
	w.Header().Set("Server-Seal", u.seal(id))
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// answerManagement answers the calls of the system to a sound runner that caches nothing.
func (u *runner) answerManagement(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/-/report":
		u.mu.Lock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": u.models, "busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 111646, "handles": 0, "born": u.born,
		})
		u.mu.Unlock()
	case "/-/kv-events":
		pause(r.Context(), waitOf(r))
		since := r.URL.Query().Get("since")
		if since == "" {
			since = "0"
		}
		after, _ := strconv.Atoi(since)
		u.mu.Lock()
		events, next := u.events[min(after, len(u.events)):], len(u.events)
		u.mu.Unlock()
		if events == nil {
			events = []any{}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"boot_epoch": u.born, "next_token": next, "lost": false, "events": events, "clock_ms": time.Now().UnixMilli()})
	case "/-/kv-list":
		fmt.Fprintf(w, `{"boot_epoch":%d,"next_token":0,"held":[],"clock_ms":%d}`, u.born, time.Now().UnixMilli())
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// waitOf returns how long a call for events may be kept open.
func waitOf(r *http.Request) time.Duration {
	var ms int
	_, _ = fmt.Sscan(r.Header.Get("Wait-Ms"), &ms)
	return time.Duration(min(ms, 1000)) * time.Millisecond
}

// announce sends heartbeats until ctx ends.
func (u *runner) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		if u.beat(ctx, client) {
			pause(ctx, heartbeat)
			continue
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// beat sends one heartbeat and reports whether it was acknowledged, or is on its way.
func (u *runner) beat(ctx context.Context, client *http.Client) bool {
	u.mu.Lock()
	u.sequence++
	u.next++
	host := u.hosts[u.next%len(u.hosts)]
	message := map[string]any{
		"service": u.service, "address": u.address, "zone": zone, "version": u.software, "slots": u.slots, "state": u.state,
		"cold_remaining_ms": 0, "sequence": u.sequence, "born": u.born,
	}
	if u.models != nil {
		message["stage"], message["models"] = "both", u.models
	}
	late := u.late
	u.mu.Unlock()
	body, _ := json.Marshal(message)
	if late > 0 {
		go func() {
			pause(ctx, late)
			u.put(ctx, client, host, body)
		}()
		return true
	}
	return u.put(ctx, client, host, body)
}

// put sends one heartbeat and reports whether it was acknowledged.
func (u *runner) put(ctx context.Context, client *http.Client, host string, body []byte) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+at(host, u.world.ports.operators)+"/-/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		return true
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode/100 == 2
}

// runs returns how often a request has run here.
func (u *runner) runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// setSoftware sets the version of the runner's software, and the time between two events, before its first
// request.
func (u *runner) setSoftware(version string, pauses time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.software, u.pauses = version, pauses
}

// end ends the runner: it closes its listener and all connections.
func (u *runner) end() { _ = u.gate.server.Close() }

// answerUnframed answers with neither a length nor chunks: the answer ends with its connection.
func (u *runner) answerUnframed(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nServer-Seal: %s\r\nConnection: close\r\n\r\nanswer to %s", id, u.id, u.seal(id), id)
	_ = buffered.Flush()
	_ = conn.Close()
}
