package control

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
)

const (
	slotBalancePeriod = 500 * time.Millisecond
	// moveRetryInterval is how long to wait for the outcome of a move before its record is sent
	// again.
	moveRetryInterval = 5 * time.Second
)

// slotState holds the current holder of each slot and the move of this VM that is in progress.
type slotState struct {
	holders []catalog.Instance
	held    []int
	// releasing lists the slots that this VM no longer uses and is transferring to another VM.
	releasing     []int
	move          *catalog.Record
	moveSentAt    time.Time
	unlistedSince map[string]time.Time
}

// usable returns the number of slots whose part of the rate this VM may spend.
func (s slotState) usable() int { return len(s.held) - len(s.releasing) }

func (c *Controller) instance() catalog.Instance {
	return catalog.Instance{VM: c.self.VM, Incarnation: c.self.Incarnation}
}

// updateSlots updates the slot holders from the replicated state.
func (c *Controller) updateSlots(now time.Time, state catalog.State) {
	holders := state.Slots()
	if slices.Equal(holders, c.slots.holders) {
		return
	}
	c.slots.holders = holders
	c.slots.held = c.slots.held[:0:0]
	for slot, holder := range holders {
		if holder == c.instance() {
			c.slots.held = append(c.slots.held, slot)
		}
	}
	c.slots.releasing = slices.DeleteFunc(c.slots.releasing, func(slot int) bool { return holders[slot] != c.instance() })
	c.configureBuckets(now)
	c.log.Info("slots-changed", zap.Int("Held", len(c.slots.held)))
}

// balanceSlots claims slots without a live holder and transfers surplus slots to VMs that have too
// few.
func (c *Controller) balanceSlots(now time.Time) {
	if !c.caughtUp || !c.roster.ListRead() || c.slots.holders == nil {
		state, _ := c.replay.State()
		c.updateSlots(now, state)
	}
	if !c.caughtUp || !c.roster.ListRead() {
		return
	}
	if c.slots.move != nil {
		c.sendMove(now)
		return
	}
	if move := c.nextMove(now); move != nil {
		record := c.withOrigin(catalog.Record{Move: move})
		c.slots.move = &record
		c.slots.moveSentAt = time.Time{}
		c.sendMove(now)
	}
}

// sendMove sends the move in progress. Sending it again is idempotent, because the record keeps its
// ID and its precondition.
func (c *Controller) sendMove(now time.Time) {
	if now.Sub(c.slots.moveSentAt) < moveRetryInterval {
		return
	}
	c.slots.moveSentAt = now
	c.appendAsync(*c.slots.move, func(catalog.Verdict) {
		c.slots.move, c.slots.releasing = nil, nil
		c.configureBuckets(c.now())
	})
}

// nextMove returns the next move that this VM should make, or nil.
func (c *Controller) nextMove(now time.Time) *catalog.SlotMove {
	counts := map[catalog.Instance][]int{}
	for slot, holder := range c.slots.holders {
		counts[holder] = append(counts[holder], slot)
	}
	if free := c.freeSlotsToClaim(counts[catalog.Instance{}]); len(free) > 0 {
		return &catalog.SlotMove{Slots: free, To: c.instance()}
	}
	for holder, slots := range counts {
		if c.canClaim(holder, now) {
			return &catalog.SlotMove{Slots: slots, From: holder, To: c.instance()}
		}
	}
	return c.surplusMove(now, counts)
}

// freeSlotsToClaim returns the free slots that this VM should claim, by its position in the sorted
// list of VMs. If none are left for it and it is the preferred VM for "slots", it claims all free
// slots.
func (c *Controller) freeSlotsToClaim(free []int) []int {
	names := c.listedVMs()
	rank := slices.Index(names, c.self.VM)
	var claimed []int
	for _, slot := range free {
		if rank >= 0 && slot%len(names) == rank {
			claimed = append(claimed, slot)
		}
	}
	if len(claimed) == 0 && c.roster.PreferredVM("slots", c.now()) == c.self.VM {
		return free
	}
	return claimed
}

func (c *Controller) listedVMs() []string {
	names := []string{c.self.VM}
	for _, m := range c.roster.Peers() {
		names = append(names, m.VM)
	}
	slices.Sort(names)
	return names
}

// canClaim reports whether this VM may claim the slots of a holder. That holds for an earlier
// incarnation of this VM. If this VM is the preferred VM for "slots", it also holds for a VM that has
// been off the platform's list for longer than a loan term, so that every loan it made has expired.
func (c *Controller) canClaim(holder catalog.Instance, now time.Time) bool {
	if holder.VM == "" || holder == c.instance() {
		return false
	}
	if holder.VM == c.self.VM {
		return true
	}
	if c.slots.unlistedSince == nil {
		c.slots.unlistedSince = map[string]time.Time{}
	}
	if c.roster.IsListed(holder.VM) {
		delete(c.slots.unlistedSince, holder.VM)
		return false
	}
	since, known := c.slots.unlistedSince[holder.VM]
	if !known {
		c.slots.unlistedSince[holder.VM] = now
		return false
	}
	longEnough := now.Sub(since) > c.cfg.Timing.Loan()+clockDriftMargin
	return longEnough && c.roster.PreferredVM("slots", now) == c.self.VM
}

// surplusMove returns a move of surplus slots to the live VM with the fewest slots, or nil if none
// is possible or that VM already has its fair share. This VM stops using the slots before the
// record is sent.
func (c *Controller) surplusMove(now time.Time, counts map[catalog.Instance][]int) *catalog.SlotMove {
	names := c.listedVMs()
	fairShare := catalog.SlotCount / len(names)
	surplus := len(c.slots.held) - fairShare - 1
	if surplus <= 0 {
		return nil
	}
	var recipient catalog.Instance
	fewest := fairShare
	for _, vm := range c.roster.Alive(now) {
		h, _, heard := c.roster.PeerHeartbeat(vm, now)
		if vm == c.self.VM || !heard || !h.Ready || h.Draining {
			continue
		}
		holder := catalog.Instance{VM: vm, Incarnation: h.Incarnation}
		if n := len(counts[holder]); n < fewest {
			recipient, fewest = holder, n
		}
	}
	n := min(surplus, fairShare-fewest)
	if recipient.VM == "" || n <= 0 || !c.canReleaseSlots(now, len(c.slots.held)-n) {
		return nil
	}
	c.slots.releasing = slices.Clone(c.slots.held[len(c.slots.held)-n:])
	c.configureBuckets(now)
	return &catalog.SlotMove{Slots: c.slots.releasing, From: c.instance(), To: recipient}
}
