package entry

import (
	"slices"
	"strings"

	"github.com/lovagereach/lovagereach/ident"
	"github.com/lovagereach/lovagereach/internal/port"
)

// EngineSummary is the information about an engine that the control hosts use
// to order it to load versions.
type EngineSummary struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	Address     string
	DataCentre  ident.DataCentre
	Loaded      []port.LoadedVersion
	Leaving     bool
	ChecksFence bool
	Slots       int
	Running     int
	Queued      int
}

// Engines lists the engines that this entry follows, sorted by name.
func (e *Entry) Engines() []EngineSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []EngineSummary
	for id, f := range e.followed {
		if f.kind != port.KindEngine {
			continue
		}
		out = append(out, EngineSummary{
			Upstream:    id,
			Incarnation: f.incarnation,
			Address:     f.address,
			DataCentre:  f.announced.DataCentre,
			Loaded:      f.announced.Models,
			Leaving:     f.announced.Leaving,
			ChecksFence: f.announced.ChecksFence,
			Slots:       f.announced.Slots,
			Running:     f.load.Running,
			Queued:      f.load.Queued,
		})
	}
	slices.SortFunc(out, func(a, b EngineSummary) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return out
}
