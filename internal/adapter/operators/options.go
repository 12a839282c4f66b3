// Package operators is the HTTP API for operators on control hosts. It serves the
// configuration and its history, and the state and members of the control group.
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

// Limits and defaults of requests.
const (
	MaxBody        = 32 << 20
	DefaultWait    = 10 * time.Second
	DefaultHistory = 50
	MaxHistory     = 1000
)

// Control is the interface of the control process used by the API.
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

// Options configures a handler.
type Options struct {
	Control Control
	// Members is nil if the group's members are fixed, as in a group of one host.
	Members Membership
	// Operators maps the digests of bearer tokens to the names of operators.
	Operators map[config.TokenDigest]string
	// Leaders maps control hosts to the URLs of their operators' listeners.
	Leaders map[ident.Host]string
	// Dump serves api.PathDump, Audit serves api.PathAudit and the paths below it.
	// Each may be nil.
	Dump  http.Handler
	Audit http.Handler
	Log   *log.Logger
}

// Validate returns an error for the first missing option.
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
