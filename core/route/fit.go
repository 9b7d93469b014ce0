package route

const (
	// fitFeatures is the number of features of a fit: a constant, the prompt tokens to be read
	// in thousands, and the load per slot.
	fitFeatures = 3
	// fitForgetting is the factor by which the weight of earlier samples decreases with each
	// new one: a fit follows the last 200 answers, half a minute of one VM of a large fleet.
	fitForgetting = 0.995
	// fitSamplesMin is the number of answers from which a fit is used: more than there are
	// features. One VM of a large fleet gets two answers a second of a class; in the model
	// (docs/design/uneven.md) 24 answers were later and earned less.
	fitSamplesMin = 8
	// fitVariance is the initial variance of the parameters, fitVarianceMax the greatest: while
	// all samples are alike, forgetting would make it grow without limit.
	fitVariance, fitVarianceMax = 10, 100
	// fitFloor is the least time that a fit predicts, in seconds.
	fitFloor = 0.001
	// fitOutlier limits the weight of a single answer: longer times count as this multiple of
	// what was expected.
	fitOutlier = 4
	// fitErrorWeight is the weight of a new sample in the averages.
	fitErrorWeight = 0.05
	// fitErrorInitial is the variance of the logarithm of a time before any was measured.
	fitErrorInitial = 0.25
)

type features [fitFeatures]float64

// fit predicts times, in seconds, that grow linearly with the features. It is a weighted
// recursive least-squares fit with exponential forgetting that minimizes the relative error.
type fit struct {
	theta   features
	p       [fitFeatures]features
	samples int
	// mean is the moving average of the times, variance that of the squared logarithm of the
	// ratio of a time to its prediction.
	mean, variance float64
}

func (f *fit) ready() bool { return f.samples >= fitSamplesMin }

// predict returns the time for the features.
func (f *fit) predict(x features) float64 {
	sum := 0.0
	for i, theta := range f.theta {
		sum += max(0, theta) * x[i]
	}
	return max(fitFloor, sum)
}

// add adds a measured time.
func (f *fit) add(x features, seconds float64) {
	if f.samples == 0 {
		f.mean, f.variance = seconds, fitErrorInitial
		for i := range f.p {
			f.p[i][i] = fitVariance
		}
	}
	if f.ready() {
		expected := f.predict(x)
		seconds = min(seconds, fitOutlier*expected)
		e := logRatio(seconds, expected)
		f.variance += fitErrorWeight * (e*e - f.variance)
	}
	f.samples++
	f.mean += fitErrorWeight * (seconds - f.mean)
	scale := 1 / max(f.mean, fitFloor)
	if f.ready() {
		scale = 1 / max(f.predict(x), f.mean/fitOutlier)
	}
	for i := range x {
		x[i] *= scale
	}
	f.update(x, seconds*scale)
}

func (f *fit) update(x features, y float64) {
	var px features
	denominator, predicted := fitForgetting, 0.0
	for i := range x {
		for j := range x {
			px[i] += f.p[i][j] * x[j]
		}
		denominator += x[i] * px[i]
		predicted += f.theta[i] * x[i]
	}
	for i := range x {
		f.theta[i] += px[i] / denominator * (y - predicted)
	}
	forgetting := fitForgetting
	if f.p[0][0]+f.p[1][1]+f.p[2][2] > fitVarianceMax {
		forgetting = 1
	}
	for i := range x {
		for j := range x {
			f.p[i][j] = (f.p[i][j] - px[i]*px[j]/denominator) / forgetting
		}
	}
}
