// Package trial measures routing policies in a discrete-event simulation.
//
// The engine models are simple: prefill engines have a queue, decode engines have a fixed number of slots, prefill
// results are evicted after a retention time, and links have a fixed bandwidth. The policy under test is the dispatch
// package itself or a baseline. A run is determined by its Plan, which includes the seed.
package trial

import (
	"math/rand/v2"
	"time"
)

// Deployment is one of the two deployments that are simulated, with its size.
type Deployment struct {
	Name     string
	Prefills int
	Decodes  int
	// NetworkDelay is the one-way delay between VMs.
	NetworkDelay time.Duration
}

// Deployments returns both deployments.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "zarqa", Prefills: 5, Decodes: 9, NetworkDelay: 500 * time.Microsecond},
		{Name: "resham", Prefills: 3, Decodes: 6, NetworkDelay: 1250 * time.Microsecond},
	}
}

// Fault is a fault that is injected into a run.
type Fault string

// The faults of a run.
const (
	FaultNone   Fault = "none"
	FaultFlood  Fault = "one account at 5x"
	FaultSlow   Fault = "one engine slow"
	FaultKilled Fault = "one engine killed"
	FaultZone   Fault = "a zone cut"
)

// Plan describes one run.
type Plan struct {
	Deployment Deployment
	Policy     Policy
	// Load is the offered load as a fraction of the capacity of the decode engines.
	Load  float64
	Fault Fault
	Seed  uint64
}

const (
	vmCount                = 7
	accountCount           = 5
	decodeSlots            = 20
	baseTokenGapSeconds    = 0.040
	meanOutputTokens       = 100.0
	maxOutputTokens        = 300
	medianPromptTokens     = 2000.0
	promptSigma            = 0.5
	prefillTokensPerSecond = 22_000.0
	retention              = 700 * time.Millisecond
	kvBytesPerToken        = 100e3
	linkBytesPerSecond     = 10e9
	firstTokenTarget       = time.Second
	tokenGapTarget         = 100 * time.Millisecond
	queueTimeout           = 100 * time.Second
	warmUp                 = 20 * time.Second
	arrivalsEnd            = 110 * time.Second
	horizon                = 260 * time.Second
	faultAt                = 50 * time.Second
	floodFactor            = 5.0
	slowFactor             = 0.2
	// reportPeriod is the interval at which engines are polled for their load.
	reportPeriod = 200 * time.Millisecond
	// progressPeriod is the interval at which a VM reports the time between tokens of its running requests.
	progressPeriod = 500 * time.Millisecond
)

// accountShares is the fraction of the load that each client account sends.
var accountShares = [accountCount]float64{0.30, 0.25, 0.20, 0.15, 0.10}

// floodingAccount is the account that sends floodFactor times its share under FaultFlood.
const floodingAccount = 2

func engineSpeeds(n int, rng *rand.Rand) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = 0.5
		if n > 1 {
			speeds[i] += float64(i) / float64(n-1)
		}
	}
	rng.Shuffle(n, func(i, j int) { speeds[i], speeds[j] = speeds[j], speeds[i] })
	return speeds
}
