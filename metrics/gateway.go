package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Gateway holds the collectors of a process that serves as a gateway, which matches routes by host and path.
type Gateway struct {
	Registry *prometheus.Registry

	// Requests counts finished requests by route and outcome.
	Requests *prometheus.CounterVec
	// Duration is the time until the complete response was sent, and FirstEvent the time until the first event of a
	// stream, both in seconds by route.
	Duration   *prometheus.HistogramVec
	FirstEvent *prometheus.HistogramVec
	// EngineWait is the time that requests spent queued for an engine, in seconds.
	EngineWait prometheus.Histogram
	// PrefillTokens counts prompt tokens computed, and WastedPrefillTokens those whose result was not used.
	PrefillTokens       prometheus.Counter
	WastedPrefillTokens prometheus.Counter
	// Retries counts the upstream requests that were charged to the retry budget, by pool.
	Retries *prometheus.CounterVec
	// UpstreamFailures counts failed upstream requests by pool and kind.
	UpstreamFailures *prometheus.CounterVec
	// ConfirmedEnds counts bodies without framing that ended in an orderly way, by what was found of the process that was asked.
	ConfirmedEnds *prometheus.CounterVec
	// StreamOrigins counts the requests that take a stream up, by what is known of its origin: Known, or the reason for which it is refused.
	StreamOrigins *prometheus.CounterVec
	// MisplacedEvents counts events of streams that do not follow those before them, by pool and kind.
	MisplacedEvents *prometheus.CounterVec
	// Connections counts connections opened to upstreams.
	Connections prometheus.Counter
	// RelayedConnections counts those that were opened through other VMs.
	RelayedConnections prometheus.Counter
	// Version is the version of the declarations in force.
	Version prometheus.Gauge
	// QuarantinedParts is the number of parts of prompts that are quarantined.
	QuarantinedParts prometheus.Gauge
	// ColdReplicas is the number of replicas that have just started and take few requests, and EvacuatedZones the number of
	// availability zones whose replicas get no new work.
	ColdReplicas   prometheus.Gauge
	EvacuatedZones prometheus.Gauge
	// BusyRefusals counts calls to plain services that were turned away since all upstreams were too busy, by pool and
	// priority.
	BusyRefusals *prometheus.CounterVec
	// PeerBytes counts the bytes of beacons and summaries, by direction and scope. EventDelay is the time for which events waited
	// for the goroutine that owns the control state, in seconds.
	PeerBytes  *prometheus.CounterVec
	EventDelay prometheus.Histogram
	// StoreBytes counts the bytes of the store's answers by topic, also of those that were given up.
	StoreBytes *prometheus.CounterVec
	// LogLinesDropped counts log lines that were dropped.
	LogLinesDropped prometheus.Counter
}

// NewGateway creates the collectors and registers them with a new registry.
func NewGateway() *Gateway {
	latencies := prometheus.ExponentialBuckets(0.01, 2, 11)
	m := &Gateway{
		Registry:            prometheus.NewRegistry(),
		Requests:            newCounterVec("route_requests_total", "Finished requests.", "route", "outcome"),
		Duration:            newHistogramVec("route_seconds", "Time to the whole answer.", latencies),
		FirstEvent:          newHistogramVec("route_first_event_seconds", "Time to the first event of a stream.", latencies),
		EngineWait:          prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "engine_wait_seconds", Help: "Time for which requests waited for engines.", Buckets: latencies}),
		PrefillTokens:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "prefill_tokens_total", Help: "Prompt tokens read."}),
		WastedPrefillTokens: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "wasted_prefill_tokens_total", Help: "Prompt tokens read for nothing."}),
		Retries:             newCounterVec("repeats_total", "Requests sent to a further upstream.", "pool"),
		UpstreamFailures:    newCounterVec("upstream_failures_total", "Failed exchanges with upstreams.", "pool", "kind"),
		ConfirmedEnds:       newCounterVec("unframed_ends_total", "Bodies without framing that seemed to end.", "process"),
		StreamOrigins:       newCounterVec("stream_origins_total", "Requests that take a stream up, by what is known of its origin.", "origin"),
		MisplacedEvents:     newCounterVec("misplaced_events_total", "Events of streams that do not follow those before them.", "pool", "kind"),
		Connections:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_connections_total", Help: "Connections opened to upstreams."}),
		RelayedConnections:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_connections_relayed_total", Help: "Connections to upstreams opened through other VMs."}),
		Version:             prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "declarations_version", Help: "Version of the declarations in force."}),
		QuarantinedParts:    prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "quarantined_parts", Help: "Parts of prompts that are quarantined."}),
		ColdReplicas:        prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "cold_replicas", Help: "Replicas that are cold after a start."}),
		EvacuatedZones:      prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "evacuated_zones", Help: "Availability zones that are evacuated."}),
		BusyRefusals:        newCounterVec("busy_refusals_total", "Calls turned away since all upstreams were busy.", "pool", "priority"),
		PeerBytes:           newCounterVec("peer_bytes_total", "Bytes of beacons and summaries.", "direction", "scope"),
		EventDelay:          prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "event_delay_seconds", Help: "Time for which events of the control state waited.", Buckets: prometheus.ExponentialBuckets(0.0001, 4, 9)}),
		StoreBytes:          newCounterVec("store_read_bytes_total", "Bytes of the store's answers.", "topic"),
		LogLinesDropped:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines that were left out."}),
	}
	m.Registry.MustRegister(m.Requests, m.Duration, m.FirstEvent, m.EngineWait, m.PrefillTokens, m.WastedPrefillTokens, m.Retries, m.UpstreamFailures, m.ConfirmedEnds, m.StreamOrigins, m.MisplacedEvents,
		m.Connections, m.RelayedConnections, m.Version, m.QuarantinedParts, m.ColdReplicas, m.EvacuatedZones, m.BusyRefusals, m.PeerBytes, m.EventDelay, m.StoreBytes, m.LogLinesDropped)
	return m
}
