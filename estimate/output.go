package estimate

import "math"

const (
	// hintShare is the share of a sender's outputs that its corrected hints are to cover.
	hintShare = 0.8
	// hintStep is the step of the natural logarithm of a correction: a sender whose hints are far too
	// low is corrected by a factor of two after four outputs.
	hintStep = 0.25
	// maxHintFactor bounds a correction.
	maxHintFactor = 16
)

// OutputHints corrects the hints that one sender gives for the length of outputs, so that they cover
// most of its outputs. A correction only raises hints: the length of an output is counted in events,
// and an event may contain several tokens. The zero value corrects nothing.
type OutputHints struct{ log float64 }

// Expect returns the length that counts for an output with a hint and a maximum length. Without a
// hint it is the maximum.
func (h *OutputHints) Expect(hint, most int) int {
	if hint <= 0 || hint >= most {
		return most
	}
	return int(min(math.Ceil(float64(hint)*math.Exp(h.log)), float64(most)))
}

// Observe adds an output that is complete: its hint and its length.
func (h *OutputHints) Observe(hint, made int) {
	switch {
	case hint <= 0:
	case float64(made) > float64(hint)*math.Exp(h.log):
		h.log = min(h.log+hintStep*hintShare, math.Log(maxHintFactor))
	default:
		h.log = max(h.log-hintStep*(1-hintShare), 0)
	}
}
