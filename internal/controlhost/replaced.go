package controlhost

import (
	"context"
	"time"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/ledger"
	"github.com/lovagereach/lovagereach/internal/wire"
	"github.com/lovagereach/lovagereach/once"
)

// lostOwnerTimeout bounds the requests to the ledger groups about one replaced entry.
const lostOwnerTimeout = 5 * time.Second

// entryReplaced reports to the ledger groups that an entry's previous incarnation has
// ended, so that callers waiting for its claims learn immediately that the outcome is
// unknown. A lost report does no harm, because claims also expire with their hold time.
func (h *Host) entryReplaced(host ident.Host, previous ident.Incarnation) {
	owner := once.Owner{Host: host, Incarnation: previous}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lostOwnerTimeout)
		defer cancel()
		h.options.Log.Info("entry replaced", "host", host, "former", previous)
		for id := range h.ledgers {
			leader := h.replicas[id].Status().Leader
			address := h.options.ControlAddresses[leader]
			if address == "" {
				continue
			}
			body := wire.MustMarshal(ledger.Request{Group: id, LostOwner: &owner})
			if _, err := h.transport.Call(ctx, address, ledger.MethodLost, body); err != nil {
				h.options.Log.Debug("reporting a replaced entry to a ledger group failed", "group", uint32(id), "err", err)
			}
		}
	}()
}
