package capacity

import (
	"math"
	"testing"
)

func TestFitLine(t *testing.T) {
	fit, err := FitLine([]Point{{10, 25}, {100, 205}, {1000, 2005}})
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(fit.Slope-2) > 1e-9 || math.Abs(fit.Base-5) > 1e-6 || fit.Spread > 1e-9 {
		t.Errorf("fit %+v", fit)
	}
	if _, err := FitLine([]Point{{1, 1}, {2, 2}}); err == nil {
		t.Error("a fit of two sizes is accepted")
	}
}

func TestFitLineSpreadOfQuadraticGrowth(t *testing.T) {
	fit, err := FitLine([]Point{{10, 100}, {100, 10000}, {1000, 1000000}})
	if err != nil {
		t.Fatal(err)
	}
	if fit.Spread < 0.005 {
		t.Errorf("quadratic growth is fitted with a spread of only %g", fit.Spread)
	}
}

func TestGrowthExponent(t *testing.T) {
	if e := GrowthExponent([]Point{{10, 3}, {1000, 300}}); math.Abs(e-1) > 1e-9 {
		t.Errorf("linear growth has exponent %g", e)
	}
	if e := GrowthExponent([]Point{{10, 3}, {1000, 3}}); e != 0 {
		t.Errorf("constant cost has exponent %g", e)
	}
}

func TestRunUsesMeasurementAtTarget(t *testing.T) {
	probe := Probe{Sizes: []int{1, 2, 4}, Target: 4, Measure: func(size int) (float64, error) {
		return float64(size * size), nil
	}}
	result, err := probe.Run()
	if err != nil || result.AtTarget != 16 {
		t.Errorf("value at the target %g, %v", result.AtTarget, err)
	}
}

func TestHeapBytes(t *testing.T) {
	const size = 8 << 20
	grown := HeapBytes(func() any { return make([]byte, size) })
	if grown < size || grown > 1.1*size {
		t.Errorf("%d bytes measured as %.0f", size, grown)
	}
}
