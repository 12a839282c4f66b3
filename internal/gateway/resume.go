package gateway

import (
	"github.com/lovagereach/lovagereach/catalog"
	"github.com/lovagereach/lovagereach/internal/decision"
)

// Labels of the metric that counts resumed streams.
const (
	byEntry        = "entry"
	byCaller       = "caller"
	sameVersion    = "same"
	otherVersion   = "other"
	unknownVersion = "unknown"
)

// continuation is a way in which a stream went on.
type continuation struct{ by, version string }

// resumed reports whether the run goes on with a stream whose first events the caller has.
func (r *run) resumed() bool { return r.lastEvent != "" || r.request.Resumes != "" }

// recordBegin records that an upstream's answer begins, with the first event of a stream or one
// at which it goes on.
func (r *run) recordBegin(p *plan) {
	if r.route.Kind != catalog.Stream {
		return
	}
	if !r.resumed() {
		r.began = p.software
		return
	}
	by, version := byEntry, otherVersion
	if !r.headSent {
		by = byCaller
	}
	switch {
	case r.began == "" || p.software == "":
		version = unknownVersion
	case r.began == p.software:
		version = sameVersion
	}
	r.gateway.meter.continued[continuation{by, version}].Inc()
	r.gateway.options.Decisions.Emit(&decision.StreamResumed{
		Request: r.request.ID, Resumes: r.request.Resumes, After: r.lastEvent, Upstream: p.upstream.record.ID, Software: p.software, Began: r.began,
	})
}
