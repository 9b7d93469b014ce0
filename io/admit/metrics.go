package admit

import "github.com/prometheus/client_golang/prometheus"

// Register registers the metrics of a listener, with its name as a label. A registry that has
// them already, because the process has listened before, keeps those.
func Register(registry prometheus.Registerer, l *Listener) {
	labels := prometheus.Labels{"listener": l.c.Name}
	gauge := func(name, help string, value func(Stats) float64) {
		_ = registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gentianwell_" + name, Help: help, ConstLabels: labels},
			func() float64 { return value(l.Stats()) }))
	}
	counter := func(name, help string, value func(Stats) float64) {
		_ = registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "gentianwell_" + name, Help: help, ConstLabels: labels},
			func() float64 { return value(l.Stats()) }))
	}
	gauge("connections", "Connections admitted.", func(s Stats) float64 { return float64(s.Conns) })
	gauge("max_connections", "Limit of the connections admitted.", func(Stats) float64 { return float64(l.c.Guard.MaxConns) })
	gauge("head_bytes", "Memory counted for heads of requests, or for messages of peers.", func(s Stats) float64 { return float64(s.HeadBytes) })
	counter("closed_connections_total", "Connections closed because connections or memory ran short.", func(s Stats) float64 { return float64(s.Closed) })
	counter("refused_heads_total", "Heads of requests refused because memory ran short.", func(s Stats) float64 { return float64(s.Refused) })
}
