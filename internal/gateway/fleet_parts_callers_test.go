package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
)

// soundAttempt is a first attempt; blamed indicates that it was refused because of a part.
type soundAttempt struct {
	at             time.Time
	served, blamed bool
}

// call sends one request with these parts and a last one of its own to an entry drawn at random, and
// reports whether it was served.
func (f *partFleet) call(body string, parts ...string) bool { return f.callAs("", body, parts...) }

// callAs sends one request of a team.
func (f *partFleet) callAs(team, body string, parts ...string) bool {
	return f.send(team, body, parts...).end == "done"
}

// send sends one request as callAs does and returns what its caller got.
func (f *partFleet) send(team, body string, parts ...string) *recorder {
	f.mu.Lock()
	f.requests++
	n := f.requests
	e := f.entries[f.random.IntN(len(f.entries))]
	f.mu.Unlock()
	r := &Request{ID: fmt.Sprint("id-", n), Method: "POST", Host: "h", Target: "/plan/x", Path: "/plan/x", Header: http.Header{}, Wait: 6 * time.Second,
		Arrived: time.Now(), Key: team, Body: []byte(body), Prompt: &Prompt{Model: "m", Output: 10}}
	for _, id := range append(slices.Clone(parts), fmt.Sprintf("%08x", n)) {
		r.Prompt.Parts = append(r.Prompt.Parts, placement.Part{ID: id, Tokens: 20})
	}
	if body == "" {
		r.Body = []byte(r.ID)
	}
	rec := &recorder{}
	if e.life.Err() == nil {
		e.gateway.Serve(e.life, r, rec)
	}
	return rec
}

// callSound sends a request that crashes nothing, and records its result.
func (f *partFleet) callSound(parts ...string) { f.callSoundAs("", parts...) }

// callSoundAs sends a request of a team that crashes nothing, and records its result.
func (f *partFleet) callSoundAs(team string, parts ...string) {
	at, rec := time.Now(), f.send(team, "", parts...)
	var refused *outcome.NotRun
	blamed := errors.As(rec.cause, &refused) && refused.Reason == outcome.ReasonQuarantinedPart
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sound = append(f.sound, soundAttempt{at: at, served: rec.end == "done", blamed: blamed})
}

// blamedAttempts returns the number of recorded first attempts that were refused because of a part, and
// of those after a time.
func (f *partFleet) blamedAttempts(after time.Time) (n, late int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.sound {
		if a.blamed {
			n++
		}
		if a.blamed && a.at.After(after) {
			late++
		}
	}
	return n, late
}

// every starts calls at an interval, for a time.
func (f *partFleet) every(interval, duration time.Duration, call func(n int)) {
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		f.tasks.Go(func() { call(n) })
		time.Sleep(interval)
	}
}

// soundBetween returns the number of recorded first attempts within a time, and of those served.
func (f *partFleet) soundBetween(from, to time.Time) (attempts, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.sound {
		if a.at.Before(from) || !a.at.Before(to) {
			continue
		}
		attempts++
		if a.served {
			served++
		}
	}
	return attempts, served
}

// stop ends the fleet.
func (f *partFleet) stop() {
	f.mu.Lock()
	entries := slices.Clone(f.entries)
	f.mu.Unlock()
	for _, e := range entries {
		e.kill()
	}
	f.tasks.Wait()
}
