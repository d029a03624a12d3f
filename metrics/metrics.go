// Package metrics defines the Prometheus metrics that the process exports.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "cassiabridge"

// Metrics holds the collectors of one process.
type Metrics struct {
	Registry *prometheus.Registry

	// Requests counts finished requests by route, account and outcome.
	Requests *prometheus.CounterVec
	// Rejections counts rejected requests by account and reason.
	Rejections *prometheus.CounterVec
	// AdmittedTokens counts the tokens reserved from the rate limit of each account, including those returned later.
	AdmittedTokens *prometheus.CounterVec
	// PrefillTokens counts prompt tokens computed, and WastedPrefillTokens those whose result was not used.
	PrefillTokens       prometheus.Counter
	WastedPrefillTokens prometheus.Counter
	// FirstToken is the time to the first token, and TokenGap the mean time between tokens of a request, both in
	// seconds by route.
	FirstToken *prometheus.HistogramVec
	TokenGap   *prometheus.HistogramVec
	// GoodRequests counts requests that met both latency targets, by route and account.
	GoodRequests *prometheus.CounterVec
	// Queued and Active are the numbers of requests that wait for an engine and that occupy one, in the lanes
	// dispatched by this VM.
	Queued *prometheus.GaugeVec
	Active *prometheus.GaugeVec
	// Loans counts loans of account tokens by side: taken or given.
	Loans *prometheus.CounterVec
	// LogAppends counts appends to the log by outcome.
	LogAppends *prometheus.CounterVec
	// LogAge is the time since the head of the log was last read, in seconds.
	LogAge prometheus.Gauge
	// LogOffset is the offset of the next log entry to apply.
	LogOffset prometheus.Gauge
	// Cancels counts canceled attempts by cause.
	Cancels *prometheus.CounterVec
}

// New creates the collectors and registers them, with those of the Go runtime and the process, with a new registry.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m := &Metrics{
		Registry:            registry,
		Requests:            newCounterVec("requests_total", "Finished requests.", "route", "account", "outcome"),
		Rejections:          newCounterVec("refusals_total", "Refused requests.", "account", "reason"),
		AdmittedTokens:      newCounterVec("admitted_tokens_total", "Tokens taken from the rate of an account.", "account"),
		PrefillTokens:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "prefill_tokens_total", Help: "Prompt tokens computed."}),
		WastedPrefillTokens: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "wasted_prefill_tokens_total", Help: "Prompt tokens computed for nothing."}),
		FirstToken:          newHistogramVec("first_token_seconds", "Time to the first token.", prometheus.ExponentialBuckets(0.02, 1.6, 14)),
		TokenGap:            newHistogramVec("token_gap_seconds", "Mean time between tokens of a request.", prometheus.ExponentialBuckets(0.002, 1.5, 14)),
		GoodRequests:        newCounterVec("good_requests_total", "Requests that met both latency targets.", "route", "account"),
		Queued:              newGaugeVec("queued_requests", "Requests that wait in a lane dispatched here.", "lane"),
		Active:              newGaugeVec("active_requests", "Requests that hold an engine in a lane dispatched here.", "lane"),
		Loans:               newCounterVec("loans_total", "Loans of account tokens.", "side"),
		LogAppends:          newCounterVec("log_appends_total", "Appends to the log.", "outcome"),
		LogAge:              prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "log_age_seconds", Help: "Time since the head of the log was read."}),
		LogOffset:           prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "log_offset", Help: "Next log offset to fold."}),
		Cancels:             newCounterVec("cancels_total", "Canceled attempts.", "cause"),
	}
	registry.MustRegister(m.Requests, m.Rejections, m.AdmittedTokens, m.PrefillTokens, m.WastedPrefillTokens, m.FirstToken, m.TokenGap,
		m.GoodRequests, m.Queued, m.Active, m.Loans, m.LogAppends, m.LogAge, m.LogOffset, m.Cancels)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogramVec(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, []string{"route"})
}
