package estim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// largestValue is the greatest value told apart: tokens, or microseconds.
	largestValue = 1 << 27
	// digits is the number of significant digits.
	digits = 1
	// refreshEvery is how many samples pass between calculations of the quantile.
	refreshEvery = 16
)

// history holds the samples of two windows, the present one and the one before.
type history struct {
	config          *Config
	present, before *hdrhistogram.Histogram
	began           time.Time
	stale           int
	quantile        int64
	mean            float64
}

func newHistory(c *Config) *history {
	return &history{
		config:  c,
		present: hdrhistogram.New(1, largestValue, digits),
		before:  hdrhistogram.New(1, largestValue, digits),
	}
}

func (h *history) count() int64 { return h.present.TotalCount() + h.before.TotalCount() }

// add takes in one sample; values out of range count as the nearest in range.
func (h *history) add(now time.Time, value int64) {
	if now.Sub(h.began) >= h.config.Window {
		h.rotate(now)
	}
	if err := h.present.RecordValue(min(max(value, 1), largestValue)); err != nil {
		return
	}
	h.stale++
	if h.stale >= refreshEvery || h.count() <= h.config.MinSamples {
		h.refresh()
	}
}

func (h *history) rotate(now time.Time) {
	if now.Sub(h.began) >= 2*h.config.Window {
		h.present.Reset()
	}
	h.present, h.before = h.before, h.present
	h.present.Reset()
	h.began = now
}

// refresh calculates the quantile and the mean of both windows, each weighted by
// its number of samples.
func (h *history) refresh() {
	h.stale = 0
	a, b := h.present, h.before
	na, nb := float64(a.TotalCount()), float64(b.TotalCount())
	h.mean = (a.Mean()*na + b.Mean()*nb) / (na + nb)
	q := h.config.Quantile * 100
	switch {
	case nb == 0:
		h.quantile = a.ValueAtQuantile(q)
	case na == 0:
		h.quantile = b.ValueAtQuantile(q)
	default:
		sum := float64(a.ValueAtQuantile(q))*na + float64(b.ValueAtQuantile(q))*nb
		h.quantile = int64(sum / (na + nb))
	}
}

// duration returns the quantile as a time, or the given one while there are too
// few samples.
func (h *history) duration(c Config, otherwise time.Duration) time.Duration {
	if h.count() < c.MinSamples {
		return otherwise
	}
	return time.Duration(h.quantile) * time.Microsecond
}
