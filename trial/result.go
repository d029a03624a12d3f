package trial

import (
	"math"
	"time"
)

// Result holds the measurements of one run or the means of several runs.
type Result struct {
	User   string
	Policy Policy
	Load   float64
	Fault  Fault
	// Goodput is the fraction of the offered requests that met both latency targets, and Bound its upper bound, given
	// the capacity of the engines.
	Goodput float64
	Bound   float64
	// Wasted is the fraction of prefill tokens whose result was evicted before use.
	Wasted float64
	// Worst is the lowest goodput of any account that sent no more than its share.
	Worst float64
	// Refused and Lost are fractions of the offered requests.
	Refused float64
	Lost    float64
	// FirstTokenP95 is in seconds.
	FirstTokenP95 float64
	// MessagesPerRequest is the mean number of messages between VMs for each request.
	MessagesPerRequest float64
}

// Run simulates a plan and returns its measurements.
func Run(plan Plan) Result {
	s := newSimulation(plan)
	s.run()
	return s.result()
}

func (s *simulation) result() Result {
	r := Result{User: s.plan.Deployment.Name, Policy: s.plan.Policy, Load: s.plan.Load, Fault: s.plan.Fault, Worst: 1}
	var offered, good, refused, lost float64
	var byAccount [accountCount][2]float64
	var firstTokenLatencies []time.Duration
	for _, c := range s.requests {
		if c.arrivedAt < warmUp || c.excluded {
			continue
		}
		offered++
		byAccount[c.account][0]++
		switch {
		case c.metTargets():
			good++
			byAccount[c.account][1]++
		case c.refused:
			refused++
		case c.lost || c.endedAt == 0:
			lost++
		}
		if c.firstTokenAt > 0 {
			firstTokenLatencies = append(firstTokenLatencies, c.firstTokenAt-c.arrivedAt)
		}
	}
	for account, counts := range byAccount {
		if s.plan.Fault == FaultFlood && account == floodingAccount || counts[0] == 0 {
			continue
		}
		r.Worst = min(r.Worst, counts[1]/counts[0])
	}
	r.Goodput, r.Refused, r.Lost = good/offered, refused/offered, lost/offered
	r.Bound = s.goodputBound()
	if s.prefillTokens > 0 {
		r.Wasted = s.wastedTokens / s.prefillTokens
	}
	r.FirstTokenP95 = percentile(firstTokenLatencies, 0.95).Seconds()
	r.MessagesPerRequest = float64(s.messages) / float64(len(s.requests))
	return r
}

// goodputBound returns the fraction of the offered requests that the engines within the token gap target could serve,
// given their capacity before and after the fault.
func (s *simulation) goodputBound() float64 {
	var before, after float64
	for _, c := range s.requests {
		switch {
		case c.arrivedAt < warmUp || c.excluded:
		case c.arrivedAt < faultAt:
			before++
		default:
			after++
		}
	}
	served := math.Min(before, s.capacityBeforeFault*(faultAt-warmUp).Seconds()) + math.Min(after, s.capacityPerSecond()*(arrivalsEnd-faultAt).Seconds())
	return served / (before + after)
}

func mean(results []Result) Result {
	m := results[0]
	n := float64(len(results))
	sum := func(field func(r *Result) *float64) {
		total := 0.0
		for i := range results {
			total += *field(&results[i])
		}
		*field(&m) = total / n
	}
	for _, field := range []func(r *Result) *float64{
		func(r *Result) *float64 { return &r.Goodput }, func(r *Result) *float64 { return &r.Bound },
		func(r *Result) *float64 { return &r.Wasted }, func(r *Result) *float64 { return &r.Worst },
		func(r *Result) *float64 { return &r.Refused }, func(r *Result) *float64 { return &r.Lost },
		func(r *Result) *float64 { return &r.FirstTokenP95 }, func(r *Result) *float64 { return &r.MessagesPerRequest },
	} {
		sum(field)
	}
	return m
}
