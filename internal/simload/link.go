package simload

import "time"

// link transfers pieces sequentially at a fixed rate. Pieces of concurrent
// transfers alternate, because each transfer queues only a few pieces at a time.
// Background pieces are sent only if no other piece is queued.
type link struct {
	clock *clock
	// rate is in bytes per second. It may change during transfers.
	rate                   float64
	urgent, background     []piece
	moving                 bool
	bytes, backgroundBytes int64
	busy                   time.Duration
}

type piece struct {
	bytes int64
	done  func()
}

func (l *link) send(bytes int64, background bool, done func()) {
	p := piece{bytes: bytes, done: done}
	if background {
		l.background = append(l.background, p)
		l.backgroundBytes += bytes
	} else {
		l.urgent = append(l.urgent, p)
	}
	l.bytes += bytes
	l.startNext()
}

func (l *link) startNext() {
	if l.moving {
		return
	}
	queue := &l.urgent
	if len(l.urgent) == 0 {
		queue = &l.background
	}
	if len(*queue) == 0 {
		return
	}
	p := (*queue)[0]
	*queue = (*queue)[1:]
	l.moving = true
	took := seconds(float64(p.bytes) / l.rate)
	l.busy += took
	l.clock.after(took, func() {
		l.moving = false
		l.startNext()
		p.done()
	})
}

// sendThrough sends a piece over several links in sequence.
func sendThrough(links []*link, bytes int64, background bool, done func()) {
	if len(links) == 0 {
		done()
		return
	}
	links[0].send(bytes, background, func() { sendThrough(links[1:], bytes, background, done) })
}
