package back

import (
	"bytes"
	"context"
	"net/http"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// ErrNoReport means that the backend server answered, but not with a load report.
const ErrNoReport = errors.ConstError("no load report")

// MetricNames names the metrics of a load report; the first that a report has counts.
type MetricNames struct {
	Running []string
	Waiting []string
	Slots   []string
}

// Defaults returns the names with empty lists filled in.
func (m MetricNames) Defaults() MetricNames {
	if m.Running == nil {
		m.Running = []string{"engine_requests_running", "vllm:num_requests_running"}
	}
	if m.Waiting == nil {
		m.Waiting = []string{"engine_requests_waiting", "vllm:num_requests_waiting"}
	}
	if m.Slots == nil {
		m.Slots = []string{"engine_slots"}
	}
	return m
}

// Load is a backend server's report: requests in its batch, requests that wait,
// and the batch's size (0 where it does not say).
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// FetchLoad reads a backend server's load report.
//
// Errors: those of Do, where there is no answer; ErrNoReport where there is one
// that can't be used.
func (c *Client) FetchLoad(ctx context.Context, t Target) (Load, error) {
	req := Request{Method: http.MethodGet, Path: "/metrics", FirstByteTimeout: c.c.ProgressTimeout}
	res, err := c.Do(ctx, t, req, nil)
	if err != nil {
		return Load{}, errors.Annotate(err, "Client.FetchLoad")
	}
	if res.Status != http.StatusOK {
		return Load{}, errors.Annotatef(ErrNoReport, "Client.FetchLoad: replica %q: status %d", t.ID, res.Status)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(res.Body))
	if err != nil {
		return Load{}, errors.Annotatef(ErrNoReport, "Client.FetchLoad: replica %q: %v", t.ID, err)
	}
	return c.c.Metrics.load(families)
}

// Alive reports whether the backend server answers, with a report or without.
func (c *Client) Alive(ctx context.Context, t Target) bool {
	_, err := c.FetchLoad(ctx, t)
	return err == nil || errors.Is(err, ErrNoReport)
}

func (m MetricNames) load(families map[string]*dto.MetricFamily) (Load, error) {
	running, found := sumOf(families, m.Running)
	if !found {
		return Load{}, errors.Annotatef(ErrNoReport, "no metric of %q", m.Running)
	}
	waiting, _ := sumOf(families, m.Waiting)
	slots, _ := sumOf(families, m.Slots)
	return Load{Running: running, Waiting: waiting, Slots: slots}, nil
}

// sumOf sums the first of the named families that is present.
func sumOf(families map[string]*dto.MetricFamily, names []string) (int, bool) {
	for _, name := range names {
		family, ok := families[name]
		if !ok {
			continue
		}
		sum := 0.0
		for _, m := range family.GetMetric() {
			sum += m.GetGauge().GetValue() + m.GetUntyped().GetValue() + m.GetCounter().GetValue()
		}
		return int(sum), true
	}
	return 0, false
}
