package gateway

import (
	"time"

	"github.com/lovagereach/lovagereach/outcome"
)

// logEnd logs how a request ended, unless it went well.
func (g *Gateway) logEnd(request *Request, r *run, err error) {
	if err == nil {
		return
	}
	fields := []any{
		"request", request.ID, "outcome", outcome.KindOf(err).String(), "cause", err,
		"ms", time.Since(request.Arrived).Milliseconds(),
	}
	if r != nil {
		fields = append(fields, "route", r.route.Name, "sends", r.sends, "unsent", r.unsent, "begun", r.begun)
		if r.last != nil {
			fields = append(fields, "upstream", r.last.send.Upstream, "candidates", r.last.candidates)
		}
	}
	g.options.Log.Info("request ended", fields...)
}

// logRetry logs that a request is sent once more.
func (g *Gateway) logRetry(r *run, cause error) {
	g.options.Log.Info("request sent again", "request", r.request.ID, "route", r.route.Name, "sends", r.sends,
		"upstream", r.last.send.Upstream, "after_event", r.lastEvent, "cause", cause)
}
