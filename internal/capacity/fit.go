package capacity

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is the measured value at one size.
type Point struct {
	Size  float64
	Value float64
}

// Fit is a line fitted to measurements: value = Base + Slope*size.
type Fit struct {
	Base  float64
	Slope float64
	// Spread is the largest deviation of a measurement from the line, as a
	// fraction of the largest measured value. It indicates the quality of the
	// fit.
	Spread float64
}

// MinPoints is the minimum number of sizes for a fit.
const MinPoints = 3

// ErrTooFewPoints is returned for fewer sizes than MinPoints.
var ErrTooFewPoints = errors.New("capacity: a slope needs at least three sizes")

// FitLine fits a line to points by least squares.
func FitLine(points []Point) (Fit, error) {
	if len(points) < MinPoints {
		return Fit{}, ErrTooFewPoints
	}
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for i, p := range points {
		sizes[i], values[i] = p.Size, p.Value
	}
	base, slope := stat.LinearRegression(sizes, values, nil, false)
	fit := Fit{Base: base, Slope: slope}
	fit.Spread = fit.spread(points)
	return fit, nil
}

func (f Fit) spread(points []Point) float64 {
	worst, largest := 0.0, 0.0
	for _, p := range points {
		worst = max(worst, math.Abs(p.Value-f.At(p.Size)))
		largest = max(largest, math.Abs(p.Value))
	}
	if largest == 0 {
		return 0
	}
	return worst / largest
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

// GrowthExponent returns the exponent of the power law through the first and the
// last point: 1 means linear growth, 0 constant. It returns 0 if a value or size
// of these is not above zero or the last size is not above the first.
func GrowthExponent(points []Point) float64 {
	if len(points) < 2 {
		return 0
	}
	first, last := points[0], points[len(points)-1]
	if first.Value <= 0 || last.Value <= 0 || first.Size <= 0 || last.Size <= first.Size {
		return 0
	}
	return math.Log(last.Value/first.Value) / math.Log(last.Size/first.Size)
}
