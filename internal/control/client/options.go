package client

import (
	"cmp"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/internal/control/protocol"
	"github.com/lovagereach/lovagereach/internal/port"
	"github.com/lovagereach/lovagereach/member"
	"github.com/lovagereach/lovagereach/relay"
)

// Defaults of Options.
const (
	DefaultRenewEvery  = relay.RenewEvery
	DefaultCallTimeout = 700 * time.Millisecond
	DefaultWatchWait   = 10 * time.Second
	DefaultRetryEvery  = 100 * time.Millisecond
	DefaultReportEvery = time.Second
)

// Options configure a Client. Zero durations mean the defaults.
type Options struct {
	Peers port.PeerClient
	// Self is the claim by which the entry becomes a member; host and data
	// centre are those of its connections. The control hosts replace the
	// incarnation.
	Self member.Member
	// Addresses are the peer addresses of the control hosts.
	Addresses []string
	Log       *log.Logger
	// OnRevision is called with each new revision, in order, from one goroutine.
	// It may be nil. The revision is acknowledged only after it returns, so
	// what it sets up is in force once the revision is.
	OnRevision func(*config.Snapshot)
	// Upstreams returns the engines that the entry follows. It may be nil.
	Upstreams func() []protocol.Upstream

	// Clock tells the time by which the serving lease counts, nil means time.Now. It must
	// be steady and go on while the machine is suspended.
	Clock func() time.Time

	// RenewEvery is how often the serving lease is renewed, which is also how
	// often the others hear that the entry lives.
	RenewEvery time.Duration
	// CallTimeout bounds every call but a watch; a silent control host costs
	// this much before the next is tried.
	CallTimeout time.Duration
	// WatchWait is how long a watch may be held open.
	WatchWait   time.Duration
	RetryEvery  time.Duration
	ReportEvery time.Duration
}

// Validate reports the first option that cannot work.
func (o Options) Validate() error {
	switch {
	case o.Self.Validate() != nil:
		return eris.Wrap(o.Self.Validate(), "control client: self")
	case o.Peers == nil:
		return eris.New("control client: peers: must be set")
	case len(o.Addresses) == 0:
		return eris.New("control client: addresses: must name at least one control host")
	case o.WatchWait > protocol.MaxWait:
		return eris.Errorf("control client: watch wait: must be at most %s", protocol.MaxWait)
	}
	return nil
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	o.RenewEvery = cmp.Or(o.RenewEvery, DefaultRenewEvery)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.WatchWait = cmp.Or(o.WatchWait, DefaultWatchWait)
	o.RetryEvery = cmp.Or(o.RetryEvery, DefaultRetryEvery)
	o.ReportEvery = cmp.Or(o.ReportEvery, DefaultReportEvery)
	return o
}
