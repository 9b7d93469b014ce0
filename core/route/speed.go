package route

import (
	"math"
	"time"
)

const (
	// workTime is the time constant with which a work figure loses its weight: a figure that
	// changes many times a second is no longer true 300 ms later.
	workTime = 300 * time.Millisecond
	// workMeanTime is the time constant of the mean of a replica's work figures, and of the
	// measured speed: the lasting speed of a replica changes within seconds, and one VM of a
	// large fleet gets an answer from a replica only every few seconds.
	workMeanTime, speedTime = 3 * time.Second, 15 * time.Second
	// workActive is how long a work figure shows that the replicas of a model report them.
	workActive = 10 * time.Second
	// speedPrior is the number of answers that the assumption of the usual speed counts as.
	speedPrior = 2
	// maxFactor and minFactor bound the factor of a replica.
	maxFactor, minFactor = 20, 0.05
)

// speed estimates how long work takes on a replica at the moment, as a factor of the usual.
type speed struct {
	// work is the last work figure as a factor, reported at workAt; zero if there is none.
	// workMean is the mean of the figures, workVariance the variance of their logarithms.
	work, workMean, workVariance float64
	workAt                       time.Time
	// ratios is the decaying sum of the logarithms of measured to expected times, weight the
	// decaying number of these, as of measuredAt.
	ratios, weight float64
	measuredAt     time.Time
	contrast       contrast
}

// factor is an estimate of how long work takes on a replica.
type factor struct {
	// value is a factor of the usual time, variance that of its logarithm.
	value, variance float64
	// age is that of the newest figure or answer behind it; zero if there is none.
	age time.Duration
}

// report records a work figure.
func (s *speed) report(percent int, at time.Time) {
	work := min(max(minFactor, float64(percent)/100), maxFactor)
	if s.workAt.IsZero() {
		// One figure says little about the lasting speed.
		s.work, s.workMean, s.workAt = work, (1+work)/2, at
		return
	}
	weight := 1 - decay(at.Sub(s.workAt), workMeanTime)
	e := logRatio(work, s.workMean)
	s.workVariance += weight * (e*e - s.workVariance)
	s.workMean += weight * (work - s.workMean)
	s.work, s.workAt = work, at
}

// measured records that an answer took a time that is ratio times what was expected of a
// replica with the present work figure.
func (s *speed) measured(now time.Time, ratio float64) {
	d := decay(now.Sub(s.measuredAt), speedTime)
	e := math.Log(clampRatio(ratio))
	s.ratios, s.weight, s.measuredAt = s.ratios*d+e, s.weight*d+1, now
}

// lasting returns the measured lasting factor: measured to expected time.
func (s *speed) lasting(now time.Time) float64 {
	if s.weight == 0 {
		return 1
	}
	d := decay(now.Sub(s.measuredAt), speedTime)
	return math.Exp(s.ratios * d / (s.weight*d + speedPrior))
}

// at returns the estimate at a time.
func (s *speed) at(now time.Time) factor {
	f := factor{value: s.lasting(now)}
	if s.weight > 0 {
		f.age = now.Sub(s.measuredAt)
	}
	if s.workAt.IsZero() {
		return f
	}
	age := now.Sub(s.workAt)
	if s.weight == 0 || age < f.age {
		f.age = age
	}
	fresh := decay(age, workTime)
	f.value *= s.workMean + (s.work-s.workMean)*fresh
	f.value = min(max(minFactor, f.value), maxFactor)
	f.variance = s.workVariance * (1 - fresh*fresh)
	return f
}

// decay returns the weight of what is as old as age.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

func logRatio(a, b float64) float64 { return math.Log(max(a, fitFloor) / max(b, fitFloor)) }
