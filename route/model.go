package route

import (
	"math"
	"time"
)

// linear is a model y = a·x₀ + b·x₁ that learns a and b by recursive least squares
// with exponential forgetting.
//
// Two safeguards limit the effect of bad observations. An observation is clipped to a
// multiple of the prediction, because otherwise one stalled request or one report
// with a wrong clock would teach hours of queue wait. The coefficients stay within a
// fixed factor of their priors, because features that hardly vary leave one
// coefficient undetermined and it would drift.
type linear struct {
	coef  [2]float64
	prior [2]float64
	// cov is the symmetric covariance (c00, c01, c11), for scaled features.
	cov       [3]float64
	scale     [2]float64
	meanError float64
	count     int
}

const (
	// forgetting is the weight that past observations keep at each new one; about the
	// last fifty observations count.
	forgetting = 0.98
	// maxCoefFactor bounds the factor between a coefficient and its prior.
	maxCoefFactor = 32
	// maxObservationFactor bounds an observation as a multiple of the prediction.
	maxObservationFactor = 4
	// observationOffset is added to that bound, in seconds, so that a prediction near
	// zero can be corrected.
	observationOffset = 0.02
	// maxCovariance prevents wind-up of the covariance while the features are
	// constant.
	maxCovariance = 10
)

// newLinear returns a model with the prior coefficients. scale is the typical size of
// each feature and conditions the covariance.
func newLinear(prior, scale [2]float64) linear {
	return linear{coef: prior, prior: prior, cov: [3]float64{1, 0, 1}, scale: scale}
}

func (l *linear) predict(x0, x1 float64) float64 {
	return l.coef[0]*x0 + l.coef[1]*x1
}

// observe updates the model: features x0 and x1 took y seconds.
func (l *linear) observe(x0, x1, y float64) {
	predicted := l.predict(x0, x1)
	limit := maxObservationFactor*predicted + observationOffset
	residual := min(max(y, 0), limit) - predicted
	l.meanError += errorGain * (math.Abs(residual) - l.meanError)
	l.count++

	u0, u1 := x0/l.scale[0], x1/l.scale[1]
	p0 := l.cov[0]*u0 + l.cov[1]*u1
	p1 := l.cov[1]*u0 + l.cov[2]*u1
	gain := forgetting + u0*p0 + u1*p1
	k0, k1 := p0/gain, p1/gain
	l.coef[0] = bounded(l.coef[0]+k0*residual/l.scale[0], l.prior[0])
	l.coef[1] = bounded(l.coef[1]+k1*residual/l.scale[1], l.prior[1])
	l.cov[0] = min((l.cov[0]-k0*p0)/forgetting, maxCovariance)
	l.cov[1] = (l.cov[1] - k0*p1) / forgetting
	l.cov[2] = min((l.cov[2]-k1*p1)/forgetting, maxCovariance)
	// Clipping the diagonal alone could leave the matrix indefinite.
	bound := math.Sqrt(l.cov[0] * l.cov[2])
	l.cov[1] = min(max(l.cov[1], -bound), bound)
}

// errorGain is the weight of one observation in a mean absolute error.
const errorGain = 0.05

func bounded(coef, prior float64) float64 {
	return min(max(coef, prior/maxCoefFactor), prior*maxCoefFactor)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// maxSeconds keeps predictions within a time.Duration.
const maxSeconds = 1e6
