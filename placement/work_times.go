package placement

import (
	"slices"
	"sync"
	"time"
)

const (
	// workTimeSamples is the number of latest answers of a route from which its work times are estimated.
	workTimeSamples = 64
	// workTimeQuantile is the quantile of the samples that a request is expected to take.
	workTimeQuantile = 0.95
	// MinWorkTimeSamples is the number of samples below which the requests in flight are looked at too.
	MinWorkTimeSamples = 5
	// maxWorkTimeRoutes bounds the number of routes whose work times are kept.
	maxWorkTimeRoutes = 4096
)

// WorkTimes estimates how long requests take, from the latest answers of each route. The zero value knows of none. It is safe for
// concurrent use.
type WorkTimes struct {
	mu      sync.Mutex
	byRoute map[string]*routeWorkTimes
}

// routeWorkTimes holds the latest work times of one route, in the order of a ring.
type routeWorkTimes struct {
	// untilFirst is the time to the first byte of an answer, and perToken the time from there to the end for each token
	// of the expected output. perToken is 0 if the output is not counted in tokens.
	untilFirst, perToken []time.Duration
	next                 int
}

// Record records the answer to a request with an expected output of tokens, or 0 if it is not counted in tokens.
func (w *WorkTimes) Record(route string, untilFirst, total time.Duration, tokens int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byRoute == nil || len(w.byRoute) >= maxWorkTimeRoutes {
		w.byRoute = map[string]*routeWorkTimes{}
	}
	times := w.byRoute[route]
	if times == nil {
		times = &routeWorkTimes{}
		w.byRoute[route] = times
	}
	perToken := time.Duration(0)
	if tokens > 0 {
		perToken = (total - untilFirst) / time.Duration(tokens)
	} else {
		untilFirst = total
	}
	times.add(untilFirst, perToken)
}

func (t *routeWorkTimes) add(untilFirst, perToken time.Duration) {
	if len(t.untilFirst) < workTimeSamples {
		t.untilFirst = append(t.untilFirst, untilFirst)
		t.perToken = append(t.perToken, perToken)
		return
	}
	t.untilFirst[t.next], t.perToken[t.next] = untilFirst, perToken
	t.next = (t.next + 1) % workTimeSamples
}

// Estimate returns the time that a request with an expected output of tokens takes, and the number of samples.
func (w *WorkTimes) Estimate(route string, tokens int) (time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	times := w.byRoute[route]
	if times == nil {
		return 0, 0
	}
	return workTimeOf(times.untilFirst) + workTimeOf(times.perToken)*time.Duration(tokens), len(times.untilFirst)
}

// workTimeOf returns the workTimeQuantile of samples, of which there must be one.
func workTimeOf(samples []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[int(workTimeQuantile*float64(len(sorted)-1))]
}
