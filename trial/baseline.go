package trial

import (
	"time"
)

// baseline is a policy without a dispatcher that starts every prefill immediately. Each VM chooses engines on its own,
// either round robin or by the fewest of its own outstanding requests.
type baseline struct {
	sim                 *simulation
	leastOutstanding    bool
	nextEngine          [vmCount][2]int
	outstandingPrefills [vmCount]map[*prefillModel]int
	outstandingDecodes  [vmCount]map[*decodeModel]int
}

func newBaseline(s *simulation, leastOutstanding bool) *baseline {
	b := &baseline{sim: s, leastOutstanding: leastOutstanding}
	for vm := range vmCount {
		b.outstandingPrefills[vm], b.outstandingDecodes[vm] = map[*prefillModel]int{}, map[*decodeModel]int{}
	}
	return b
}

func chooseEngine[T comparable](engines []T, start int, leastOutstanding bool, outstanding map[T]int, usable func(T) bool) (T, bool) {
	var best T
	found := false
	for i := range engines {
		e := engines[(start+i)%len(engines)]
		if !usable(e) {
			continue
		}
		if !leastOutstanding {
			return e, true
		}
		if !found || outstanding[e] < outstanding[best] {
			best, found = e, true
		}
	}
	return best, found
}

func (b *baseline) callbacks() policyCallbacks {
	return policyCallbacks{
		start: func() {}, submit: b.submit, prefilled: b.prefilled, evicted: b.submit,
		failed:   func(c *simRequest, _ string) { b.submit(c) },
		finished: func(c *simRequest, _ time.Duration) { b.outstandingDecodes[c.vm][c.decode]-- },
		progress: func(*simRequest, time.Duration) {}, zoneFailed: func(int) {}, unreachable: func(string) {},
		decodeRejected: func(c *simRequest, _ string) { b.sim.evicted(c) },
	}
}

func (b *baseline) submit(c *simRequest) {
	if b.sim.now-c.arrivedAt > queueTimeout {
		c.refused, c.stage = true, stageEnded
		return
	}
	if c.decode != nil {
		b.outstandingDecodes[c.vm][c.decode]--
		c.decode = nil
	}
	b.nextEngine[c.vm][0]++
	p, ok := chooseEngine(b.sim.prefills, b.nextEngine[c.vm][0], b.leastOutstanding, b.outstandingPrefills[c.vm], func(p *prefillModel) bool { return !p.dead })
	if !ok {
		c.lost = true
		return
	}
	b.outstandingPrefills[c.vm][p]++
	b.sim.startPrefill(c, p)
}

func (b *baseline) prefilled(c *simRequest) {
	b.outstandingPrefills[c.vm][c.prefill]--
	b.nextEngine[c.vm][1]++
	d, ok := chooseEngine(b.sim.decodes, b.nextEngine[c.vm][1], b.leastOutstanding, b.outstandingDecodes[c.vm], func(d *decodeModel) bool { return !d.dead })
	if !ok {
		c.lost = true
		return
	}
	b.outstandingDecodes[c.vm][d]++
	b.sim.startDecode(c, d)
}
