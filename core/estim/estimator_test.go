package estim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	_ "gentianwell/core/gwtest"
)

var start = time.Unix(1000, 0)

func newTestEstimator(t testing.TB) *Estimator {
	t.Helper()
	e, err := New(Defaults())
	assert.NilError(t, err)
	return e
}

func sample(class call.Class, tokens int) Sample {
	return Sample{
		Class: class, Model: "m", AnswerTokens: tokens,
		FirstToken: 100 * time.Millisecond, PerToken: 20 * time.Millisecond,
	}
}

func TestEstimateByClass(t *testing.T) {
	e := newTestEstimator(t)
	c := call.Call{Class: "plot", Model: "m", PromptTokens: 50}
	got := e.Estimate(start, c)
	assert.Equal(t, got, Estimate{Cost: 306, AnswerTokens: 256, FirstToken: 200 * time.Millisecond, Service: 7880 * time.Millisecond})
	for range 100 {
		e.Finished(start, sample("plot", 40))
		e.Finished(start, sample("summary", 1000))
	}
	assertClose(t, e.Estimate(start, c).Cost, 90)
	assertClose(t, int(e.Estimate(start, c).Service.Milliseconds()), 900)
	c.Class = "summary"
	assertClose(t, e.Estimate(start, c).Cost, 1050)
	c.MaxTokens = 10
	assertClose(t, e.Estimate(start, c).Cost, 60)
	c.Class, c.MaxTokens = "new", 0 // Estimated from the samples of its model.
	assertClose(t, e.Estimate(start, c).Cost, 570)
}

// assertClose allows a deviation of 10%, for the histogram's one significant digit.
func assertClose(t *testing.T, got, want int) {
	t.Helper()
	assert.Assert(t, got*10 >= want*9 && got*10 <= want*11, "got %d, want about %d", got, want)
}

func TestOldSamplesExpire(t *testing.T) {
	e := newTestEstimator(t)
	for range 100 {
		e.Finished(start, sample("plot", 1000))
	}
	e.Finished(start.Add(11*time.Minute), sample("plot", 10))
	// The previous window still counts.
	assertClose(t, e.Estimate(start, call.Call{Class: "plot", Model: "m"}).AnswerTokens, 1000)
	for i := range 3 {
		for range 100 {
			e.Finished(start.Add(time.Duration(i+1)*10*time.Minute+2*time.Minute), sample("plot", 10))
		}
	}
	assertClose(t, e.Estimate(start, call.Call{Class: "plot", Model: "m"}).Cost, 10)
}

func TestRate(t *testing.T) {
	e := newTestEstimator(t)
	assert.Equal(t, e.Rate(start, "m"), 0.0)
	now := start
	for range 100 {
		e.Dispatched(now, "m", 10, true)
		now = now.Add(100 * time.Millisecond)
	}
	rate := e.Rate(now, "m")
	assert.Assert(t, rate > 95 && rate < 105, "%g", rate)
	// The queue is no longer served: the rate falls.
	assert.Assert(t, e.Rate(now.Add(time.Minute), "m") < 20)
	// Time without waiting calls does not count.
	e.Dispatched(now, "m", 10, false)
	idle := e.Rate(now.Add(time.Minute), "m")
	assert.Assert(t, idle > 95, "%g", idle)
}

func TestMaxClasses(t *testing.T) {
	c := Defaults()
	c.MaxClasses = 3
	e, err := New(c)
	assert.NilError(t, err)
	for i := range 10 {
		e.Finished(start, sample(call.Class(fmt.Sprint(i)), 5))
	}
	assert.Equal(t, len(e.classes), 3)
}

// An estimate lies between the smallest and the largest sample, give or take the
// precision of the histogram.
func TestEstimateWithinSamples(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := newTestEstimator(t)
		lengths := rapid.SliceOfN(rapid.IntRange(1, 100_000), 20, 200).Draw(rt, "lengths")
		low, high := lengths[0], lengths[0]
		now := start
		for _, n := range lengths {
			e.Finished(now, sample("plot", n))
			low, high = min(low, n), max(high, n)
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(rt, "gap")) * time.Second)
		}
		got := e.Estimate(now, call.Call{Class: "plot", Model: "m"})
		for _, n := range []int{got.Cost, got.AnswerTokens} {
			assert.Assert(rt, n*10 >= low*9 && n*9 <= high*10, "%d not within %d and %d", n, low, high)
		}
	})
}

func TestConfigValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Config)
		want   string
	}{
		{"quantile", func(c *Config) { c.Quantile = 1 }, "Quantile 1"},
		{"samples", func(c *Config) { c.MinSamples = 0 }, "MinSamples 0"},
		{"window", func(c *Config) { c.SampleWindow = 0 }, "SampleWindow 0s"},
		{"answer", func(c *Config) { c.AnswerTokens = 0 }, "AnswerTokens 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := Defaults()
			tt.change(&c)
			assert.ErrorContains(t, c.Validate(), tt.want)
		})
	}
}
