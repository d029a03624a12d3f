package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// assignPlaces gives free places to prefilled requests, the one that is evicted next first.
func (d *Dispatcher) assignPlaces(now time.Time) []Decision {
	var decisions []Decision
	slices.SortStableFunc(d.waiting, func(a, b *job) int { return a.evictedAt.Compare(b.evictedAt) })
	var blocked []*job
	for _, j := range d.waiting {
		e := d.bestDecode(now, j)
		if e == nil {
			blocked = append(blocked, j)
			continue
		}
		j.stage, j.decode, j.startedAt = StageDecode, e.Name, now
		e.running[j.ID] = j
		decisions = append(decisions, Decision{ID: j.ID, VM: j.VM, Kind: DecideDecode, Engine: e.Name, Addr: e.Addr})
	}
	d.waiting = blocked
	return decisions
}

// bestDecode returns the engine with a free place that is emptiest among those fast enough.
func (d *Dispatcher) bestDecode(now time.Time, j *job) *decodeEngine {
	var best *decodeEngine
	for _, e := range d.decodes {
		outside := !d.reaches(j.reach, e) && now.Before(j.evictedAt.Add(-evictionMargin))
		if e.free() <= 0 || !e.usable(now) || outside || slices.Contains(j.Avoid, e.Name) {
			continue
		}
		if best == nil || d.prefers(e, best) {
			best = e
		}
	}
	return best
}

func (d *Dispatcher) prefers(a, b *decodeEngine) bool {
	aMeets, bMeets := d.meetsGap(a), d.meetsGap(b)
	if aMeets != bMeets {
		return aMeets
	}
	aLoad := float64(a.Places-a.free()) / float64(a.Places)
	bLoad := float64(b.Places-b.free()) / float64(b.Places)
	return cmp.Or(cmp.Compare(aLoad, bLoad), cmp.Compare(a.Name, b.Name)) < 0
}

func (d *Dispatcher) meetsGap(e *decodeEngine) bool {
	return d.lane.TokenGap == 0 || e.gap <= d.lane.TokenGap.Seconds()
}

// placeWait is how long a prefill result may be expected to wait for a place.
func (d *Dispatcher) placeWait() time.Duration {
	if d.reserve {
		return 0
	}
	return time.Duration(retainShare * float64(d.lane.Retain))
}

// freePlaces returns how many places within a reach are free and promised to nobody. It is negative
// when more is promised than there is.
func (d *Dispatcher) freePlaces(now time.Time, within reach) float64 {
	free := 0
	for _, e := range d.decodes {
		if e.usable(now) && d.reaches(within, e) {
			free += max(0, e.free())
		}
	}
	promised := 0
	for _, j := range d.waiting {
		promised += d.promise(j, within)
	}
	for _, p := range d.prefills {
		for _, j := range p.jobs {
			promised += d.promise(j, within)
		}
	}
	return float64(free - promised)
}

// expectedPlaces returns how many places within a reach are almost certain to come free within a wait.
func (d *Dispatcher) expectedPlaces(now time.Time, wait time.Duration, within reach) float64 {
	if d.reserve {
		return 0
	}
	running := 0
	for _, e := range d.decodes {
		if e.usable(now) && d.reaches(within, e) {
			running += len(e.running)
		}
	}
	mean := float64(running) * d.completions * wait.Seconds()
	return math.Max(0, mean-completionSigmas*math.Sqrt(mean))
}

// promise returns how many of the places within a reach a started request takes.
func (d *Dispatcher) promise(j *job, within reach) int {
	if j.reach.overlaps(within) {
		return 1
	}
	return 0
}

// reaches reports whether an engine lies within a reach. When no engine meets the target for the time
// between tokens, all count as fast.
func (d *Dispatcher) reaches(within reach, e *decodeEngine) bool {
	fast := d.meetsGap(e) || !d.anyFast()
	switch within {
	case reachFast:
		return fast
	case reachSlow:
		return !fast
	}
	return true
}

func (d *Dispatcher) anyFast() bool {
	for _, e := range d.decodes {
		if d.meetsGap(e) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) anySlow() bool {
	for _, e := range d.decodes {
		if !d.meetsGap(e) {
			return true
		}
	}
	return false
}
