package trial

import (
	"math"
	"time"
)

// Result is what one run, or the mean of several, measured.
type Result struct {
	User   string
	Policy Policy
	Load   float64
	Fault  Fault
	// Goodput is the part of the offered requests that met both latency targets, and Bound the part
	// that the engines' capacity allows.
	Goodput float64
	Bound   float64
	// Wasted is the part of prefill tokens computed for nothing.
	Wasted float64
	// Worst is the least part of its requests that an account within its share got in time.
	Worst float64
	// Refused and Lost are parts of the offered requests.
	Refused float64
	Lost    float64
	// FirstTokenP95 is in seconds.
	FirstTokenP95 float64
	// MessagesPerRequest counts the messages between VMs.
	MessagesPerRequest float64
}

// Run simulates a plan.
func Run(plan Plan) Result {
	s := newSimulation(plan)
	s.run()
	return s.result()
}

func (s *simulation) result() Result {
	r := Result{User: s.plan.User.Name, Policy: s.plan.Policy, Load: s.plan.Load, Fault: s.plan.Fault, Worst: 1}
	var offered, good, refused, lost float64
	var byAccount [accountCount][2]float64
	var waits []time.Duration
	for _, c := range s.calls {
		if c.arrived < warmUp || c.uncount {
			continue
		}
		offered++
		byAccount[c.account][0]++
		switch {
		case c.good():
			good++
			byAccount[c.account][1]++
		case c.refused:
			refused++
		case c.lost || c.ended == 0:
			lost++
		}
		if c.first > 0 {
			waits = append(waits, c.first-c.arrived)
		}
	}
	for account, counts := range byAccount {
		if s.plan.Fault == FaultFlood && account == flooder || counts[0] == 0 {
			continue
		}
		r.Worst = min(r.Worst, counts[1]/counts[0])
	}
	r.Goodput, r.Refused, r.Lost = good/offered, refused/offered, lost/offered
	r.Bound = s.bound()
	if s.prefillTokens > 0 {
		r.Wasted = s.wastedTokens / s.prefillTokens
	}
	r.FirstTokenP95 = percentile(waits, 0.95).Seconds()
	r.MessagesPerRequest = float64(s.messages) / float64(len(s.calls))
	return r
}

// bound returns which part of the offered requests the engines that are fast enough could serve, before
// and after the fault.
func (s *simulation) bound() float64 {
	var before, after float64
	for _, c := range s.calls {
		switch {
		case c.arrived < warmUp || c.uncount:
		case c.arrived < faultAt:
			before++
		default:
			after++
		}
	}
	served := math.Min(before, s.capacityBefore*(faultAt-warmUp).Seconds()) + math.Min(after, s.capacity()*(arrivalsEnd-faultAt).Seconds())
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
