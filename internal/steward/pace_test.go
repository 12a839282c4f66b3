package steward

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/internal/wait"
	"github.com/lovagereach/lovagereach/internal/wire"
)

// workingHost answers watches with news at once, one after the other, and each takes
// its processor a while.
type workingHost struct {
	processor chan struct{}
	each      time.Duration
	pace      pace
	watchers  int

	mu     sync.Mutex
	worked time.Duration
	// heard is when each entry was answered last, and longest its longest gap.
	heard   []time.Time
	longest []time.Duration
}

// answered notes an answer to one entry.
func (h *workingHost) answered(entry int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.longest[entry] = max(h.longest[entry], time.Since(h.heard[entry]))
	h.heard[entry] = time.Now()
}

// begin forgets what came before.
func (h *workingHost) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.worked = 0
	clear(h.longest)
}

func (h *workingHost) Call(context.Context, string, port.Method, []byte) ([]byte, error) {
	began := time.Now()
	h.processor <- struct{}{}
	time.Sleep(h.each)
	h.mu.Lock()
	h.worked += h.each
	h.mu.Unlock()
	answer := &WatchAnswer{Term: 1, Leader: "c1", EntryCount: h.watchers, Pause: h.pace.pause(h.watchers)}
	<-h.processor
	h.pace.note(time.Since(began))
	return wire.MustMarshal(answer), nil
}

func (h *workingHost) Send(string, port.Method, []byte) bool { return false }

// News come all the time while callers send prompts that nobody has sent before. Every
// entry asks again as soon as it was answered, and seventy of them take all of a
// control host's processor: configurations, announcements and the election of a leader
// wait behind them, and what entries are told of the stores is too old to be used. The
// host keeps half of its time for the rest, whatever an answer takes it, and every
// entry still has a word twice in the time that it may rely on one for.
func TestWatchersLeaveAHostTimeForTheRest(t *testing.T) {
	for _, c := range []struct {
		watchers int
		each     time.Duration
	}{{4, 500 * time.Microsecond}, {70, 500 * time.Microsecond}, {70, 2 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer func() {
				stop()
				time.Sleep(lateMost)
			}()
			h := &workingHost{
				processor: make(chan struct{}, 1), each: c.each, watchers: c.watchers,
				heard: make([]time.Time, c.watchers), longest: make([]time.Duration, c.watchers),
			}
			for i := range c.watchers {
				f := NewFollower(FollowerOptions{
					Transport: h, Seeds: []ident.Host{"c1"}, PeerPort: 1, Self: ident.Host(fmt.Sprint("e", i)), Log: log.New(io.Discard),
				})
				h.answered(i)
				go f.Run(ctx, func() *WatchRequest { return &WatchRequest{Entry: &EntryView{Host: fmt.Sprint("e", i)}} },
					func(*WatchAnswer, time.Time) { h.answered(i) })
			}
			wait.For(ctx, 2*time.Second)
			h.begin()
			wait.For(ctx, 5*time.Second)
			h.mu.Lock()
			defer h.mu.Unlock()
			if share := float64(h.worked) / float64(5*time.Second); share > 0.5 {
				t.Errorf("%d watchers at %v each take %.2f of the host", c.watchers, c.each, share)
			}
			for i, gap := range h.longest {
				if gap > InventoryMaxAge/2 {
					t.Errorf("%d watchers at %v each: entry %d heard nothing for %v", c.watchers, c.each, i, gap)
				}
			}
			t.Logf("%d watchers at %v each take %.2f of the host", c.watchers, c.each, float64(h.worked)/float64(5*time.Second))
		})
	}
}
