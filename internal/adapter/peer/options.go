package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/internal/ingress"
	"github.com/lovagereach/lovagereach/internal/port"
)

// Defaults of Options.
const (
	DefaultMaxFrame       = 4 << 20
	DefaultQueueLength    = 1024
	DefaultMaxQueuedBytes = 16 << 20
	DefaultHandlerLimit   = 256
	DefaultMaxConns       = 2048
	DefaultMaxLinks       = 2048
	DefaultDialTimeout    = 3 * time.Second
	DefaultHelloTimeout   = 3 * time.Second
	DefaultWriteTimeout   = 10 * time.Second
	DefaultHandlerTimeout = 30 * time.Second
	DefaultPingInterval   = 5 * time.Second
	DefaultPingTimeout    = 5 * time.Second
	DefaultLinkIdle       = 10 * time.Minute
	DefaultBackoffMin     = 50 * time.Millisecond
	DefaultBackoffMax     = 2 * time.Second
)

const (
	maxNameLength = 256
	// minMaxFrame is the minimum of MaxFrame: the longest header and a small body
	// fit into it.
	minMaxFrame = 4096
)

// Options configures a Transport. Cluster, Self and one of Key and TLS are
// required; a zero value of another option selects the default of that name.
type Options struct {
	// Cluster is the name of the deployment. Processes of other deployments are
	// refused.
	Cluster string
	Self    port.Peer
	// Key is a secret shared by all processes. Without TLS only the hello
	// exchange is authenticated and nothing is encrypted, which is meant for
	// development.
	Key []byte
	// TLS enables mutual TLS authentication if set.
	TLS *TLSFiles

	// MaxFrame is the maximum size of a WebSocket message in bytes.
	MaxFrame int
	// QueueLength is the maximum number of frames queued for writing on one
	// connection, and of messages queued for the one-way handler of one method.
	// MaxQueuedBytes is the maximum total size of the frames queued for writing
	// on one connection.
	QueueLength    int
	MaxQueuedBytes int
	// HandlerLimit is the maximum number of requests of one connection that run
	// concurrently.
	HandlerLimit int
	// Guard bounds what strangers take at the listener, nil for no bound.
	Guard *ingress.Guard
	// MaxConns is the maximum number of accepted connections, MaxLinks that of
	// addresses dialled.
	MaxConns int
	MaxLinks int

	DialTimeout time.Duration
	// RedialAfter is the time after which another attempt to connect starts beside one that got no
	// answer; 0 for none.
	RedialAfter  time.Duration
	HelloTimeout time.Duration
	WriteTimeout time.Duration
	// HandlerTimeout is the timeout of every handler and of a call without a
	// deadline.
	HandlerTimeout time.Duration
	PingInterval   time.Duration
	PingTimeout    time.Duration
	// LinkIdle is the time after which a connection without messages in either
	// direction is closed.
	LinkIdle   time.Duration
	BackoffMin time.Duration
	BackoffMax time.Duration

	// Log receives a line for each connection event; nil disables logging.
	Log *log.Logger
	// Dial is used in place of the TCP dialler if set.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Validate returns an error for the first invalid option.
func (o Options) Validate() error {
	switch {
	case o.Cluster == "":
		return eris.New("peer: cluster: must name the deployment")
	case len(o.Cluster) > maxNameLength:
		return eris.Errorf("peer: cluster: longer than %d bytes", maxNameLength)
	case o.Self.Host == "":
		return eris.New("peer: self.host: must not be empty")
	case len(o.Self.Host) > maxNameLength:
		return eris.Errorf("peer: self.host: longer than %d bytes", maxNameLength)
	case len(o.Key) == 0 && o.TLS == nil:
		return eris.New("peer: key, tls: one of them is required")
	case o.MaxFrame != 0 && o.MaxFrame < minMaxFrame:
		return eris.Errorf("peer: max frame: %d is below %d bytes", o.MaxFrame, minMaxFrame)
	case o.MaxQueuedBytes != 0 && o.MaxQueuedBytes < o.MaxFrame:
		return eris.New("peer: max queued bytes: below max frame")
	}
	return nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxFrame, DefaultMaxFrame)
	setDefault(&o.QueueLength, DefaultQueueLength)
	setDefault(&o.MaxQueuedBytes, max(DefaultMaxQueuedBytes, o.MaxFrame))
	setDefault(&o.HandlerLimit, DefaultHandlerLimit)
	setDefault(&o.MaxConns, DefaultMaxConns)
	setDefault(&o.MaxLinks, DefaultMaxLinks)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.HelloTimeout, DefaultHelloTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.HandlerTimeout, DefaultHandlerTimeout)
	setDefault(&o.PingInterval, DefaultPingInterval)
	setDefault(&o.PingTimeout, DefaultPingTimeout)
	setDefault(&o.LinkIdle, DefaultLinkIdle)
	setDefault(&o.BackoffMin, DefaultBackoffMin)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	if o.Log == nil {
		o.Log = log.New(io.Discard)
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.RedialAfter > 0 {
		o.Dial = redialling(o.Dial, o.RedialAfter)
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
