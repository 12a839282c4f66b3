package peer

import "sync"

// methodQueue handles the one-way messages of one method on one connection in
// order. It uses a goroutine and buffer memory only while messages are queued,
// because a control host has hundreds of connections, most of them idle.
type methodQueue struct {
	mu      sync.Mutex
	waiting []frame
	running bool
}

// add queues f and reports whether the queue had space for it.
func (l *methodQueue) add(c *conn, f frame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= c.transport.options.QueueLength {
		return false
	}
	l.waiting = append(l.waiting, f)
	if !l.running {
		l.running = true
		go l.run(c)
	}
	return true
}

// run handles queued messages until the queue is empty.
func (l *methodQueue) run(c *conn) {
	for {
		f, ok := l.next()
		if !ok {
			return
		}
		if c.ctx.Err() == nil {
			c.runOneWay(f)
		}
	}
}

// next returns the oldest queued message, or false if the queue is empty.
func (l *methodQueue) next() (frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.waiting = nil
		l.running = false
		return frame{}, false
	}
	f := l.waiting[0]
	l.waiting[0] = frame{}
	l.waiting = l.waiting[1:]
	return f, true
}
