package replica

import (
	"sync"
	"testing"
	"time"

	"github.com/lovagereach/lovagereach/internal/port"
)

// Guards against a host that stands still for good since it opens one group while
// another, on the same worker, commits.
func TestGroupsAreOpenedWhileOthersCommit(t *testing.T) {
	const groups = 4000
	c := newCluster(t, 1, 1, func(o *Options) { o.Workers = 1 })
	host := c.hosts[0]
	host.fs.SlowSync(0)
	proposing, opened := make(chan struct{}), make(chan struct{})
	var proposers sync.WaitGroup
	for range 8 {
		proposers.Go(func() {
			for {
				select {
				case <-opened:
					return
				default:
					_, _ = host.replicas[0].Propose(limit(time.Second), []byte("c"))
				}
			}
		})
	}
	go func() { proposers.Wait(); close(proposing) }()
	go func() {
		defer close(opened)
		for id := range groups {
			if _, err := host.manager.Open(port.GroupID(id+1), &listMachine{}); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-opened:
		<-proposing
	case <-time.After(10 * time.Second):
		c.hosts = nil // Their end would wait for the same locks.
		t.Fatal("groups are not opened within 10 s")
	}
}
