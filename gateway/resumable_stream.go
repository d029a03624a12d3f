package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/attempt"
	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
)

// agreeingEngines is the number of engines that must say that nothing is left of a stream which a caller takes up.
const agreeingEngines = 2

// relayStream relays the stream of a decode engine in complete events, so that another engine can go on with a stream that breaks. The
// return values are those of try.
func (g *generation) relayStream(ctx context.Context, from placement.Replica, resp *exchange.Response) (*Error, attempt.Step) {
	s, r := g.server, g.r
	defer resp.Close()
	r.logFields = append(r.logFields, zap.String("Replica", from.ID), zap.Stringer("Framing", resp.Framing))
	if !r.w.started {
		r.w.prepare(resp.Status, s.protocol.ResponseHeaders(resp.Header), resp.Framing, -1)
		s.recordOrigin(r, from)
	}
	last := g.events.LastID()
	g.events.BeginAnswer()
	err := r.w.copyEvents(resp, &g.events)
	if errors.Is(err, errNoResumption) && g.isWhole() {
		err = nil
	}
	if last != "" && !g.events.Joining() {
		s.log.Info("stream-joined", zap.String("Request", r.info.Attempt), zap.String("Replica", from.ID), zap.String("SoftwareVersion", from.SoftwareVersion),
			zap.String("LastEvent", last), zap.String("FirstEvent", g.events.FirstID()))
	}
	if r.w.started {
		r.versions = placement.VersionLimit{Limited: true, Version: from.SoftwareVersion}
	}
	var own *Error
	switch {
	case err == nil:
		s.recordLasting(r)
		return nil, attempt.ForwardAnswer
	case errors.As(err, &own):
		return own, attempt.End
	}
	return g.endBrokenStream(ctx, from, resp, err)
}

// isWhole records that an engine has no event left for a caller that takes a stream up, and reports whether the caller has the whole stream. One
// engine may have truncated its answer, so it takes two.
func (g *generation) isWhole() bool {
	g.emptyAnswers++
	return !g.r.w.started && g.emptyAnswers >= agreeingEngines
}

// endBrokenStream handles a stream that broke off, or that does not go on where it should. The return values are those of try.
func (g *generation) endBrokenStream(ctx context.Context, from placement.Replica, resp *exchange.Response, err error) (*Error, attempt.Step) {
	s, r := g.server, g.r
	s.log.Info("stream-broken", zap.String("Request", r.info.Attempt), zap.String("Replica", from.ID), zap.String("LastEvent", g.events.LastID()), zap.Stringer("Framing", resp.Framing),
		zap.Bool("CanResume", g.events.CanResume()), zap.Error(err))
	r.avoid = append(r.avoid, from.ID)
	misplaced := s.logMisplaced(r, from, err)
	switch {
	case errors.Is(err, errEndUnknown), misplaced && !g.events.Followed():
		// No other engine would tell more than this one, or the caller has named an event after which no engine goes on.
		return s.forwardError(ctx, r, err), attempt.End
	case errors.Is(err, errNoResumption) && !r.w.started:
		// The engine may be right, and is not to blame then.
	case !misplaced:
		s.control.recordFailure(from, false)
		if ctx.Err() == nil {
			s.endBrokenRun(r, from, r.answer.lasted)
		}
	}
	doubted := s.control.isVersionDoubted(from.ID, r.answer.startedAt)
	if doubted && ctx.Err() == nil {
		time.Sleep(peerNoticeDelay)
	}
	if !g.events.CanResume() || doubted {
		return s.forwardError(ctx, r, err), attempt.End
	}
	return s.forwardError(ctx, r, err), r.state.Next(attempt.Broken)
}
