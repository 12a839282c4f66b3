// Package operators is the HTTP interface for operators on control hosts: the
// configuration, its history, the state of the control group and its members.
package operators

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/lovagereach/lovagereach/config"
	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/adapter/operators/api"
	"github.com/lovagereach/lovagereach/internal/control"
)

// Bounds of requests.
const (
	MaxBody        = 32 << 20
	DefaultWait    = 10 * time.Second
	DefaultHistory = 50
	MaxHistory     = 1000
)

// Control is what the listener needs of the control process.
type Control interface {
	Apply(ctx context.Context, request control.ApplyRequest) (control.ApplyAnswer, error)
	Get(ctx context.Context) (*config.Snapshot, error)
	History(ctx context.Context, before config.Revision, limit int) ([]config.RevisionMeta, error)
	DeltaBetween(ctx context.Context, from, to config.Revision) (config.Delta, error)
	Status() control.Status
}

// Membership changes the control group, one member at a time.
type Membership interface {
	Members(ctx context.Context) ([]api.Member, error)
	Change(ctx context.Context, request api.MemberRequest) error
}

// Options configure a Server.
type Options struct {
	Control Control
	// Members may be nil, as on a group of one host that never changes.
	Members Membership
	// Operators name who may call, by the digest of their bearer token.
	Operators map[config.TokenDigest]string
	// Leaders are the URLs of the control hosts' operators' listeners.
	Leaders map[ident.Host]string
	// Dump answers api.PathDump and Audit what lies under api.PathAudit; each
	// may be nil.
	Dump  http.Handler
	Audit http.Handler
	Log   *log.Logger
}

// Validate reports the first option that cannot work.
func (o Options) Validate() error {
	switch {
	case o.Control == nil:
		return eris.New("operators: control: must be set")
	case len(o.Operators) == 0:
		return eris.New("operators: operators: must name at least one operator with a token digest")
	case o.Log == nil:
		return eris.New("operators: log: must be set")
	}
	return nil
}
