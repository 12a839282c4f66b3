package controlhost

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/ledger"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/once"
)

// lostTimeout bounds the messages about one replaced entry.
const lostTimeout = 5 * time.Second

// entryReplaced tells the ledger groups that an entry's former incarnation has
// ended, so that whoever waits for its claims learns at once that their outcome
// is unknown. A message that is lost does no harm: claims end by their hold too.
func (h *Host) entryReplaced(host ident.Host, former ident.Incarnation) {
	owner := once.Owner{Host: host, Incarnation: former}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lostTimeout)
		defer cancel()
		h.options.Log.Info("entry replaced", "host", host, "former", former)
		for id := range h.ledgers {
			leader := h.replicas[id].Status().Leader
			address := h.options.ControlAddresses[leader]
			if address == "" {
				continue
			}
			body := wire.MustMarshal(ledger.Request{Group: id, LostOwner: &owner})
			if _, err := h.transport.Call(ctx, address, ledger.MethodLost, body); err != nil {
				h.options.Log.Debug("loss of an entry not told", "group", uint32(id), "err", err)
			}
		}
	}()
}
