package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/lovagereach/lovagereach/internal/steward"
	"github.com/lovagereach/lovagereach/resumption"
)

const (
	// originGather is the time for which records to one control host are gathered. An upstream
	// takes longer to produce a first event.
	originGather = 5 * time.Millisecond
	// originTimeout bounds one message with records. Later ones wait for it, so that a control
	// host that doesn't answer costs little.
	originTimeout = 300 * time.Millisecond
	// maxPendingOrigins bounds the records that wait for one control host. The oldest are
	// dropped: other hosts have them.
	maxPendingOrigins = 2048
)

// originSender tells control hosts what begins streams.
type originSender struct {
	to Origins
	mu sync.Mutex
	// pending holds the records to be sent, by host. A host with an entry has a sender.
	pending map[string][]resumption.Record
}

func newOriginSender(to Origins) *originSender {
	return &originSender{to: to, pending: make(map[string][]resumption.Record)}
}

// add sends records to the control hosts that hold them, without waiting for it.
func (o *originSender) add(records ...resumption.Record) {
	if o.to == nil || len(records) == 0 {
		return
	}
	hosts := o.to.Hosts()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, record := range records {
		for _, host := range resumption.Holders(record.Key, hosts) {
			list, sending := o.pending[host]
			o.pending[host] = append(list[max(len(list)+1-maxPendingOrigins, 0):], record)
			if !sending {
				time.AfterFunc(originGather, func() { o.send(host) })
			}
		}
	}
}

// send sends what is pending for a host until nothing is.
func (o *originSender) send(host string) {
	for {
		o.mu.Lock()
		records := o.pending[host]
		if len(records) == 0 {
			delete(o.pending, host)
			o.mu.Unlock()
			return
		}
		o.pending[host] = nil
		o.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
		// Records that don't arrive are held by other hosts.
		_, _ = o.to.ExchangeOrigins(ctx, host, &steward.OriginRequest{Records: records})
		cancel()
		time.Sleep(originGather)
	}
}
