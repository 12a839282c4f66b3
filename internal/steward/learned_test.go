package steward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lovagereach/lovagereach/estimate"
	"github.com/lovagereach/lovagereach/handover"
	"github.com/lovagereach/lovagereach/ident"
)

// learnedBy returns the snapshot of an entry that has seen prompts of an engine.
func learnedBy(perMs float64, prompts int) []byte {
	p := estimate.NewPrefillTime(120, 0)
	for i := range prompts {
		tokens := 500 + 900*(i%5)
		p.Observe(tokens, time.Duration((20+float64(tokens)/perMs)*float64(time.Millisecond)))
	}
	return handover.Encode(handover.Estimates{Services: []handover.Service{{Name: "llm", Prefill: p.Observed()}}}, time.Now())
}

func learnedPerMs(snapshot []byte) float64 {
	e, result := handover.Decode(snapshot, time.Now())
	if result != handover.Used || len(e.Services) == 0 {
		return 0
	}
	perMs, _ := e.Services[0].Prefill.Line(0, 0)
	return perMs
}

// askAsEntry sends watches as an entry that starts until one is answered with what others have
// learned; report is what it has learned itself.
func (f *testGroup) askAsEntry(name string, report []byte) (snapshot []byte) {
	f.t.Helper()
	follower := f.newFollower(ident.Host(name), 0)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	follower.Run(ctx, func() *WatchRequest {
		return &WatchRequest{Entry: &EntryView{Host: name}, Learned: report}
	}, func(answer *WatchAnswer, _ time.Time) {
		if len(answer.Learned) > 0 {
			snapshot = answer.Learned
			cancel()
		}
	})
	return snapshot
}

// Guards against entries that choose by assumed values after a loss of power at all hosts, or after
// the loss of the leader: what they have learned is in the log, and each control host passes it on.
func TestLearnedSurvivesLossOfAllHosts(t *testing.T) {
	f := newTestGroup(t)
	f.handover = true
	f.startThree()
	f.put(1, "one")
	for i := range 3 {
		if got := learnedPerMs(f.askAsEntry(fmt.Sprint("e", i), learnedBy(56, 100))); got < 50 || got > 62 {
			t.Fatalf("entry %d was given %.1f tokens a ms", i, got)
		}
	}
	f.await("a leader", func() bool { return f.leader() != nil })
	f.kill(f.leader().options.Self)
	if got := learnedPerMs(f.askAsEntry("e4", nil)); got < 50 || got > 62 {
		t.Errorf("given %.1f tokens a ms after the loss of the leader", got)
	}
	f.stopAll()
	for i := 1; i <= 3; i++ {
		f.start(hostName(i), fmt.Sprint("disk", i), false)
	}
	if got := learnedPerMs(f.askAsEntry("e5", nil)); got < 50 || got > 62 {
		t.Errorf("given %.1f tokens a ms after the loss of all hosts", got)
	}
}

// Guards against a control host that passes on damaged reports, or forgets a good one over them, and
// against an entry that is sent the same snapshot with every answer.
func TestBadReportsAreLeftOut(t *testing.T) {
	var reports learnedReports
	reports.log.log = log.New(io.Discard)
	now := time.Now()
	damaged := learnedBy(500, 100)
	damaged[7] ^= 1
	reports.record("e1", learnedBy(56, 100), now)
	reports.record("e1", damaged, now)
	reports.record("e2", []byte("x"), now)
	merged, n := reports.merge(handover.Estimates{}, now)
	if got := learnedPerMs(handover.Encode(merged, now)); n != 1 || got < 50 || got > 62 {
		t.Errorf("%d reports count, %.1f tokens a ms", n, got)
	}
	if _, n := reports.merge(handover.Estimates{}, now.Add(learnedTTL+1)); n != 0 {
		t.Errorf("%d reports count after their time", n)
	}

	s := testLeadership(2).steward
	s.options.Handover = true
	s.machine.applyLearned(learnedBy(56, 100))
	s.machine.applyLearned(make([]byte, handover.MaxBytes+1))
	for revision, want := range map[uint64]bool{0: true, 1: false, 7: true} {
		answer := &WatchAnswer{}
		s.addLearned(&WatchRequest{Entry: &EntryView{Host: "e1"}, LearnedRevision: revision}, answer)
		if got := len(answer.Learned) > 0; got != want || want && answer.LearnedRevision != 1 {
			t.Errorf("with revision %d: sent %v of revision %d", revision, got, answer.LearnedRevision)
		}
	}
	saved, err := s.machine.Snapshot()
	restored := NewMachine()
	if err != nil || restored.Restore(saved) != nil {
		t.Fatal(err)
	}
	if snapshot, revision := restored.learnedSnapshot(); revision != 1 || !bytes.Equal(snapshot, s.machine.learned) {
		t.Errorf("restored revision %d, %d bytes", revision, len(snapshot))
	}
}
