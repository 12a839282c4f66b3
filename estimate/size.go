package estimate

const (
	// sizeWeight is the weight of the newest prompt. The last 200 make up two thirds of an
	// estimate.
	sizeWeight = 1.0 / 200
	// sizeMinCount is the number of prompts below which the start value is used.
	sizeMinCount = 50
	// meanFactor is the fraction of the mean size up to which a prompt is small. With a few
	// large prompts among many small ones, it lies between the two.
	meanFactor = 0.7
	// medianFactor is the multiple of the median size up to which a prompt is always small.
	// If all prompts have about the same size, none counts as large.
	medianFactor = 2
	// medianStep is the relative step by which the median estimate follows each prompt.
	medianStep = 0.02
)

// Size estimates the size up to which a prompt is small compared with the others.
type Size struct {
	start        int
	count        int
	mean, median float64
}

// NewSize returns an estimate that starts at start tokens.
func NewSize(start int) *Size { return &Size{start: start} }

// Observe adds the size of one prompt in tokens.
func (s *Size) Observe(tokens int) {
	s.count = min(s.count+1, sizeMinCount+1)
	weight := sizeWeight
	if s.count <= sizeMinCount {
		weight = 1 / float64(s.count)
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

// Small returns the largest size in tokens that counts as small.
func (s *Size) Small() int {
	if s.count < sizeMinCount {
		return s.start
	}
	return int(max(meanFactor*s.mean, medianFactor*s.median))
}
