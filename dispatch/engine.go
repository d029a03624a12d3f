package dispatch

import (
	"time"
)

const (
	initialPrefillRate = 20_000.0
	initialTokenGap    = 0.040
	speedGain          = 0.2
	// brokenAfter failures in a row take an engine out of use for breakerPause.
	brokenAfter  = 3
	breakerPause = 2 * time.Second
	// recentlyDone is how long a finished attempt may still show in a lagging report.
	recentlyDone = 3 * time.Second
)

// Engine is an upstream as declared.
type Engine struct {
	Name   string
	Addr   string
	Places int
}

// Load is what an engine reported of itself.
type Load struct {
	Engine string
	// Attempts lists the attempts that hold memory.
	Attempts []string
	// CacheEvents are numbered from CacheFrom on.
	CacheEvents []CacheEvent
	CacheFrom   uint64
}

// CacheEvent says that an engine now caches a prompt prefix, or no longer does.
type CacheEvent struct {
	Hash    uint64
	Removed bool
}

// health counts failures in a row and keeps a failing engine out of use for a while.
type health struct {
	failures int
	outUntil time.Time
	// unreachable says that the engine's reports could not be read.
	unreachable bool
}

func (h *health) succeeded() { h.failures = 0 }

func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures >= brokenAfter {
		h.outUntil = now.Add(breakerPause)
	}
}

func (h *health) usable(now time.Time) bool { return !h.unreachable && !now.Before(h.outUntil) }

// prefillEngine predicts when one prefill engine finishes work.
type prefillEngine struct {
	Engine
	health
	// rate is the learned speed in prompt tokens a second.
	rate    float64
	jobs    []*job
	doneAt  time.Time
	cached  map[uint64]bool
	cacheAt uint64
}

func newPrefillEngine(e Engine) *prefillEngine {
	return &prefillEngine{Engine: e, rate: initialPrefillRate, cached: map[uint64]bool{}}
}

// cachedTokens returns how much of a prompt the engine holds, as far as is known.
func (p *prefillEngine) cachedTokens(r Request) int {
	tokens := 0
	for _, hash := range r.Prefix {
		if !p.cached[hash] {
			break
		}
		tokens += PieceTokens
	}
	return min(tokens, r.PromptTokens-1)
}

// work returns the prompt tokens that must be computed for a request.
func (p *prefillEngine) work(r Request) float64 {
	return float64(r.PromptTokens - max(0, p.cachedTokens(r)))
}

// backlog returns when the engine has finished the work it was given.
func (p *prefillEngine) backlog(now time.Time) time.Time {
	if n := len(p.jobs); n > 0 && p.jobs[n-1].dueAt.After(now) {
		return p.jobs[n-1].dueAt
	}
	return now
}

func (p *prefillEngine) seconds(work float64) time.Duration {
	return time.Duration(work / p.rate * float64(time.Second))
}

func (p *prefillEngine) start(now time.Time, j *job) {
	j.work = p.work(j.Request)
	j.dueAt = p.backlog(now).Add(p.seconds(j.work))
	p.jobs = append(p.jobs, j)
	for _, hash := range j.Prefix {
		p.cached[hash] = true
	}
}

// finish removes a job and, when it ran to its end, learns the speed from it.
func (p *prefillEngine) finish(now time.Time, j *job, whole bool) {
	for i, other := range p.jobs {
		if other == j {
			p.jobs = append(p.jobs[:i:i], p.jobs[i+1:]...)
			break
		}
	}
	if !whole {
		return
	}
	began := j.grantedAt
	if p.doneAt.After(began) {
		began = p.doneAt
	}
	p.doneAt = now
	if took := now.Sub(began).Seconds(); took > 0 && j.work > 0 {
		p.rate += speedGain * (j.work/took - p.rate)
	}
	p.repredict(now)
}

// repredict moves the expected ends of the remaining jobs after one has ended.
func (p *prefillEngine) repredict(now time.Time) {
	at := now
	for _, j := range p.jobs {
		at = at.Add(p.seconds(j.work))
		j.dueAt = at
	}
}

// observeCache applies cache events. After a gap the contents are unknown.
func (p *prefillEngine) observeCache(l Load) {
	if l.CacheFrom > p.cacheAt+1 {
		clear(p.cached)
	}
	for i, event := range l.CacheEvents {
		number := l.CacheFrom + uint64(i)
		if number <= p.cacheAt {
			continue
		}
		p.cacheAt = number
		if event.Removed {
			delete(p.cached, event.Hash)
		} else {
			p.cached[event.Hash] = true
		}
	}
}

// decodeEngine keeps which places of one decode engine are taken.
type decodeEngine struct {
	Engine
	health
	// gap is the learned time between tokens, in seconds.
	gap     float64
	running map[string]*job
	// foreign counts attempts in the last report that this dispatcher did not place.
	foreign int
	done    map[string]time.Time
}

func newDecodeEngine(e Engine) *decodeEngine {
	return &decodeEngine{Engine: e, gap: initialTokenGap, running: map[string]*job{}, done: map[string]time.Time{}}
}

func (d *decodeEngine) free() int { return d.Places - len(d.running) - d.foreign }

func (d *decodeEngine) learnGap(gap float64) {
	if gap > 0 {
		d.gap += speedGain * (gap - d.gap)
	}
}

func (d *decodeEngine) release(now time.Time, id string) {
	delete(d.running, id)
	d.done[id] = now
}

// observe counts the attempts that other VMs placed here.
func (d *decodeEngine) observe(now time.Time, l Load, requestOf func(attempt string) string) {
	for id, at := range d.done {
		if now.Sub(at) > recentlyDone {
			delete(d.done, id)
		}
	}
	d.foreign = 0
	for _, attempt := range l.Attempts {
		id := requestOf(attempt)
		_, recent := d.done[id]
		if d.running[id] == nil && !recent {
			d.foreign++
		}
	}
}
