package dispatch

import (
	"time"
)

const (
	initialPrefillRate = 20_000.0
	initialTokenGap    = 0.040
	speedSmoothing     = 0.2
	// breakerThreshold consecutive failures take an engine out of use for breakerPause.
	breakerThreshold = 3
	breakerPause     = 2 * time.Second
	// finishedReportLag is how long after its end an attempt may still appear in an engine's report.
	finishedReportLag = 3 * time.Second
)

// Engine is a configured upstream. Slots is its number of decode slots.
type Engine struct {
	Name  string
	Addr  string
	Slots int
}

// LoadReport is a load report of one engine.
type LoadReport struct {
	Engine string
	// Attempts lists the attempts that hold KV cache memory on the engine.
	Attempts []string
	// CacheEvents are consecutive events. CacheFrom is the sequence number of the first.
	CacheEvents []CacheEvent
	CacheFrom   uint64
}

// CacheEvent reports that an engine has cached a prompt prefix or, with Removed, evicted it.
type CacheEvent struct {
	Hash    uint64
	Removed bool
}

// health is a circuit breaker that counts consecutive failures of one engine.
type health struct {
	failures         int
	breakerOpenUntil time.Time
	// unreachable is set while the engine's reports cannot be read.
	unreachable bool
}

func (h *health) recordSuccess() { h.failures = 0 }

func (h *health) recordFailure(now time.Time) {
	h.failures++
	if h.failures >= breakerThreshold {
		h.breakerOpenUntil = now.Add(breakerPause)
	}
}

func (h *health) usable(now time.Time) bool { return !h.unreachable && !now.Before(h.breakerOpenUntil) }

// prefillEngine tracks the work of one prefill engine and predicts when it finishes.
type prefillEngine struct {
	Engine
	health
	// rate is the learned speed, in prompt tokens per second.
	rate           float64
	jobs           []*job
	lastFinishedAt time.Time
	cachedPrefixes map[uint64]bool
	lastCacheEvent uint64
}

func newPrefillEngine(e Engine) *prefillEngine {
	return &prefillEngine{Engine: e, rate: initialPrefillRate, cachedPrefixes: map[uint64]bool{}}
}

// cachedTokens returns the length of the longest prefix of a prompt that the engine is believed to have
// cached. It is at most the prompt's length less one token.
func (p *prefillEngine) cachedTokens(r Request) int {
	tokens := 0
	for _, hash := range r.Prefix {
		if !p.cachedPrefixes[hash] {
			break
		}
		tokens += PrefixBlockTokens
	}
	return min(tokens, r.PromptTokens-1)
}

// uncachedTokens returns the number of prompt tokens that the engine must compute for a request.
func (p *prefillEngine) uncachedTokens(r Request) float64 {
	return float64(r.PromptTokens - max(0, p.cachedTokens(r)))
}

// idleAt returns the time at which the engine is expected to have finished its jobs, now at the earliest.
func (p *prefillEngine) idleAt(now time.Time) time.Time {
	if n := len(p.jobs); n > 0 && p.jobs[n-1].prefillDueAt.After(now) {
		return p.jobs[n-1].prefillDueAt
	}
	return now
}

func (p *prefillEngine) computeTime(tokens float64) time.Duration {
	return time.Duration(tokens / p.rate * float64(time.Second))
}

func (p *prefillEngine) start(now time.Time, j *job) {
	j.uncachedTokens = p.uncachedTokens(j.Request)
	j.prefillDueAt = p.idleAt(now).Add(p.computeTime(j.uncachedTokens))
	p.jobs = append(p.jobs, j)
	for _, hash := range j.Prefix {
		p.cachedPrefixes[hash] = true
	}
}

// finish removes a job. If the job completed, finish updates the learned speed and the due times of the
// remaining jobs.
func (p *prefillEngine) finish(now time.Time, j *job, completed bool) {
	for i, other := range p.jobs {
		if other == j {
			p.jobs = append(p.jobs[:i:i], p.jobs[i+1:]...)
			break
		}
	}
	if !completed {
		return
	}
	startedAt := j.prefillGrantedAt
	if p.lastFinishedAt.After(startedAt) {
		startedAt = p.lastFinishedAt
	}
	p.lastFinishedAt = now
	if elapsed := now.Sub(startedAt).Seconds(); elapsed > 0 && j.uncachedTokens > 0 {
		p.rate += speedSmoothing * (j.uncachedTokens/elapsed - p.rate)
	}
	p.updateDueTimes(now)
}

// updateDueTimes recomputes when the remaining jobs are expected to finish.
func (p *prefillEngine) updateDueTimes(now time.Time) {
	at := now
	for _, j := range p.jobs {
		at = at.Add(p.computeTime(j.uncachedTokens))
		j.prefillDueAt = at
	}
}

// applyCacheEvents applies the cache events that were not seen before. If events were missed, it first
// clears the known contents.
func (p *prefillEngine) applyCacheEvents(l LoadReport) {
	if l.CacheFrom > p.lastCacheEvent+1 {
		clear(p.cachedPrefixes)
	}
	for i, event := range l.CacheEvents {
		number := l.CacheFrom + uint64(i)
		if number <= p.lastCacheEvent {
			continue
		}
		p.lastCacheEvent = number
		if event.Removed {
			delete(p.cachedPrefixes, event.Hash)
		} else {
			p.cachedPrefixes[event.Hash] = true
		}
	}
}

// decodeEngine tracks the slots in use on one decode engine.
type decodeEngine struct {
	Engine
	health
	// tokenGap is the learned time between tokens, in seconds.
	tokenGap float64
	running  map[string]*job
	// foreign is the number of attempts in the last report that this dispatcher did not assign.
	foreign          int
	recentlyFinished map[string]time.Time
}

func newDecodeEngine(e Engine) *decodeEngine {
	return &decodeEngine{Engine: e, tokenGap: initialTokenGap, running: map[string]*job{}, recentlyFinished: map[string]time.Time{}}
}

func (d *decodeEngine) freeSlots() int { return d.Slots - len(d.running) - d.foreign }

func (d *decodeEngine) observeTokenGap(gap float64) {
	if gap > 0 {
		d.tokenGap += speedSmoothing * (gap - d.tokenGap)
	}
}

func (d *decodeEngine) release(now time.Time, id string) {
	delete(d.running, id)
	d.recentlyFinished[id] = now
}

// observeAttempts counts the reported attempts that this dispatcher did not assign. Attempts that ended
// recently are ignored, because a report may lag.
func (d *decodeEngine) observeAttempts(now time.Time, l LoadReport, requestOf func(attempt string) string) {
	for id, at := range d.recentlyFinished {
		if now.Sub(at) > finishedReportLag {
			delete(d.recentlyFinished, id)
		}
	}
	d.foreign = 0
	for _, attempt := range l.Attempts {
		id := requestOf(attempt)
		_, recent := d.recentlyFinished[id]
		if d.running[id] == nil && !recent {
			d.foreign++
		}
	}
}
