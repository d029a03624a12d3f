package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Gateway holds the collectors of routes by host and path.
type Gateway struct {
	Registry *prometheus.Registry

	// Requests counts finished requests by route and outcome.
	Requests *prometheus.CounterVec
	// Seconds is the time to the whole answer, and FirstEvent the time to the first event of a stream, by route.
	Seconds    *prometheus.HistogramVec
	FirstEvent *prometheus.HistogramVec
	// Waited is the time for which requests waited for engines.
	Waited prometheus.Histogram
	// PrefillTokens and WastedPrefillTokens count prompt tokens read, and read for nothing.
	PrefillTokens       prometheus.Counter
	WastedPrefillTokens prometheus.Counter
	// Repeats counts requests that were sent to a further upstream, by pool.
	Repeats *prometheus.CounterVec
	// UpstreamFailures counts failed exchanges by pool and kind.
	UpstreamFailures *prometheus.CounterVec
	// Connections counts connections opened to upstreams.
	Connections prometheus.Counter
	// Version is the version of the declarations in force.
	Version prometheus.Gauge
	// LogLinesDropped counts log lines that were left out.
	LogLinesDropped prometheus.Counter
}

// NewGateway returns registered collectors.
func NewGateway() *Gateway {
	latencies := prometheus.ExponentialBuckets(0.01, 2, 11)
	m := &Gateway{
		Registry:            prometheus.NewRegistry(),
		Requests:            counters("route_requests_total", "Finished requests.", "route", "outcome"),
		Seconds:             histograms("route_seconds", "Time to the whole answer.", latencies),
		FirstEvent:          histograms("route_first_event_seconds", "Time to the first event of a stream.", latencies),
		Waited:              prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "engine_wait_seconds", Help: "Time for which requests waited for engines.", Buckets: latencies}),
		PrefillTokens:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "prefill_tokens_total", Help: "Prompt tokens read."}),
		WastedPrefillTokens: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "wasted_prefill_tokens_total", Help: "Prompt tokens read for nothing."}),
		Repeats:             counters("repeats_total", "Requests sent to a further upstream.", "pool"),
		UpstreamFailures:    counters("upstream_failures_total", "Failed exchanges with upstreams.", "pool", "kind"),
		Connections:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_connections_total", Help: "Connections opened to upstreams."}),
		Version:             prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "declarations_version", Help: "Version of the declarations in force."}),
		LogLinesDropped:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines that were left out."}),
	}
	m.Registry.MustRegister(m.Requests, m.Seconds, m.FirstEvent, m.Waited, m.PrefillTokens, m.WastedPrefillTokens, m.Repeats, m.UpstreamFailures,
		m.Connections, m.Version, m.LogLinesDropped)
	return m
}
