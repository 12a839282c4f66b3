package quarantine

import "github.com/lovagereach/lovagereach/outcome"

// ErrQuarantined is the outcome of an attempt of a quarantined request. Its kind is
// unknown, not not-run, because earlier attempts have run.
var ErrQuarantined error = &outcome.Unknown{
	Reason: outcome.ReasonCrashesUpstreams,
	Detail: "earlier attempts of this request ended the upstreams that ran them; nothing was sent now, do not repeat it as it is",
}
