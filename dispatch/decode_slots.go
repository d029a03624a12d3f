package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// assignDecodeSlots assigns free slots to prefilled requests, in the order in which their results are
// evicted.
func (d *Dispatcher) assignDecodeSlots(now time.Time) []Decision {
	var decisions []Decision
	slices.SortStableFunc(d.awaitingSlot, func(a, b *job) int { return a.evictsAt.Compare(b.evictsAt) })
	var blocked []*job
	for _, j := range d.awaitingSlot {
		e := d.bestDecodeEngine(now, j)
		if e == nil {
			blocked = append(blocked, j)
			continue
		}
		j.stage, j.decodeEngine, j.decodeStartedAt = StageDecode, e.Name, now
		e.running[j.ID] = j
		decisions = append(decisions, Decision{ID: j.ID, VM: j.VM, Kind: DecideDecode, Engine: e.Name, Addr: e.Addr})
	}
	d.awaitingSlot = blocked
	return decisions
}

// bestDecodeEngine returns the preferred engine with a free slot for a request, or nil. Shortly before the
// request's result is evicted, engines outside its class count as well.
func (d *Dispatcher) bestDecodeEngine(now time.Time, j *job) *decodeEngine {
	var best *decodeEngine
	for _, e := range d.decodeEngines {
		outsideClass := !d.inClass(j.class, e) && now.Before(j.evictsAt.Add(-evictionMargin))
		if e.freeSlots() <= 0 || !e.usable(now) || outsideClass || slices.Contains(j.Avoid, e.Name) {
			continue
		}
		if best == nil || d.isBetterDecodeEngine(e, best) {
			best = e
		}
	}
	return best
}

func (d *Dispatcher) isBetterDecodeEngine(a, b *decodeEngine) bool {
	aMeets, bMeets := d.meetsTokenGap(a), d.meetsTokenGap(b)
	if aMeets != bMeets {
		return aMeets
	}
	aLoad := float64(a.Slots-a.freeSlots()) / float64(a.Slots)
	bLoad := float64(b.Slots-b.freeSlots()) / float64(b.Slots)
	return cmp.Or(cmp.Compare(aLoad, bLoad), cmp.Compare(a.Name, b.Name)) < 0
}

func (d *Dispatcher) meetsTokenGap(e *decodeEngine) bool {
	return d.lane.TokenGap == 0 || e.tokenGap <= d.lane.TokenGap.Seconds()
}

// maxSlotWait returns how long a prefill result may be expected to wait for a slot.
func (d *Dispatcher) maxSlotWait() time.Duration {
	if d.reserveSlots {
		return 0
	}
	return time.Duration(maxSlotWaitFraction * float64(d.lane.Retention))
}

// unreservedSlots returns the free slots of a class less those reserved for requests that are in prefill or
// await a slot. The result is negative if more slots are reserved than are free.
func (d *Dispatcher) unreservedSlots(now time.Time, class engineClass) float64 {
	free := 0
	for _, e := range d.decodeEngines {
		if e.usable(now) && d.inClass(class, e) {
			free += max(0, e.freeSlots())
		}
	}
	reserved := 0
	for _, j := range d.awaitingSlot {
		reserved += d.reservedSlots(j, class)
	}
	for _, p := range d.prefillEngines {
		for _, j := range p.jobs {
			reserved += d.reservedSlots(j, class)
		}
	}
	return float64(free - reserved)
}

// expectedSlots returns a conservative estimate of the slots of a class that become free within a wait:
// the mean less completionSigmas standard deviations.
func (d *Dispatcher) expectedSlots(now time.Time, wait time.Duration, class engineClass) float64 {
	if d.reserveSlots {
		return 0
	}
	running := 0
	for _, e := range d.decodeEngines {
		if e.usable(now) && d.inClass(class, e) {
			running += len(e.running)
		}
	}
	mean := float64(running) * d.completionRate * wait.Seconds()
	return math.Max(0, mean-completionSigmas*math.Sqrt(mean))
}

// reservedSlots returns 1 if a request whose prefill was granted may take a slot of a class, and 0
// otherwise.
func (d *Dispatcher) reservedSlots(j *job, class engineClass) int {
	if j.class.overlaps(class) {
		return 1
	}
	return 0
}

// inClass reports whether an engine belongs to a class. If no engine meets the target for the time between
// tokens, all engines count as fast.
func (d *Dispatcher) inClass(class engineClass, e *decodeEngine) bool {
	fast := d.meetsTokenGap(e) || !d.hasFastDecodeEngine()
	switch class {
	case classFast:
		return fast
	case classSlow:
		return !fast
	}
	return true
}

func (d *Dispatcher) hasFastDecodeEngine() bool {
	for _, e := range d.decodeEngines {
		if d.meetsTokenGap(e) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) hasSlowDecodeEngine() bool {
	for _, e := range d.decodeEngines {
		if !d.meetsTokenGap(e) {
			return true
		}
	}
	return false
}
