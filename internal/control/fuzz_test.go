package control

import (
	"testing"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/wire"
)

func seedCommands() []command {
	delta := config.Delta{LedgerShards: 4}
	delta.Classes.Put = []config.Class{{Name: "questions", Kind: config.KindModel, FirstToken: config.Target{Within: 1, Percentile: 95}, Deadline: 2, Audit: config.AuditFull}}
	delta.Teams.Put = []config.Team{{Name: "growers", Tokens: []config.TokenDigest{{1}}, Classes: []ident.Class{"questions"}}}
	return []command{
		{Epoch: &openEpoch{Leader: "control-0", At: 1}},
		{Config: &config.Command{RequestID: "r1", Author: "ana", Delta: delta}},
		{Config: &config.Command{RequestID: "r2", Author: "ana", Base: 1, Delta: delta}},
	}
}

// For any content of the log or of a snapshot, a control host must answer or
// refuse it without a panic, and a restored state must be encodable again.
func FuzzMachine(f *testing.F) {
	machine := NewMachine()
	for i, cmd := range seedCommands() {
		data := wire.MustMarshal(cmd)
		f.Add(data)
		machine.Apply(uint64(i+1), data)
	}
	full, err := machine.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(full)
	f.Add(full[:len(full)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		machine := NewMachine()
		if len(machine.Apply(1, data)) == 0 {
			t.Error("no answer to a command")
		}
		if _, err := machine.Snapshot(); err != nil {
			t.Error(err)
		}
		restored := NewMachine()
		if restored.Restore(data) != nil {
			return
		}
		reencoded, err := restored.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewMachine().Restore(reencoded); err != nil {
			t.Errorf("an encoded state was refused: %v", err)
		}
	})
}
