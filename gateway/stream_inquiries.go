package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// streamOrigin returns where the stream that an attempt began in a pool may go on. If this VM does not remember the stream, it asks its peers
// and the list of replicas, and waits for what they say until ctx is done.
func (c *Controller) streamOrigin(ctx context.Context, attempt, pool string) knownOrigin {
	found := make(chan knownOrigin, 1)
	c.post(func() { c.inquire(attempt, pool, func(origin knownOrigin) { found <- origin }) })
	select {
	case origin := <-found:
		return origin
	case <-ctx.Done():
		return knownOrigin{unknown: resumption.Outdated}
	}
}

// inquire has decide called with where the stream that an attempt began in a pool may go on.
func (c *Controller) inquire(attempt, pool string, decide func(knownOrigin)) {
	now := c.now()
	c.noticeStall(now)
	if c.readList == nil || c.streams.Remembers(now, attempt) {
		decide(c.findOrigin(now, attempt, pool, true))
		return
	}
	if c.storeLost && !c.canAskPeers(now) {
		decide(c.findOrigin(now, attempt, pool, false))
		return
	}
	c.inquiries.Open(now, attempt, pool, func(current bool) {
		c.log.Info("stream-inquired", zap.String("Attempt", attempt), zap.Bool("Current", current), zap.Duration("Waited", c.now().Sub(now)))
		decide(c.findOrigin(c.now(), attempt, pool, current))
	})
}

// runInquiries asks the peers and the store what callers wait for, and decides the inquiries for which there is evidence.
func (c *Controller) runInquiries(now time.Time) {
	if !c.inquiries.Any() {
		return
	}
	if c.inquiries.QuestionDue(now) {
		c.askForStreams(now)
	}
	several := c.severalVersionsByPool()
	if c.inquiries.TakeRecordsWanted(several) {
		follow.Notify(c.recordsWanted)
	}
	evidence := resumption.Evidence{ListReadAt: c.listSchedule.completeAt, RecordsReadAt: c.recordsReadAt, SeveralVersions: several,
		Remembers: func(attempt string) bool { return c.streams.Remembers(now, attempt) }}
	if evidence.ListReadAt.Before(c.replicas.trustFrom) {
		// Entries may have been missing from the list.
		evidence.ListReadAt = time.Time{}
	}
	c.inquiries.Settle(now, evidence)
}

// askForStreams asks all peers for the streams that callers take up, and has the list of replicas read.
func (c *Controller) askForStreams(now time.Time) {
	audience := c.audience(now)
	question := c.inquiries.TakeQuestion(now, audience)
	message := c.newMessage(peer.ScopeStreamsQuestion)
	message.Question = &question
	c.sendSummary(message, c.addressesOf(append(audience.Heard, audience.Silent...)))
	// While reads fail they are tried again anyway.
	if c.replicas.everRead && !c.storeLost {
		c.requestListRead(now)
	}
}

// severalVersionsByPool returns hasSeveralVersions for many callers at one moment, which looks at each pool once.
func (c *Controller) severalVersionsByPool() func(pool string) bool {
	known := map[string]bool{}
	return func(pool string) bool {
		several, found := known[pool]
		if !found {
			several = c.hasSeveralVersions(pool)
			known[pool] = several
		}
		return several
	}
}

// canAskPeers reports whether a peer is heard that can be asked for streams, or there are no others.
func (c *Controller) canAskPeers(now time.Time) bool {
	audience := c.audience(now)
	return len(audience.Heard) > 0 || audience.Alone
}

// audience returns the peers that may know of streams: all but those that have stopped, or have not been heard for long.
func (c *Controller) audience(now time.Time) resumption.Audience {
	audience := resumption.Audience{Alone: len(c.peers) == 0 && c.vmListRead}
	for name, p := range c.peers {
		switch {
		case !p.silent && !p.lastBeaconAt.IsZero():
			audience.Heard = append(audience.Heard, name)
		case !p.leaving && now.Sub(later(p.lastBeaconAt, p.listedAt)) <= peerExpiry:
			audience.Silent = append(audience.Silent, name)
		}
	}
	return audience
}

// answerStreamsQuestion answers a peer that asks for streams.
func (c *Controller) answerStreamsQuestion(now time.Time, p *peerState, question resumption.Question) {
	message := c.newMessage(peer.ScopeStreamsAnswer)
	message.Answer = &resumption.Answer{ID: question.ID, Streams: c.streams.Find(now, question.Names), Versions: c.streamVersions()}
	c.sendSummary(message, []peerAddress{p.address})
}

// recordStreamsAnswer records the answer of a peer that was asked for streams.
func (c *Controller) recordStreamsAnswer(now time.Time, vm string, answer resumption.Answer) {
	c.streams.RecordFound(now, answer.Streams)
	c.recordPeerVersions(now, answer.Versions)
	c.inquiries.RecordAnswer(answer, vm)
}

// recordPeerVersions records software versions of which a peer knows and that this VM does not list: streams may have begun at them.
func (c *Controller) recordPeerVersions(now time.Time, versions map[string][]string) {
	for pool, names := range versions {
		known := c.streams.Versions(now, pool, c.scheduler.SoftwareVersions(pool))
		for _, version := range names {
			if !slices.Contains(known, version) {
				c.streams.RecordGone(now, resumption.Origin{Pool: pool, Version: version})
			}
		}
	}
}
