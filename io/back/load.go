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

// ErrNoReport means that the backend server responded, but not with a valid load
// report.
const ErrNoReport = errors.ConstError("no load report")

// MetricNames holds the possible names of each metric in a load report. The first name
// that the report contains is used.
type MetricNames struct {
	// Running counts the requests in the batch, Waiting those in the queue, and Slots is
	// the size of the batch.
	Running []string
	Waiting []string
	Slots   []string
}

// Defaults returns the names with nil lists set to the defaults.
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

// Load is a backend server's load report: the requests in its batch, the requests in
// its queue, and the size of the batch (0 if not reported).
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// FetchLoad reads a backend server's load report.
//
// Errors: those of Do if there is no complete response; ErrNoReport if the response is
// not a valid report.
func (c *Client) FetchLoad(ctx context.Context, t Target) (Load, error) {
	req := Request{Method: http.MethodGet, Path: "/metrics", FirstByteTimeout: c.config.ProgressTimeout}
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
	return c.config.Metrics.readLoad(families)
}

// Alive reports whether the backend server responds, with or without a load report.
func (c *Client) Alive(ctx context.Context, t Target) bool {
	_, err := c.FetchLoad(ctx, t)
	return err == nil || errors.Is(err, ErrNoReport)
}

func (m MetricNames) readLoad(families map[string]*dto.MetricFamily) (Load, error) {
	running, found := sumFirst(families, m.Running)
	if !found {
		return Load{}, errors.Annotatef(ErrNoReport, "no metric named any of %q", m.Running)
	}
	waiting, _ := sumFirst(families, m.Waiting)
	slots, _ := sumFirst(families, m.Slots)
	return Load{Running: running, Waiting: waiting, Slots: slots}, nil
}

// sumFirst sums the metrics of the first named family that is present.
func sumFirst(families map[string]*dto.MetricFamily, names []string) (int, bool) {
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
