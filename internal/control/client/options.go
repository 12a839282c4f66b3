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

// Default values of Options.
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
	// Self is the entry's claim to membership. Its host and data centre must be
	// those of the entry's connections. Its incarnation is replaced by the one
	// that the control hosts assign.
	Self member.Member
	// Addresses are the peer addresses of the control hosts.
	Addresses []string
	Log       *log.Logger
	// OnRevision is called with each new revision, in order, from one goroutine.
	// It may be nil. A revision is acknowledged only after OnRevision returns, so
	// the effects of OnRevision precede the revision being in force.
	OnRevision func(*config.Snapshot)
	// Upstreams returns the engines that the entry follows. It may be nil.
	Upstreams func() []protocol.Upstream

	// Clock measures the serving lease. Nil means time.Now. It must be monotonic and
	// include the time that the machine is suspended.
	Clock func() time.Time

	// RenewEvery is the interval at which the serving lease is renewed. A renewal
	// is also the entry's heartbeat.
	RenewEvery time.Duration
	// CallTimeout limits every call except a watch. It is the delay that an
	// unresponsive control host causes before the next one is tried.
	CallTimeout time.Duration
	// WatchWait limits how long the leader may hold a watch open.
	WatchWait   time.Duration
	RetryEvery  time.Duration
	ReportEvery time.Duration
}

// Validate returns an error for the first invalid option.
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
