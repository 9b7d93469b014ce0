package estim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxValue is the largest value recorded, in tokens or microseconds; larger
	// ones count as maxValue.
	maxValue = 1 << 27
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 1
	// refreshInterval is the number of samples between two calculations of the
	// quantile and the mean, once there are more than MinSamples.
	refreshInterval = 16
)

// history holds the samples of the current and the previous window.
type history struct {
	config            *Config
	current, previous *hdrhistogram.Histogram
	currentSince      time.Time
	// sinceRefresh counts the samples since quantile and mean were calculated.
	sinceRefresh int
	quantile     int64
	mean         float64
}

func newHistory(c *Config) *history {
	return &history{
		config:   c,
		current:  hdrhistogram.New(1, maxValue, significantDigits),
		previous: hdrhistogram.New(1, maxValue, significantDigits),
	}
}

func (h *history) count() int64 { return h.current.TotalCount() + h.previous.TotalCount() }

// add records one sample. A value out of range counts as the nearest in range.
func (h *history) add(now time.Time, value int64) {
	if now.Sub(h.currentSince) >= h.config.SampleWindow {
		h.rotate(now)
	}
	if err := h.current.RecordValue(min(max(value, 1), maxValue)); err != nil {
		return
	}
	h.sinceRefresh++
	if h.sinceRefresh >= refreshInterval || h.count() <= h.config.MinSamples {
		h.refresh()
	}
}

// rotate begins a new window. The current one becomes the previous one, or is
// dropped if it began two windows ago or earlier.
func (h *history) rotate(now time.Time) {
	if now.Sub(h.currentSince) >= 2*h.config.SampleWindow {
		h.current.Reset()
	}
	h.current, h.previous = h.previous, h.current
	h.current.Reset()
	h.currentSince = now
}

// refresh calculates the quantile and the mean: the averages of those of the two
// windows, weighted by their numbers of samples.
func (h *history) refresh() {
	h.sinceRefresh = 0
	a, b := h.current, h.previous
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

// duration returns the quantile as a duration, or fallback while there are fewer
// than MinSamples samples.
func (h *history) duration(c Config, fallback time.Duration) time.Duration {
	if h.count() < c.MinSamples {
		return fallback
	}
	return time.Duration(h.quantile) * time.Microsecond
}
