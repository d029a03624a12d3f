// Package metrics holds the measurements that the process exports.
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
	// Refusals counts refused requests by account and reason.
	Refusals *prometheus.CounterVec
	// AdmittedTokens counts the tokens taken from each account's rate.
	AdmittedTokens *prometheus.CounterVec
	// PrefillTokens and WastedPrefillTokens count prompt tokens computed, and computed for nothing.
	PrefillTokens       prometheus.Counter
	WastedPrefillTokens prometheus.Counter
	// FirstToken and TokenGap are in seconds, by route.
	FirstToken *prometheus.HistogramVec
	TokenGap   *prometheus.HistogramVec
	// GoodRequests counts requests that met both latency targets, by route and account.
	GoodRequests *prometheus.CounterVec
	// Queued and Active count the requests of the lanes that this VM dispatches.
	Queued *prometheus.GaugeVec
	Active *prometheus.GaugeVec
	// Loans counts loans taken and given.
	Loans *prometheus.CounterVec
	// Appends counts appends to the log by outcome.
	Appends *prometheus.CounterVec
	// LogAge is the time since the head of the log was read, in seconds.
	LogAge prometheus.Gauge
	// Offset is the next log offset to fold.
	Offset prometheus.Gauge
	// Cancels counts attempts canceled by cause.
	Cancels *prometheus.CounterVec
}

// New returns registered collectors.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m := &Metrics{
		Registry:            registry,
		Requests:            counters("requests_total", "Finished requests.", "route", "account", "outcome"),
		Refusals:            counters("refusals_total", "Refused requests.", "account", "reason"),
		AdmittedTokens:      counters("admitted_tokens_total", "Tokens taken from the rate of an account.", "account"),
		PrefillTokens:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "prefill_tokens_total", Help: "Prompt tokens computed."}),
		WastedPrefillTokens: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "wasted_prefill_tokens_total", Help: "Prompt tokens computed for nothing."}),
		FirstToken:          histograms("first_token_seconds", "Time to the first token.", prometheus.ExponentialBuckets(0.02, 1.6, 14)),
		TokenGap:            histograms("token_gap_seconds", "Mean time between tokens of a request.", prometheus.ExponentialBuckets(0.002, 1.5, 14)),
		GoodRequests:        counters("good_requests_total", "Requests that met both latency targets.", "route", "account"),
		Queued:              gauges("queued_requests", "Requests that wait in a lane dispatched here.", "lane"),
		Active:              gauges("active_requests", "Requests that hold an engine in a lane dispatched here.", "lane"),
		Loans:               counters("loans_total", "Loans of account tokens.", "side"),
		Appends:             counters("log_appends_total", "Appends to the log.", "outcome"),
		LogAge:              prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "log_age_seconds", Help: "Time since the head of the log was read."}),
		Offset:              prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "log_offset", Help: "Next log offset to fold."}),
		Cancels:             counters("cancels_total", "Canceled attempts.", "cause"),
	}
	registry.MustRegister(m.Requests, m.Refusals, m.AdmittedTokens, m.PrefillTokens, m.WastedPrefillTokens, m.FirstToken, m.TokenGap,
		m.GoodRequests, m.Queued, m.Active, m.Loans, m.Appends, m.LogAge, m.Offset, m.Cancels)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histograms(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, []string{"route"})
}
