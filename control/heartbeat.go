package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/roster"
)

// peerLink is the link to one peer and the goroutine that sends heartbeats over it.
type peerLink struct {
	*peer.Link
	addr string
	stop func()
}

// readList reads the platform's list, for as long as the process runs.
func (c *Controller) readList(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.PeerDead())
		members, err := c.list.Read(callCtx)
		cancel()
		if err == nil {
			c.post(func() { c.takeList(members) })
		}
		sleep(ctx, c.cfg.Timing.List())
	}
}

func (c *Controller) takeList(members []roster.Member) {
	c.roster.SetList(members)
	listed := map[string]bool{}
	for _, m := range c.roster.Peers() {
		listed[m.VM] = true
		if link := c.links[m.VM]; link != nil && link.addr == m.PeerAddress {
			continue
		}
		c.dropLink(m.VM)
		c.links[m.VM] = c.openLink(m)
		c.log.Info("peer-listed", zap.String("Peer", m.VM), zap.String("Address", m.PeerAddress))
	}
	for vm := range c.links {
		if !listed[vm] {
			c.dropLink(vm)
			c.log.Info("peer-unlisted", zap.String("Peer", vm))
		}
	}
	c.publish()
}

func (c *Controller) dropLink(vm string) {
	if link := c.links[vm]; link != nil {
		link.stop()
		delete(c.links, vm)
	}
}

func (c *Controller) openLink(m roster.Member) *peerLink {
	link, closeLink := peer.NewLink(c.self, c.cfg.Access.PeerSecret, m.VM, m.PeerAddress)
	ctx, cancel := context.WithCancel(context.Background())
	go c.sendHeartbeats(ctx, m.VM, link)
	return &peerLink{Link: link, addr: m.PeerAddress, stop: func() {
		cancel()
		closeLink()
	}}
}

func (c *Controller) sendHeartbeats(ctx context.Context, vm string, link *peer.Link) {
	for ctx.Err() == nil {
		own, period := askPair(c, func() (roster.Heartbeat, time.Duration) { return c.heartbeat(), c.heartbeatPeriod(vm) })
		sentAt := c.now()
		callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.PeerDead())
		answer, err := link.Heartbeat(callCtx, own)
		cancel()
		c.post(func() { c.takeAnswer(vm, sentAt, answer, err) })
		sleep(ctx, period)
	}
}

// heartbeatPeriod is short for VMs that dispatch a lane, whose loss must be noticed soon.
func (c *Controller) heartbeatPeriod(vm string) time.Duration {
	if c.dispatchers()[vm] {
		return c.cfg.Timing.Heartbeat()
	}
	return c.cfg.Timing.IdleHeartbeat()
}

// dispatchers returns the VMs that dispatch a lane, as far as this VM knows.
func (c *Controller) dispatchers() map[string]bool {
	found := map[string]bool{}
	for _, l := range c.lanes {
		found[l.owner] = true
	}
	return found
}

func (c *Controller) takeAnswer(vm string, sentAt time.Time, answer roster.Heartbeat, err error) {
	var peerErr *peer.Error
	switch {
	case err == nil:
		c.roster.Heard(answer, sentAt)
		c.addWithdrawals(answer.Withdrawn)
		c.publish()
	case errors.As(err, &peerErr) && peerErr.Kind == peer.ErrRefused:
		c.roster.Refused(vm, sentAt)
	}
}

func (c *Controller) heartbeat() roster.Heartbeat {
	state, whole := c.replay.State()
	h := roster.Heartbeat{VM: c.self.VM, Incarnation: c.self.Incarnation, Next: state.Next, LogAge: c.roster.LogAge(c.now()),
		Ready: whole && c.headRead, Draining: c.draining}
	for key, w := range c.withdrawn {
		h.Withdrawn = append(h.Withdrawn, roster.Withdrawal{Key: key, Actor: w.actor})
	}
	return h
}

// inbox returns the functions that messages of peers are passed to.
func (c *Controller) inbox() peer.Inbox {
	return peer.Inbox{
		Heartbeat: func(h roster.Heartbeat, reply func(roster.Heartbeat)) {
			c.post(func() {
				c.addWithdrawals(h.Withdrawn)
				own := c.heartbeat()
				go reply(own)
			})
		},
		State: func(reply func([]byte, error)) {
			c.post(func() {
				state, whole := c.replay.State()
				go func() {
					if !whole {
						reply(nil, &Error{Op: "state", Kind: ErrNotReady, Err: errors.New("the state is not whole")})
						return
					}
					reply(catalog.EncodeState(state))
				}()
			})
		},
		Borrow: func(from peer.Identity, r peer.BorrowRequest, reply func(float64)) {
			c.post(func() {
				amount := c.lend(from, r)
				go reply(amount)
			})
		},
		Settle: func(_ peer.Identity, s []peer.Settlement) { c.post(func() { c.settleLoans(s) }) },
		Withdraw: func(withdrawn []roster.Withdrawal, reply func()) {
			c.post(func() {
				c.addWithdrawals(withdrawn)
				go reply()
			})
		},
		Jobs:   func(from peer.Identity, u peer.JobUpdate) { c.post(func() { c.takeJobs(from, u) }) },
		Decide: c.decideInbox,
	}
}

// PeerStatus is what this VM knows of another, or of itself.
type PeerStatus struct {
	VM               string
	AvailabilityZone string
	Alive            bool
	Next             uint64
	LogAgeMillis     int64
	HeardMillisAgo   int64
}

// Peers returns what this VM knows of all VMs on the list.
func (c *Controller) Peers() []PeerStatus {
	return ask(c, func() []PeerStatus {
		now := c.now()
		own := c.heartbeat()
		found := []PeerStatus{{VM: c.self.VM, AvailabilityZone: c.cfg.AvailabilityZone, Alive: true, Next: own.Next, LogAgeMillis: own.LogAge.Milliseconds()}}
		alive := map[string]bool{}
		for _, vm := range c.roster.Alive(now) {
			alive[vm] = true
		}
		for _, m := range c.roster.Peers() {
			status := PeerStatus{VM: m.VM, AvailabilityZone: m.AvailabilityZone, Alive: alive[m.VM], HeardMillisAgo: -1}
			if h, age, ok := c.roster.PeerHeartbeat(m.VM, now); ok {
				status.Next, status.LogAgeMillis, status.HeardMillisAgo = h.Next, h.LogAge.Milliseconds(), age.Milliseconds()
			}
			found = append(found, status)
		}
		return found
	})
}
