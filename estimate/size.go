package estimate

const (
	// sizeWeight is the weight of the newest prompt: the last 200 make up two
	// thirds of an estimate.
	sizeWeight = 1.0 / 200
	// sizeLeast is the number of prompts from which the estimate counts.
	sizeLeast = 50
	// lightShare is the share of the mean size up to which a prompt is light: where
	// a few large prompts stand beside many small ones, it lies between the two.
	lightShare = 0.7
	// usualTimes is how many times the median size is light at the least: where all
	// prompts are of much the same size, none is larger than the others.
	usualTimes = 2
	// medianStep is the share by which the median follows each prompt.
	medianStep = 0.02
)

// Size estimates up to which size a prompt is light beside the others that come.
type Size struct {
	start        int
	seen         int
	mean, median float64
}

// NewSize returns an estimate that begins with start tokens.
func NewSize(start int) *Size { return &Size{start: start} }

// Observe takes in the size of one prompt in tokens.
func (s *Size) Observe(tokens int) {
	s.seen = min(s.seen+1, sizeLeast+1)
	weight := sizeWeight
	if s.seen <= sizeLeast {
		weight = 1 / float64(s.seen)
	}
	size := float64(max(tokens, 1))
	s.mean += weight * (size - s.mean)
	switch {
	case s.median == 0:
		s.median = size
	case size > s.median:
		s.median *= 1 + medianStep
	case size < s.median:
		s.median /= 1 + medianStep
	}
}

// Small is the largest size in tokens that counts as light.
func (s *Size) Small() int {
	if s.seen < sizeLeast {
		return s.start
	}
	return int(max(lightShare*s.mean, usualTimes*s.median))
}
