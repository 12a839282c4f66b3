package gateway

import (
	"container/list"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/outcome"
	"github.com/lovagereach/lovagereach/placement"
)

// modelRunner takes prompts in order of arrival, prefills them one after the other, and caches
// the parts as long as its memory has capacity.
type modelRunner struct {
	fleet       *modelFleet
	id, zone    string
	mu          sync.Mutex
	slots       chan struct{}
	present     int
	arrivals    int
	running     int
	tokens      int
	prefillFree time.Time
	// linkFree is the end of the transfers on its link.
	linkFree time.Time
	freed    chan struct{}
	cached   map[string]*list.Element
	order    *list.List
	kept     int
}

type cachedPart struct {
	id     string
	tokens int
}

func (m *modelRunner) send(ctx context.Context, s *Send) (*Answer, error) {
	time.Sleep(time.Millisecond)
	if !m.fleet.cold.arrive(m) {
		return nil, &outcome.NotRun{Reason: outcome.ReasonDial}
	}
	m.mu.Lock()
	m.arrivals++
	if m.fleet.brittle.isDown(m) {
		m.mu.Unlock()
		return nil, &outcome.NotRun{Reason: outcome.ReasonDial}
	}
	if m.present >= m.fleet.shape.slots+m.fleet.brittle.queue(m.fleet.shape.queue) || m.fleet.brittle.waits(m) {
		m.fleet.brittle.reject(m)
		a := refusal(Full)
		a.Load = m.load()
		m.mu.Unlock()
		m.fleet.count(func(r *fleetResult) { r.arrivals++; r.full++ })
		return a, nil
	}
	m.present++
	m.mu.Unlock()
	m.fleet.count(func(r *fleetResult) { r.arrivals++ })
	leave := sync.OnceFunc(func() {
		m.mu.Lock()
		m.present--
		m.mu.Unlock()
	})
	select {
	case m.slots <- struct{}{}:
	case <-ctx.Done():
		leave()
		return nil, &outcome.Unknown{Reason: outcome.ReasonTimeout}
	}
	size := s.Request.Prompt.size()
	for {
		m.mu.Lock()
		if m.running == 0 || m.tokens+size <= m.fleet.shape.memory {
			break
		}
		freed := m.freed
		m.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			<-m.slots
			leave()
			return nil, &outcome.Unknown{Reason: outcome.ReasonTimeout}
		}
	}
	m.running++
	m.tokens += size
	m.evict()
	ready := m.prefill(s)
	load := m.load()
	step := time.Duration((3.41 + 0.097*float64(m.running)) * float64(time.Millisecond))
	m.mu.Unlock()
	end := sync.OnceFunc(func() {
		m.mu.Lock()
		m.running--
		m.tokens -= size
		parts := s.Request.Prompt.Parts
		for _, part := range parts[:len(parts)-1] {
			m.keep(part)
		}
		m.evict()
		close(m.freed)
		m.freed = make(chan struct{})
		m.mu.Unlock()
		<-m.slots
		leave()
	})
	time.Sleep(time.Until(ready) + step)
	if ctx.Err() != nil {
		end()
		return nil, &outcome.Unknown{Reason: outcome.ReasonTimeout}
	}
	body := &modelBody{rest: time.Duration(s.Request.Prompt.Output) * step, end: end}
	return &Answer{Status: 200, Header: http.Header{}, Load: load, Length: -1, Body: body}, nil
}

// prefill returns the time at which the prefill of the prompt ends. The caller holds the lock.
func (m *modelRunner) prefill(s *Send) time.Time {
	f, now := m.fleet, time.Now()
	parts, prompt := s.Request.Prompt.Parts, s.Prompt
	fetched, tokens, chain := now, 0, true
	for i, part := range parts {
		if i == len(parts)-1 {
			tokens += part.Tokens
			break
		}
		recomputed, prefilled := 0, 0
		_, held := m.cached[part.ID]
		switch {
		case held && chain:
		case chain && len(prompt.Fetch) > i && prompt.Fetch[i].Address != "":
			if end := f.link(f.stores[prompt.Fetch[i].Address], part.Tokens, m); end.After(fetched) {
				fetched = end
			}
		default:
			chain = false
			tokens += part.Tokens
			prefilled = part.Tokens
			f.mu.Lock()
			if f.seen[part.ID] {
				recomputed = part.Tokens
			}
			f.seen[part.ID] = true
			f.mu.Unlock()
		}
		f.count(func(r *fleetResult) {
			r.sharedTokens += part.Tokens
			r.prefillTokens += prefilled
			r.recomputedTokens += recomputed
		})
	}
	begin := fetched
	if m.prefillFree.After(begin) {
		begin = m.prefillFree
	}
	m.prefillFree = begin.Add(time.Duration(float64(tokens) / f.shape.prefillPerMs * float64(time.Millisecond)))
	prefilled := m.prefillFree
	for i, address := range prompt.Save {
		if store := f.stores[address]; store != nil {
			f.saves.Go(func() {
				time.Sleep(time.Until(prefilled))
				time.Sleep(time.Until(f.link(store, parts[i].Tokens, m)) + eventLag)
				f.addSaved(store, parts[i], prompt.Salt)
			})
		}
	}
	return prefilled
}

func (m *modelRunner) load() *Load {
	return &Load{Running: m.running, Waiting: m.present - m.running, Slots: m.fleet.shape.slots}
}

func (m *modelRunner) keep(part placement.Part) {
	if at, held := m.cached[part.ID]; held {
		m.order.MoveToFront(at)
		return
	}
	m.cached[part.ID] = m.order.PushFront(cachedPart{id: part.ID, tokens: part.Tokens})
	m.kept += part.Tokens
}

func (m *modelRunner) evict() {
	for m.kept+m.tokens > m.fleet.shape.memory && m.order.Len() > 0 {
		last := m.order.Back()
		part := last.Value.(cachedPart)
		m.order.Remove(last)
		delete(m.cached, part.id)
		m.kept -= part.tokens
	}
}

type modelBody struct {
	rest    time.Duration
	started bool
	end     func()
}

func (b *modelBody) Next() (Piece, error) {
	if !b.started {
		b.started = true
		return Piece{Data: []byte("id: 1\n\n"), ID: "1"}, nil
	}
	time.Sleep(b.rest)
	b.end()
	return Piece{}, io.EOF
}

func (b *modelBody) Close() { b.end() }
