//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// part is a cached part of a prompt.
type part struct {
	tenant, request string
	version         int
	tokens          int
	at              time.Duration
}

// run is one run of a request.
type run struct {
	request, tenant, salt, runner, software, after string
	// reused are the parts that it found in the cache, with the tenant that made each.
	reused map[string]part
	at     time.Duration
}

// runner is a sound runner of a service, as the pages tell of it.
type runner struct {
	fleet       *fleet
	id, service string
	zone        string
	slots       int
	engine      bool
	address     string
	server      *http.Server
	born        int64
	// onRun is called for each run.
	onRun func(run)

	// events is the number of events of a stream, pause the time between two of them. late is how
	// late the heartbeats arrive.
	eventCount int
	pause      time.Duration
	late       time.Duration

	mu       sync.Mutex
	software string
	conns    map[net.Conn]bool
	down     bool
	beats    chan struct{}
	sequence int
	state    string
	version  int
	running  int
	// cache holds the parts by Cache-Salt and ID, and events what came into it.
	cache  map[[2]string]part
	events [][]any
	stop   context.CancelFunc
}

func newRunner(f *fleet, id, service, zone string, slots int, engine bool) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		fleet: f, id: id, service: service, zone: zone, slots: slots, engine: engine, address: listener.Addr().String(),
		state: "ready", version: 1, software: "v1", eventCount: 6, pause: 4 * time.Millisecond, onRun: func(run) {},
		beats: make(chan struct{}, 1),
	}
	r.start(listener, "v1")
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.beat(ctx)
	return r, nil
}

// start begins an incarnation.
func (r *runner) start(listener net.Listener, software string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.software, r.sequence, r.running, r.down = software, 0, 0, false
	r.cache, r.events, r.conns = make(map[[2]string]part), nil, make(map[net.Conn]bool)
	r.born = max(time.Now().UnixMilli(), r.born+1)
	conns := r.conns
	r.server = &http.Server{Handler: r, ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateNew {
			conns[c] = true
		} else if state == http.StateClosed {
			delete(conns, c)
		}
	}}
	go func(s *http.Server) { _ = s.Serve(listener) }(r.server)
	r.fleet.out.printf("runner %s starts with software %s, born %d, at %s", r.id, software, r.born, r.address)
	select {
	case r.beats <- struct{}{}:
	default:
	}
}

// crash ends the runner, which resets its connections. It is back under its id after a time.
func (r *runner) crash(down time.Duration, software string) error {
	r.fleet.out.printf("runner %s crashes", r.id)
	r.mu.Lock()
	server := r.server
	r.down = true
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	r.mu.Unlock()
	_ = server.Close()
	time.Sleep(down)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.start(listener, software)
	return nil
}

// close ends the runner.
func (r *runner) close() {
	r.stop()
	_ = r.server.Close()
}

// message returns the runner's next heartbeat.
func (r *runner) message() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	message := object{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.software, "slots": r.slots, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.engine {
		message["stage"], message["models"] = "both", []object{{"name": modelName, "version": r.version, "adapters": []string{}}}
	}
	return text(message)
}

// beat sends a heartbeat at each start and then one each heartbeat interval. Without an answer within
// a second the next daemon is called. Late ones are sent whatever became of the ones before.
func (r *runner) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for next := 0; ctx.Err() == nil; {
		r.mu.Lock()
		down, born := r.down, r.born
		r.mu.Unlock()
		m := r.fleet.controls[next%len(r.fleet.controls)]
		switch message := r.message(); {
		case down:
		case r.late > 0:
			// It has no answer within a second, and the next daemon is called, as late, unless the runner
			// has crashed meanwhile.
			for i, m := range r.fleet.controls {
				time.AfterFunc(time.Duration(i)*time.Second, func() {
					if r.lives(born) {
						time.AfterFunc(r.late, func() { r.send(ctx, client, m, message) })
					}
				})
			}
		case !r.send(ctx, client, m, message):
			next++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.beats:
		case <-time.After(heartbeat):
		}
	}
}

// send sends a heartbeat and reports whether it is acknowledged.
func (r *runner) send(ctx context.Context, client *http.Client, m *machine, message string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+m.at(m.fleet.ports.control)+"/-/instances/"+r.id, bytes.NewReader([]byte(message)))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	r.fleet.out.printf("heartbeat of %s arrives: %s: %d", r.id, message, answer.StatusCode)
	return answer.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("Instance-Id", r.id)
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/healthz":
		return
	case "/-/report", "/-/kv-events", "/-/kv-list":
		r.tell(w, q)
		return
	}
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	r.mu.Lock()
	version, born := strconv.Itoa(r.version), r.born
	full := r.running >= r.slots+4
	if !full {
		r.running++
	}
	load := fmt.Sprintf("%d,%d,%d", min(r.running, r.slots), max(r.running-r.slots, 0), r.slots)
	r.mu.Unlock()
	if expected := q.Header.Get("Expect-Version"); expected != "" && expected != version {
		if !full {
			r.leave(born)
		}
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave(born)
	w.Header().Set("Server-Load", load)
	w.Header().Set("Server-Seal", "seal."+r.id+"."+id)
	if r.engine {
		r.generate(w, q, id, born)
		return
	}
	time.Sleep(30 * time.Millisecond)
	r.onRun(run{request: id, tenant: q.Header.Get("Tenant"), runner: r.id, at: r.fleet.out.now()})
	answer := "answer to " + id + " (" + strconv.Itoa(len(body)) + ")"
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// lives reports whether the incarnation that was born at a time still runs.
func (r *runner) lives(born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down && r.born == born
}

// leave ends a run of the incarnation that was born at a time.
func (r *runner) leave(born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born == born {
		r.running--
	}
}

// generate answers a prompt: it reads the parts that are not cached, then sends the events.
func (r *runner) generate(w http.ResponseWriter, q *http.Request, id string, born int64) {
	salt, tenant := q.Header.Get("Cache-Salt"), q.Header.Get("Tenant")
	done := run{request: id, tenant: tenant, salt: salt, runner: r.id, reused: make(map[string]part), at: r.fleet.out.now()}
	kept := true
	for entry := range strings.SplitSeq(q.Header.Get("Prompt-Prefix"), ",") {
		name, count, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(count)
		if !r.lives(born) {
			panic(http.ErrAbortHandler)
		}
		r.mu.Lock()
		known, found := r.cache[[2]string{salt, name}]
		// A part is not read again if all parts before it are cached too.
		kept = kept && found
		if kept {
			done.reused[name] = known
		} else {
			r.cache[[2]string{salt, name}] = part{tenant: tenant, request: id, version: r.version, tokens: tokens, at: r.fleet.out.now()}
			r.events = append(r.events, []any{len(r.events) + 1, "+", salt, name, tokens, modelName})
		}
		r.mu.Unlock()
		if !kept {
			time.Sleep(time.Duration(tokens) * time.Millisecond / 112)
		}
	}
	if !r.lives(born) {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	software, version := r.software, r.version
	r.mu.Unlock()
	done.software, done.after = software, q.Header.Get("Last-Event-Id")
	r.onRun(done)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	control := http.NewResponseController(w)
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= r.eventCount; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, software); err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(r.pause)
	}
}

// tell answers the calls of the system.
func (r *runner) tell(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	held, events := []any{}, append([][]any{}, r.events...)
	used := 0
	for key, p := range r.cache {
		held = append(held, []any{key[0], key[1], p.tokens, modelName})
		used += p.tokens
	}
	answer := object{
		"stage": "both", "models": []object{{"name": modelName, "version": r.version, "adapters": []string{}}}, "busy": false, "sequence": 0,
		"queued": 0, "running": r.running, "kv_used": used, "kv_total": 91398, "handles": 0, "born": r.born, "state": r.state,
	}
	r.mu.Unlock()
	now := time.Now().UnixMilli()
	switch q.URL.Path {
	case "/-/kv-list":
		answer = object{"boot_epoch": r.born, "next_token": len(events), "held": held, "clock_ms": now, "born": r.born}
	case "/-/kv-events":
		since, _ := strconv.Atoi(q.URL.Query().Get("since"))
		since = min(since, len(events))
		answer = object{"boot_epoch": r.born, "next_token": len(events), "lost": false, "events": events[since:], "clock_ms": now, "born": r.born}
	}
	raw := text(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = io.WriteString(w, raw)
}
