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

// peerLink is the connection to one peer. Its stop function also ends the goroutine that sends
// heartbeats over it.
type peerLink struct {
	*peer.Link
	addr string
	stop func()
}

// readList reads the platform's list of VMs periodically until ctx is done.
func (c *Controller) readList(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.PeerDead())
		members, err := c.list.Read(callCtx)
		cancel()
		if err == nil {
			c.post(func() { c.applyList(members) })
		}
		sleep(ctx, c.cfg.Timing.List())
	}
}

func (c *Controller) applyList(members []roster.Member) {
	c.roster.SetMembers(members)
	listed := map[string]bool{}
	for _, m := range c.roster.Peers() {
		listed[m.VM] = true
		if link := c.links[m.VM]; link != nil && link.addr == m.PeerAddress {
			continue
		}
		c.removeLink(m.VM)
		c.links[m.VM] = c.openLink(m)
		c.log.Info("peer-listed", zap.String("Peer", m.VM), zap.String("Address", m.PeerAddress))
	}
	for vm := range c.links {
		if !listed[vm] {
			c.removeLink(vm)
			c.log.Info("peer-unlisted", zap.String("Peer", vm))
		}
	}
	c.publish()
}

func (c *Controller) removeLink(vm string) {
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
		own, period := postAndWaitPair(c, func() (roster.Heartbeat, time.Duration) { return c.heartbeat(), c.heartbeatPeriod(vm) })
		sentAt := c.now()
		callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.PeerDead())
		answer, err := link.Heartbeat(callCtx, own)
		cancel()
		c.post(func() { c.handleHeartbeatAnswer(vm, sentAt, answer, err) })
		sleep(ctx, period)
	}
}

// heartbeatPeriod returns the period of heartbeats to a VM. It is shorter for VMs that dispatch a
// lane, because their failure must be detected quickly.
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

func (c *Controller) handleHeartbeatAnswer(vm string, sentAt time.Time, answer roster.Heartbeat, err error) {
	var peerErr *peer.Error
	switch {
	case err == nil:
		c.roster.RecordHeartbeat(answer, sentAt)
		c.addWithdrawals(answer.Withdrawn)
		c.publish()
	case errors.As(err, &peerErr) && peerErr.Kind == peer.ErrRefused:
		c.roster.RecordConnectionRefused(vm, sentAt)
	}
}

func (c *Controller) heartbeat() roster.Heartbeat {
	state, complete := c.replay.State()
	h := roster.Heartbeat{VM: c.self.VM, Incarnation: c.self.Incarnation, NextOffset: state.Next, LogAge: c.roster.LogAge(c.now()),
		Ready: complete && c.caughtUp, Draining: c.draining}
	for key, w := range c.withdrawn {
		h.Withdrawn = append(h.Withdrawn, roster.Withdrawal{Key: key, Actor: w.actor})
	}
	return h
}

// peerHandlers returns the handlers for messages from peers.
func (c *Controller) peerHandlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat: func(h roster.Heartbeat, reply func(roster.Heartbeat)) {
			c.post(func() {
				c.addWithdrawals(h.Withdrawn)
				own := c.heartbeat()
				go reply(own)
			})
		},
		State: func(reply func([]byte, error)) {
			c.post(func() {
				state, complete := c.replay.State()
				go func() {
					if !complete {
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
		Jobs:   func(from peer.Identity, u peer.JobUpdate) { c.post(func() { c.handleJobUpdate(from, u) }) },
		Decide: c.handleDecisions,
	}
}

// PeerStatus describes the last known state of a VM on the platform's list.
type PeerStatus struct {
	VM               string
	AvailabilityZone string
	Alive            bool
	Next             uint64
	LogAgeMillis     int64
	HeardMillisAgo   int64
}

// Peers returns the status of this VM, which comes first, and of all its peers. HeardMillisAgo is
// -1 for peers without a heartbeat.
func (c *Controller) Peers() []PeerStatus {
	return postAndWait(c, func() []PeerStatus {
		now := c.now()
		own := c.heartbeat()
		found := []PeerStatus{{VM: c.self.VM, AvailabilityZone: c.cfg.AvailabilityZone, Alive: true, Next: own.NextOffset, LogAgeMillis: own.LogAge.Milliseconds()}}
		alive := map[string]bool{}
		for _, vm := range c.roster.Alive(now) {
			alive[vm] = true
		}
		for _, m := range c.roster.Peers() {
			status := PeerStatus{VM: m.VM, AvailabilityZone: m.AvailabilityZone, Alive: alive[m.VM], HeardMillisAgo: -1}
			if h, age, ok := c.roster.PeerHeartbeat(m.VM, now); ok {
				status.Next, status.LogAgeMillis, status.HeardMillisAgo = h.NextOffset, h.LogAge.Milliseconds(), age.Milliseconds()
			}
			found = append(found, status)
		}
		return found
	})
}
