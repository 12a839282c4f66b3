//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["origin"] = originsForgotten }

const (
	// longEvents is the number of events of a long stream, one each eventEvery.
	longEvents = 28
	eventEvery = 190 * time.Millisecond
	// streamsOpen is the number of streams that are open when the core is killed.
	streamsOpen = 16
	// planDeadline is the deadline of the streams.
	planDeadline = 6 * time.Second
	// tries is the number of attempts after the first one.
	tries = 4
)

// stream is what a client has of one stream, over its attempts.
type stream struct {
	// first is the id of the attempt that brought the first event.
	first string
	last  int
	// software holds the software versions of the runners of its events.
	software map[string]bool
	// taken indicates that the client has taken it up again, goesOn that an event has come since.
	taken, goesOn bool
	statuses      []int
}

// attempt sends the stream's request once more, after its last event, and reads until it breaks off.
func (c *clients) attempt(ctx context.Context, to *machine, s *stream, began time.Time, prefix string) (retryAfter time.Duration) {
	left := planDeadline - time.Since(began)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, c.sent.Add(1))
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at(to.ip, c.world.ports.callers)+"/plan/x", bytes.NewReader([]byte("prompt")))
	if err != nil {
		return 0
	}
	out.Host = "review.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": fmt.Sprint(left.Milliseconds()), "X-Api-Key": key, "Model": model,
		"Token-Usage": fmt.Sprintf("400,%d", longEvents), "Prompt-Prefix": prefix,
	} {
		out.Header.Set(name, value)
	}
	if s.last > 0 {
		out.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		out.Header.Set("Resumes", s.first)
	}
	got, err := c.client.Do(out)
	if err != nil {
		s.statuses = append(s.statuses, 0)
		return 0
	}
	defer got.Body.Close()
	s.statuses = append(s.statuses, got.StatusCode)
	if got.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(got.Body)
	for lines.Scan() {
		if number, found := strings.CutPrefix(lines.Text(), "id: "); found {
			n, _ := strconv.Atoi(number)
			if n != s.last+1 {
				c.world.rec.line("event %d after event %d", n, s.last)
			}
			if s.last == 0 {
				s.first = id
			}
			s.last, s.goesOn = n, s.taken
		}
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			s.software[strings.Fields(data)[1]] = true
		}
	}
	return 0
}

// originsForgotten opens streams at one entry while runners of two software versions serve. All processes of
// the core are killed at the same moment and are back within a second. When the core has been stable for
// contact_ms again, the entry is killed, and the clients take their streams up at the other entry.
func originsForgotten(ctx context.Context, w *world) (verdict, error) {
	f, err := w.startFleet(3, 2)
	if err != nil {
		return verdict{}, err
	}
	if _, err := f.newRunner(ctx, "app", "i-app0", 0); err != nil {
		return verdict{}, err
	}
	for n := range 4 {
		u, err := f.newRunner(ctx, "llm", fmt.Sprintf("i-llm%d", n), 1+n)
		if err != nil {
			return verdict{}, err
		}
		u.setSoftware(fmt.Sprintf("v%d", 1+n%2), eventEvery)
	}
	o, c := newOperator(f), newClients(w)
	if err := f.startServing(ctx, o, c, true); err != nil {
		return verdict{}, err
	}
	lost, other := f.entries[0], f.entries[1]
	pause(ctx, 6*time.Second)
	only := os.Getenv("ONLY")
	var clients sync.WaitGroup
	streams := make([]*stream, streamsOpen)
	for i := range streams {
		s := &stream{software: make(map[string]bool)}
		streams[i] = s
		clients.Go(func() {
			began, prefix := time.Now(), fmt.Sprintf("%x:301,%x:82", 256+i%3, 4096+i)
			c.attempt(ctx, lost, s, began, prefix)
			if s.last == 0 || s.last == longEvents {
				return
			}
			s.taken = true
			for n := 0; n < tries && s.last < longEvents && planDeadline-time.Since(began) > 50*time.Millisecond; n++ {
				wait := c.attempt(ctx, other, s, began, prefix)
				pause(ctx, max(20*time.Millisecond, min(wait, (planDeadline-time.Since(began))/3)))
			}
		})
	}
	pause(ctx, 300*time.Millisecond)
	core := time.Now()
	if troubled() && only != "entry" {
		for _, m := range f.controls {
			m.signal(syscall.SIGKILL)
		}
		w.rec.line("all processes of the core are killed")
		pause(ctx, 500*time.Millisecond)
		for _, m := range f.controls {
			m.awaitEnd(time.Second)
			if err := m.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	pause(ctx, time.Until(core.Add(500*time.Millisecond+contact+700*time.Millisecond)))
	if troubled() && only != "core" {
		lost.kill()
		w.rec.line("%s is killed, %.1f s after the core", lost.name, time.Since(core).Seconds())
	}
	begun := 0
	var fresh []*stream
	var others sync.WaitGroup
	for i := range 8 {
		s := &stream{software: make(map[string]bool)}
		fresh = append(fresh, s)
		others.Go(func() {
			c.attempt(ctx, other, s, time.Now().Add(-planDeadline/2), fmt.Sprintf("%x:301,%x:82", 256+i%3, 8192+i))
		})
	}
	clients.Wait()
	others.Wait()
	for _, s := range fresh {
		if s.last > 0 {
			begun++
		}
	}
	taken, goesOn, whole, mixed := 0, 0, 0, 0
	for i, s := range streams {
		if s.taken {
			taken++
		}
		if s.goesOn {
			goesOn++
		}
		if s.last == longEvents {
			whole++
		}
		if len(s.software) > 1 {
			mixed++
		}
		w.rec.line("stream %d: %d of %d events, taken up %v, goes on %v, statuses %v", i, s.last, longEvents, s.taken, s.goesOn, s.statuses)
	}
	seen := fmt.Sprintf("%d of %d streams whole; %d taken up at %s, of which %d go on; of %d new streams there %d begin; %d streams of two software versions", whole, len(streams), taken, other.name, goesOn, len(fresh), begun, mixed)
	const least = 12
	broken := taken >= least && float64(goesOn)/float64(taken) < 0.5*float64(begun)/float64(len(fresh)) || mixed > 2
	if troubled() && only == "" && taken < least {
		return verdict{}, fmt.Errorf("only %d streams were taken up again", taken)
	}
	return verdict{broken: broken, seen: seen}, nil
}
