package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
)

// versionCaller is what one caller has of its stream.
type versionCaller struct {
	mu   sync.Mutex
	last int
	// first is the attempt that brought the first event, versions the versions of all events.
	first, attempt string
	versions       map[string]bool
	end            string
	cause          error
	cut            bool
}

// attemptOf is the Responder of one attempt of a caller.
type attemptOf struct {
	caller *versionCaller
	id     string
}

func (a *attemptOf) Begin(*Answer) error { return nil }

func (a *attemptOf) Piece(data []byte) error {
	c := a.caller
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt != a.id || c.cut {
		return errors.New("gone")
	}
	id, software, _ := strings.Cut(strings.TrimSpace(string(data)), "@")
	c.last, _ = strconv.Atoi(id)
	c.versions[software] = true
	if c.first == "" {
		c.first = a.id
	}
	return nil
}

func (a *attemptOf) finish(end string, cause error) {
	c := a.caller
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt == a.id && !c.cut {
		c.end, c.cause = end, cause
	}
}

func (a *attemptOf) Done()              { a.finish("done", nil) }
func (a *attemptOf) Abort()             { a.finish("broken", nil) }
func (a *attemptOf) Refuse(cause error) { a.finish("refused", cause) }

// call simulates a caller that resumes its stream at other entries until it is complete, four
// times at most.
func (f *versionFleet) call(name string) {
	c := &versionCaller{versions: make(map[string]bool)}
	began := time.Now()
	for try := range 5 {
		f.mu.Lock()
		e := f.entries[f.random.IntN(len(f.entries))]
		f.mu.Unlock()
		resuming := c.first != ""
		had, counts := c.last, resuming && f.twoServe(c)
		c.mu.Lock()
		c.attempt, c.end, c.cause, c.cut = fmt.Sprintf("%s-%d", name, try), "", nil, false
		c.mu.Unlock()
		r := &Request{ID: c.attempt, Method: "POST", Host: "h", Target: "/plan/x", Path: "/plan/x", Header: http.Header{}, Wait: 6*time.Second - time.Since(began),
			Arrived: time.Now(), Prompt: &Prompt{Model: "m", Parts: []placement.Part{{ID: name, Tokens: 100}}, Output: 10}}
		if resuming {
			r.Resumes, r.ResumeAfter = c.first, strconv.Itoa(c.last)
		}
		if e.life.Err() == nil {
			f.serve(e, r, c)
		}
		f.mu.Lock()
		switch {
		case !resuming && c.first != "":
			f.results.begun++
		case !resuming:
			f.results.refused++
		case counts && e.life.Err() == nil:
			f.results.resumed++
			if c.last > had || c.end == "done" {
				f.results.continued++
			}
		}
		f.mu.Unlock()
		if c.end == "done" {
			break
		}
		pause := 10 * time.Millisecond
		var refused *outcome.NotRun
		if errors.As(c.cause, &refused) {
			pause = max(pause, refused.RetryAfter)
		}
		time.Sleep(pause)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.end == "done" {
		f.results.finished++
	}
	if len(c.versions) > 1 {
		f.results.mixed++
	}
}

// serve lets an entry serve a request until it ends or the entry is killed.
func (f *versionFleet) serve(e *versionEntry, r *Request, c *versionCaller) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.gateway.Serve(e.life, r, &attemptOf{caller: c, id: r.ID})
	}()
	select {
	case <-ended:
	case <-e.life.Done():
		c.mu.Lock()
		c.cut = true
		c.mu.Unlock()
	}
}

// twoServe reports whether two runners of the version that began a stream serve.
func (f *versionFleet) twoServe(c *versionCaller) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for software := range c.versions {
		return f.serving(software) >= 2
	}
	return false
}

// run sends new streams for a time while faults strike.
func (f *versionFleet) run(perSecond int, length time.Duration, faults func()) *versionResults {
	var callers sync.WaitGroup
	time.Sleep(500 * time.Millisecond)
	callers.Go(faults)
	for i := range int(length.Seconds() * float64(perSecond)) {
		callers.Go(func() { f.call(fmt.Sprintf("s%d", i)) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	for _, e := range f.entries {
		e.kill()
	}
	f.watches.Wait()
	// Messages to control hosts end by themselves.
	time.Sleep(4 * originTimeout)
	return &f.results
}

// check checks the bounds.
func (r *versionResults) check(t *testing.T) {
	t.Helper()
	t.Logf("%+v", *r)
	if r.mixed > maxMixedStreams {
		t.Errorf("%d of %d streams hold events of two software versions", r.mixed, r.begun)
	}
	begins := float64(r.begun) / float64(max(r.begun+r.refused, 1))
	if goOn := float64(r.continued) / float64(max(r.resumed, 1)); r.resumed >= 12 && goOn < minResumedShare*begins {
		t.Errorf("%d of %d streams go on (%.2f), %.2f of the new ones begin", r.continued, r.resumed, goOn, begins)
	}
}
