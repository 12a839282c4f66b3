package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lovagereach/lovagereach/quorum"
)

// A group with a single host: the runtime writes and syncs, calls Advance, and
// applies the committed entries.
func ExampleNode() {
	self := quorum.Member{Host: "hall-north-1", Disk: 42}
	now := time.Unix(0, 0)
	node, err := quorum.NewNode(
		quorum.Options{Self: self.Host, Rand: rand.New(rand.NewPCG(1, 2))},
		quorum.Bootstrap(quorum.Membership{Voters: []quorum.Member{self}}, self.Host), now)
	if err != nil {
		panic(err)
	}
	drive := func() {
		for ready := node.Ready(); !ready.Empty(); ready = node.Ready() {
			// Write and sync ready.Snapshot, HardState and Entries, then send
			// ready.Messages.
			for _, entry := range ready.Committed {
				if entry.Kind == quorum.EntryCommand {
					fmt.Printf("apply %d: %s\n", entry.Index, entry.Data)
				}
			}
			if ready.Persistent() {
				node.Advance(now)
			}
		}
	}
	drive()
	now = now.Add(time.Second)
	node.Tick(now)
	drive()
	if _, _, err := node.Propose(now, []byte("set a=1")); err != nil {
		panic(err)
	}
	drive()
	fmt.Println(node.Status().Role)
	// Output:
	// apply 3: set a=1
	// leader
}
