package entryhost

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/entry"
	"github.com/lovagereach/lovagereach/internal/ledger"
	"github.com/lovagereach/lovagereach/once"
)

func (h *Host) buildLedger() error {
	o := h.options
	var err error
	h.ledger, err = ledger.NewClient(h.transport, ledger.Options{
		Self:    func() once.Owner { return once.Owner{Host: o.Host, Incarnation: h.control.Incarnation()} },
		Control: o.Control,
		Shards:  h.shards,
		Now:     time.Now,
	})
	return eris.Wrap(err, "entry: ledger client")
}

// shards returns the numbers of ledger shards in force. The number is fixed by
// the first revision of the configuration, so the list has one element.
func (h *Host) shards() once.Shards {
	return once.Shards{uint32(max(1, h.control.Snapshot().LedgerShards()))}
}

// ledgerPort adapts the ledger client. It implements entry.Ledger.
type ledgerPort struct {
	client *ledger.Client
}

// Do implements entry.Ledger.
func (l ledgerPort) Do(ctx context.Context, call entry.OnceCall, send entry.SendOnce) (entry.OnceDone, error) {
	done, err := l.client.Do(ctx, ledger.Call{
		Key:     call.Key,
		Digest:  call.Digest,
		Request: call.Request,
		Class:   call.Class,
	}, ledger.SendFunc(send))
	return entry.OnceDone{Answer: done.Answer, Replayed: done.Replayed}, err
}
