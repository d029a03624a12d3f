package trial

import (
	"time"
)

// baseline starts every prefill at once. Each VM chooses by itself from what it has sent.
type baseline struct {
	sim      *simulation
	least    bool
	next     [vmCount][2]int
	prefills [vmCount]map[*prefillModel]int
	decodes  [vmCount]map[*decodeModel]int
}

func newBaseline(s *simulation, least bool) *baseline {
	b := &baseline{sim: s, least: least}
	for vm := range vmCount {
		b.prefills[vm], b.decodes[vm] = map[*prefillModel]int{}, map[*decodeModel]int{}
	}
	return b
}

func choose[T comparable](engines []T, start int, least bool, outstanding map[T]int, usable func(T) bool) (T, bool) {
	var best T
	found := false
	for i := range engines {
		e := engines[(start+i)%len(engines)]
		if !usable(e) {
			continue
		}
		if !least {
			return e, true
		}
		if !found || outstanding[e] < outstanding[best] {
			best, found = e, true
		}
	}
	return best, found
}

func (b *baseline) policy() policy {
	return policy{
		start: func() {}, submit: b.submit, prefilled: b.prefilled, evicted: b.submit,
		failed:   func(c *call, _ string) { b.submit(c) },
		finished: func(c *call, _ time.Duration) { b.decodes[c.vm][c.decode]-- },
		progress: func(*call, time.Duration) {}, zoneCut: func(int) {}, unreachable: func(string) {},
		misplaced: func(c *call, _ string) { b.sim.evicted(c) },
	}
}

func (b *baseline) submit(c *call) {
	if b.sim.now-c.arrived > giveUp {
		c.refused, c.stage = true, stageEnded
		return
	}
	if c.decode != nil {
		b.decodes[c.vm][c.decode]--
		c.decode = nil
	}
	b.next[c.vm][0]++
	p, ok := choose(b.sim.prefills, b.next[c.vm][0], b.least, b.prefills[c.vm], func(p *prefillModel) bool { return !p.dead })
	if !ok {
		c.lost = true
		return
	}
	b.prefills[c.vm][p]++
	b.sim.startPrefill(c, p)
}

func (b *baseline) prefilled(c *call) {
	b.prefills[c.vm][c.prefill]--
	b.next[c.vm][1]++
	d, ok := choose(b.sim.decodes, b.next[c.vm][1], b.least, b.decodes[c.vm], func(d *decodeModel) bool { return !d.dead })
	if !ok {
		c.lost = true
		return
	}
	b.decodes[c.vm][d]++
	b.sim.startDecode(c, d)
}
