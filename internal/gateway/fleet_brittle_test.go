package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

const (
	// brittleGrace is the time from which brittle runners let fewer requests wait, brittleDown the
	// time for which one that fell over is down.
	brittleGrace = 3 * time.Second
	brittleDown  = 2 * time.Second
)

// brittleRunners models runners that state how many requests they may refuse in a second before
// they fall over.
type brittleRunners struct {
	// begin is the time from which they state perSecond. waiting is the number of requests that
	// they let wait from brittleGrace later.
	begin              time.Time
	perSecond, waiting int

	rejected map[*modelRunner][]time.Time
	down     map[*modelRunner]time.Time
	falls    int
	rejects  int
}

func (b *brittleRunners) active() bool { return b != nil && time.Since(b.begin) >= brittleGrace }

func (b *brittleRunners) queue(usual int) int {
	if b.active() {
		return b.waiting
	}
	return usual
}

// waits reports whether so many requests wait for memory that no further one may.
func (b *brittleRunners) waits(m *modelRunner) bool {
	return b.active() && m.present-m.running > b.waiting
}

// isDown reports whether the runner has fallen over. The caller holds the runner's lock.
func (b *brittleRunners) isDown(m *modelRunner) bool {
	if b == nil {
		return false
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return time.Now().Before(b.down[m])
}

// reject counts a refusal. The caller holds the runner's lock.
func (b *brittleRunners) reject(m *modelRunner) {
	if !b.active() {
		return
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	b.rejects++
	list := append(b.rejected[m], time.Now())
	for time.Since(list[0]) >= time.Second {
		list = list[1:]
	}
	if b.rejected[m] = list; len(list) > b.perSecond {
		b.falls++
		b.down[m], b.rejected[m] = time.Now().Add(brittleDown), nil
	}
}

func (b *brittleRunners) state(answer *Answer) {
	answer.Brittle = 0
	if b != nil && !time.Now().Before(b.begin) {
		answer.Brittle = b.perSecond
	}
}

// Guards against brittle runners that fall over because the entries together send them more
// requests than they have room for.
func TestBrittleRunnersStayUp(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		entries   int
		load      float64
		perSecond int
	}{{7, 1, 3}, {7, 1.7, 3}, {7, 2.5, 3}, {64, 1.7, 3}, {64, 2.5, 3}} {
		b := &brittleRunners{perSecond: test.perSecond, waiting: 1, rejected: make(map[*modelRunner][]time.Time), down: make(map[*modelRunner]time.Time)}
		shape := migrationFleet(test.entries)
		shape.slots = 12
		shape.longPerS, shape.shortPerS = shape.longPerS*test.load, shape.shortPerS*test.load
		if test.entries > 7 {
			shape.answerInterval, shape.answerLag = 250*time.Millisecond, 100*time.Millisecond
		}
		synctest.Test(t, func(t *testing.T) {
			f := newModelFleet(t, shape)
			b.begin = time.Now()
			f.brittle = b
			t.Logf("%d entries, %.1f of the load: %v", test.entries, test.load, f.run())
		})
		t.Logf("%d refused, %d falls", b.rejects, b.falls)
		if bound := 2 + shape.runners/10; b.falls > bound {
			t.Errorf("%d entries, %.1f of the load: %d falls, bound %d", test.entries, test.load, b.falls, bound)
		}
	}
}
