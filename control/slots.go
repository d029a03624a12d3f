package control

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
)

const (
	slotPeriod = 500 * time.Millisecond
	// moveRetry is how long the outcome of a move is awaited before the same record is sent again.
	moveRetry = 5 * time.Second
)

// slotState is which slots this VM holds, and the moves that it has under way.
type slotState struct {
	holders []catalog.Holder
	held    []int
	// giving are slots that this VM has stopped using and is moving away.
	giving  []int
	move    *catalog.Record
	movedAt time.Time
	goneAt  map[string]time.Time
}

// usable returns how many slots this VM may spend from.
func (s slotState) usable() int { return len(s.held) - len(s.giving) }

func (c *Controller) holder() catalog.Holder {
	return catalog.Holder{VM: c.self.VM, Incarnation: c.self.Incarnation}
}

// takeSlots notes who holds the slots after a fold.
func (c *Controller) takeSlots(now time.Time, state catalog.State) {
	holders := state.Slots()
	if slices.Equal(holders, c.slots.holders) {
		return
	}
	c.slots.holders = holders
	c.slots.held = c.slots.held[:0:0]
	for slot, holder := range holders {
		if holder == c.holder() {
			c.slots.held = append(c.slots.held, slot)
		}
	}
	c.slots.giving = slices.DeleteFunc(c.slots.giving, func(slot int) bool { return holders[slot] != c.holder() })
	c.configureBuckets(now)
	c.log.Info("slots-changed", zap.Int("Held", len(c.slots.held)))
}

// balanceSlots takes slots that nobody holds any more and gives away those that others lack.
func (c *Controller) balanceSlots(now time.Time) {
	if !c.headRead || !c.roster.Listed() || c.slots.holders == nil {
		state, _ := c.replay.State()
		c.takeSlots(now, state)
	}
	if !c.headRead || !c.roster.Listed() {
		return
	}
	if c.slots.move != nil {
		c.repeatMove(now)
		return
	}
	if move := c.nextMove(now); move != nil {
		record := c.stamp(catalog.Record{Move: move})
		c.slots.move = &record
		c.slots.movedAt = time.Time{}
		c.repeatMove(now)
	}
}

// repeatMove sends the move under way. The record keeps its ID and its precondition, so sending it
// again is idempotent.
func (c *Controller) repeatMove(now time.Time) {
	if now.Sub(c.slots.movedAt) < moveRetry {
		return
	}
	c.slots.movedAt = now
	c.appendLater(*c.slots.move, func(catalog.Verdict) {
		c.slots.move, c.slots.giving = nil, nil
		c.configureBuckets(c.now())
	})
}

// nextMove returns the next move that this VM should make, or nil.
func (c *Controller) nextMove(now time.Time) *catalog.SlotMove {
	counts := map[catalog.Holder][]int{}
	for slot, holder := range c.slots.holders {
		counts[holder] = append(counts[holder], slot)
	}
	if free := c.ownPart(counts[catalog.Holder{}]); len(free) > 0 {
		return &catalog.SlotMove{Slots: free, To: c.holder()}
	}
	for holder, slots := range counts {
		if c.mayTake(holder, now) {
			return &catalog.SlotMove{Slots: slots, From: holder, To: c.holder()}
		}
	}
	return c.giveMove(now, counts)
}

// ownPart returns the free slots that fall to this VM by its place on the list, or all of them when
// it ranks first.
func (c *Controller) ownPart(free []int) []int {
	names := c.listedNames()
	place := slices.Index(names, c.self.VM)
	var part []int
	for _, slot := range free {
		if place >= 0 && slot%len(names) == place {
			part = append(part, slot)
		}
	}
	if len(part) == 0 && c.roster.First("slots", c.now()) == c.self.VM {
		return free
	}
	return part
}

func (c *Controller) listedNames() []string {
	names := []string{c.self.VM}
	for _, m := range c.roster.Peers() {
		names = append(names, m.VM)
	}
	slices.Sort(names)
	return names
}

// mayTake reports whether this VM may take the slots of a holder: its own former run, or a VM that
// has been off the platform's list for longer than the term of any loan that it made.
func (c *Controller) mayTake(holder catalog.Holder, now time.Time) bool {
	if holder.VM == "" || holder == c.holder() {
		return false
	}
	if holder.VM == c.self.VM {
		return true
	}
	if c.slots.goneAt == nil {
		c.slots.goneAt = map[string]time.Time{}
	}
	if c.roster.OnList(holder.VM) {
		delete(c.slots.goneAt, holder.VM)
		return false
	}
	since, known := c.slots.goneAt[holder.VM]
	if !known {
		c.slots.goneAt[holder.VM] = now
		return false
	}
	longEnough := now.Sub(since) > c.cfg.Timing.Loan()+clockDriftMargin
	return longEnough && c.roster.First("slots", now) == c.self.VM
}

// giveMove moves slots to the live VM that holds fewest, if it holds less than its part. The slots are
// not used any more from before the record is sent.
func (c *Controller) giveMove(now time.Time, counts map[catalog.Holder][]int) *catalog.SlotMove {
	names := c.listedNames()
	part := catalog.SlotCount / len(names)
	spare := len(c.slots.held) - part - 1
	if spare <= 0 {
		return nil
	}
	var poorest catalog.Holder
	fewest := part
	for _, vm := range c.roster.Alive(now) {
		h, _, heard := c.roster.PeerHeartbeat(vm, now)
		if vm == c.self.VM || !heard || !h.Ready || h.Draining {
			continue
		}
		holder := catalog.Holder{VM: vm, Incarnation: h.Incarnation}
		if n := len(counts[holder]); n < fewest {
			poorest, fewest = holder, n
		}
	}
	n := min(spare, part-fewest)
	if poorest.VM == "" || n <= 0 || !c.canGiveSlots(now, len(c.slots.held)-n) {
		return nil
	}
	c.slots.giving = slices.Clone(c.slots.held[len(c.slots.held)-n:])
	c.configureBuckets(now)
	return &catalog.SlotMove{Slots: c.slots.giving, From: c.holder(), To: poorest}
}
