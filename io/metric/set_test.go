package metric

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

func newSet() *Set {
	return New(Config{
		Registry: prometheus.NewRegistry(), MaxClasses: 2,
		Waiting: func() int { return 0 }, InFlight: func() int { return 0 }, SettingsVersion: func() int64 { return 7 },
	})
}

func TestObserve(t *testing.T) {
	s := newSet()
	m := runner.Measure{
		Call: call.Call{Class: "plot"}, Kind: runner.KindEngine, Outcome: call.OutcomeRan, Parts: 3,
		FirstToken: 300 * time.Millisecond, FirstTokenTarget: 370 * time.Millisecond,
		MeanGap: 40 * time.Millisecond, TokenGapTarget: 45 * time.Millisecond,
	}
	s.Observe(m)
	m.FirstToken = 400 * time.Millisecond
	s.Observe(m)
	assert.Equal(t, testutil.ToFloat64(s.good.WithLabelValues("plot")), 1.0)
	assert.Equal(t, testutil.ToFloat64(s.targets.WithLabelValues("plot", "firstToken", "false")), 1.0)
	assert.Equal(t, testutil.ToFloat64(s.targets.WithLabelValues("plot", "tokenGap", "true")), 2.0)
}

// Classes beyond MaxClasses add no label values but otherClass.
func TestClassLabelsAreBounded(t *testing.T) {
	s := newSet()
	for i := range 100 {
		s.Observe(runner.Measure{Call: call.Call{Class: call.Class(fmt.Sprint(i))}, Kind: runner.KindService})
	}
	assert.Equal(t, testutil.CollectAndCount(s.requests), 3)
	assert.Equal(t, testutil.ToFloat64(s.requests.WithLabelValues(otherClass, "0", "", "")), 98.0)
}
