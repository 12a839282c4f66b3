//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// writeEvents is the number of events of a stream, writePause the time between two.
	writeEvents = 17
	writePause  = 60 * time.Millisecond
	// streamsPerSecond is the rate of the streams, at all entries together.
	streamsPerSecond = 100.0

	// The runner goes down and up with this period, for this time: the dose on the users' pages.
	flapPeriod = 1400 * time.Millisecond
	flapFor    = 6500 * time.Millisecond
	// flapping of the runners do, a tenth.
	flapping = 2
	// heartbeatDelay is how late heartbeats arrive.
	heartbeatDelay = 2500 * time.Millisecond
	// streamDeadline is the deadline of a stream's client.
	streamDeadline = 6 * time.Second
)

// stream is what a client has of a stream over its tries.
type stream struct {
	// first is the attempt that brought the first event, last the last event.
	first, last string
	events      int
	// software are the versions whose events it holds.
	software map[string]bool
}

// read sends an attempt and reads events until the answer ends. It reports whether the stream is
// complete.
func (s *stream) read(c *client, m *machine, left time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	id := newID()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.at(c.fleet.ports.frontend)+"/puxa400/2f", strings.NewReader("write"))
	if err != nil {
		panic(err)
	}
	request.Host, request.Close = host, true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	request.Header.Set("Model", modelName)
	request.Header.Set("Token-Usage", "142,20")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:82,%s:60", rand.Uint32(), id))
	if s.events > 0 {
		request.Header.Set("Last-Event-Id", s.last)
		request.Header.Set("Resumes", s.first)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		c.fleet.out.printf("client %s at %s: no answer", id, m.ip)
		return false
	}
	defer answer.Body.Close()
	var got []string
	if answer.StatusCode == 200 {
		for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
			if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
				s.software[data] = true
				got = append(got, s.last+" "+data)
				if s.events++; s.events == 1 {
					s.first = id
				}
			} else if event, found := strings.CutPrefix(lines.Text(), "id: "); found {
				s.last = event
			}
		}
	}
	c.fleet.out.printf("client %s at %s, resumes %q after %q: %d, events %v", id, m.ip, request.Header.Get("Resumes"), request.Header.Get("Last-Event-Id"), answer.StatusCode, got)
	return s.events == writeEvents
}

// flap lets a runner go down and up by turns. When it is back the first time it has another version
// of its software.
func flap(r *runner) error {
	for end := time.Now().Add(flapFor); time.Now().Before(end); time.Sleep(flapPeriod / 2) {
		if err := r.crash(flapPeriod/2, "v2"); err != nil {
			return err
		}
	}
	return nil
}

// versions: one model runner in ten goes down and up by turns.
func versions(out *recorder, trouble bool) (int, error) {
	f, err := newFleet(out, 3, 24)
	if err != nil {
		return notRun, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	var runners []*runner
	for i := range 20 {
		r, err := newRunner(f, fmt.Sprintf("i-%d", i), "huvo11a", zones[i%len(zones)], 12, true)
		if err != nil {
			return notRun, err
		}
		defer r.close()
		r.eventCount, r.pause, r.late = writeEvents, writePause, heartbeatDelay
		r.onRun = func(done run) {
			out.printf("runner %s, software %s, runs %s after event %q", done.runner, done.software, done.request, done.after)
		}
		runners = append(runners, r)
	}
	o, c := newOperator(f), newClient(f)
	d := document(1, []object{route("r-z5k6pjs", "/puxa400/", "streaming", "huvo11a", int(streamDeadline.Milliseconds()), 500)}, nil)
	delete(d, "tenants")
	if status, _ := o.call("PUT", "/-/config", text(d), 20*time.Second); status != 200 {
		return notRun, fmt.Errorf("the configuration is answered %d", status)
	}
	// Every entry knows the runners by then.
	time.Sleep(5 * time.Second)
	if trouble {
		go func() {
			time.Sleep(2 * time.Second)
			for _, r := range runners[:flapping] {
				go func() {
					if err := flap(r); err != nil {
						out.printf("the runner could not go on: %v", err)
					}
				}()
			}
		}()
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, mixed, complete := 0, 0, 0
	for end := time.Now().Add(flapFor + 5*time.Second); time.Now().Before(end); time.Sleep(time.Duration(rand.ExpFloat64() / streamsPerSecond * float64(time.Second))) {
		sent++
		all.Go(func() {
			s := &stream{software: make(map[string]bool)}
			end, at := time.Now().Add(streamDeadline), rand.IntN(len(f.entries))
			done := s.read(c, f.entries[at], time.Until(end))
			if !done && time.Until(end) > time.Second {
				// One retry, at another entry.
				time.Sleep(100 * time.Millisecond)
				done = s.read(c, f.entries[(at+1+rand.IntN(len(f.entries)-1))%len(f.entries)], time.Until(end))
			}
			mu.Lock()
			defer mu.Unlock()
			if done {
				complete++
			}
			if len(s.software) > 1 {
				mixed++
				out.printf("stream %s holds events of %v", s.first, s.software)
			}
		})
	}
	all.Wait()
	out.printf("%d of %d streams are complete, %d hold events of two versions", complete, sent, mixed)
	if 2*complete < sent {
		return notRun, fmt.Errorf("only %d of %d streams are complete", complete, sent)
	}
	if mixed > 2 {
		out.printf("BROKEN: more than two streams hold events from runners of two software versions of one service")
		return broken, nil
	}
	return held, nil
}
