package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// prefillTimeout is how long an engine may take to read a prompt before another one is tried.
	prefillTimeout = 1500 * time.Millisecond
	// maxPrefillAnswer bounds the answer of a prefill, in bytes.
	maxPrefillAnswer = 64 << 10
	// fetchMargin is how long before a result lapses it is no longer offered to a further decode engine.
	fetchMargin = 100 * time.Millisecond
	// bytesPerToken and unknownOutput, in tokens, are assumed of a request that does not state its lengths.
	bytesPerToken = 4
	unknownOutput = 1024
	// freeTimeout bounds the call that frees a result.
	freeTimeout = time.Second
)

// generation carries one request through prefill and decode.
type generation struct {
	server *Server
	r      *request
	// lastEvent is the ID of the last event that the caller has.
	lastEvent string
	// placements is how often engines were chosen.
	placements int
}

// generate serves a request by a prefill and a decode engine.
func (s *Server) generate(ctx context.Context, r *request) *Error {
	g := &generation{server: s, r: r, lastEvent: r.call.LastEvent}
	r.w.onFirst = func() {
		took := s.control.now().Sub(r.arrived)
		s.metrics.FirstEvent.WithLabelValues(r.route.Name).Observe(took.Seconds())
		r.notes = append(r.notes, zap.Duration("FirstEvent", took))
	}
	for {
		g.placements++
		failed, refusal := g.try(ctx)
		switch {
		case refusal != nil:
			return refusal
		case failed == nil:
			return nil
		case ctx.Err() != nil:
			return s.ended(ctx, r)
		}
		if refusal := g.afterFailure(failed); refusal != nil {
			return refusal
		}
	}
}

// afterFailure returns the refusal with which the request ends after a failed try, or nil if it is to be tried again.
func (g *generation) afterFailure(failed *attemptFailure) *Error {
	r := g.r
	switch {
	case failed.mayHaveRun && (r.route.Repeat == routing.AtMostOnce || r.attempts >= r.route.MaxAttempts):
		return &Error{Op: "generate", Kind: ErrUpstream, Err: failed.err}
	case g.placements < maxTries && !failed.final && (!failed.arrived || g.server.mayRepeat(r)):
		return nil
	case failed.mayHaveRun:
		return &Error{Op: "generate", Kind: ErrUpstream, Err: failed.err}
	}
	return (&Error{Op: "generate", Kind: ErrOverload, Err: failed.err}).withRetryAfter(noUpstreamRetry)
}

// promptTokens is the length of the prompt in tokens, or a guess by its bytes if the caller did not say.
func (r *request) promptTokens() int {
	if r.call.PromptTokens > 0 {
		return r.call.PromptTokens
	}
	return 1 + len(r.body)/bytesPerToken
}

// expectedOutput is the expected length of the answer in tokens.
func (r *request) expectedOutput() int {
	longest := r.call.MaxOutputTokens
	if longest <= 0 {
		longest = unknownOutput
	}
	if hint := r.call.OutputHint; hint > 0 && hint < longest {
		return hint
	}
	return longest
}

// try takes the request once through the queue, prefill and decode.
func (g *generation) try(ctx context.Context) (*attemptFailure, *Error) {
	s, r := g.server, g.r
	askedAt := s.control.now()
	decision, id := s.control.place(ctx, placement.Request{
		Pool: r.pool.Name, PromptTokens: r.promptTokens(), OutputTokens: r.expectedOutput(), Priority: r.route.PriorityFor(r.account),
		ArrivedAt: r.arrived, TargetAt: r.arrived.Add(r.route.LatencyTarget), GiveUpAt: r.until, Avoid: r.avoid,
	})
	defer s.control.release(id)
	waited := s.control.now().Sub(askedAt)
	s.metrics.Waited.Observe(waited.Seconds())
	if ctx.Err() != nil {
		return nil, s.ended(ctx, r)
	}
	s.log.Info("placed", zap.String("Request", r.call.Attempt), zap.Stringer("Decision", decision.Kind), zap.String("Prefill", decision.Prefill.ID),
		zap.String("Decode", decision.Decode.ID), zap.Int("Prompt", r.promptTokens()), zap.Int("Output", r.expectedOutput()),
		zap.Int("MaxOutput", r.call.MaxOutputTokens), zap.Int("Free", decision.Free), zap.Int("Waiting", decision.Waiting), zap.Duration("Waited", waited),
		zap.Duration("Wait", decision.Wait))
	switch decision.Kind {
	case placement.RefuseOverload:
		return nil, refuse("place", ErrOverload, "no engine comes free in time").withRetryAfter(decision.RetryAfter)
	case placement.RefuseNoEngine:
		return nil, refuse("place", ErrNoUpstream, "no engine of pool %q is left", r.pool.Name).withRetryAfter(decision.RetryAfter)
	case placement.RefuseTooLarge:
		return nil, refuse("place", ErrNoUpstream, "no engine of pool %q holds %d tokens", r.pool.Name, r.promptTokens()).withRetryAfter(decision.RetryAfter)
	}
	handle, failed := g.prefill(ctx, decision.Prefill)
	s.control.prefilled(id, failed == nil)
	if failed != nil {
		return failed, nil
	}
	return g.decode(ctx, id, decision, handle)
}

// prefill has the prompt read, and returns the handle of the result.
func (g *generation) prefill(ctx context.Context, at placement.Replica) (string, *attemptFailure) {
	s, r := g.server, g.r
	prefillCtx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	resp, failed := s.exchange(prefillCtx, r, at, Hop{Replica: at.ID, Account: r.accountName(), Stage: placement.StagePrefill, LastEvent: g.lastEvent})
	if failed != nil {
		if prefillCtx.Err() != nil && ctx.Err() == nil {
			// An engine that is silent for so long is as good as unreachable.
			s.control.failed(at, true)
		}
		// Reading a prompt is no run.
		failed.mayHaveRun = false
		return "", failed
	}
	defer resp.Close()
	body, err := resp.ReadAll(maxPrefillAnswer)
	if err == nil && resp.Status != http.StatusOK {
		err = errors.New(http.StatusText(resp.Status))
	}
	handle, tokens := "", 0
	if err == nil {
		handle, tokens, err = s.protocol.ReadPrefill(body)
	}
	if err != nil {
		s.log.Info("prefill-failed", zap.String("Request", r.call.Attempt), zap.String("Replica", at.ID), zap.Int("Status", resp.Status), zap.Error(err))
		s.control.failed(at, false)
		r.avoid = append(r.avoid, at.ID)
		return "", &attemptFailure{arrived: true, err: err}
	}
	s.metrics.PrefillTokens.Add(float64(tokens))
	return handle, nil
}

// decode has the answer generated from the result of the prefill, at another engine if the first has no room.
func (g *generation) decode(ctx context.Context, id uint64, decision placement.Decision, handle string) (*attemptFailure, *Error) {
	s, r := g.server, g.r
	source, at := decision.Prefill, decision.Decode
	fetchBy := s.control.now().Add(r.pool.Engine.Retain - fetchMargin)
	for {
		resp, failed := s.exchange(ctx, r, at, Hop{Replica: at.ID, Account: r.accountName(), Source: source.Address + "/" + handle, LastEvent: g.lastEvent})
		if failed == nil {
			return g.passOn(r, at, resp)
		}
		next, found := placement.Replica{}, false
		if !failed.mayHaveRun && ctx.Err() == nil && s.control.now().Before(fetchBy) {
			failed.final = failed.arrived && !s.mayRepeat(r)
			if !failed.final {
				next, found = s.control.replaceDecode(id)
			}
		}
		if !found {
			s.metrics.WastedPrefillTokens.Add(float64(r.promptTokens()))
			go s.freeResult(source.Address, handle, r)
			return failed, nil
		}
		s.log.Info("decode-replaced", zap.String("Request", r.call.Attempt), zap.String("From", at.ID), zap.String("To", next.ID))
		at = next
	}
}

// passOn passes a stream on to the caller, by whole events if it may be resumed.
func (g *generation) passOn(r *request, from placement.Replica, resp *exchange.Response) (*attemptFailure, *Error) {
	s := g.server
	resumable := r.route.Repeat == routing.Resumable && resp.Status == http.StatusOK
	if !resumable {
		return nil, s.passOn(r, from, resp)
	}
	defer resp.Close()
	r.notes = append(r.notes, zap.String("Replica", from.ID))
	if !r.w.started {
		r.w.start(resp.Status, s.protocol.AnswerHeaders(resp.Header), -1)
	}
	last, err := r.w.copyEvents(resp, g.lastEvent)
	g.lastEvent = last
	var own *Error
	switch {
	case err == nil:
		return nil, nil
	case errors.As(err, &own):
		return nil, own
	}
	s.log.Info("stream-broken", zap.String("Request", r.call.Attempt), zap.String("Replica", from.ID), zap.String("LastEvent", last), zap.Error(err))
	s.control.failed(from, false)
	r.avoid = append(r.avoid, from.ID)
	return &attemptFailure{arrived: true, mayHaveRun: true, err: err}, nil
}

// freeResult frees the memory of a result that nobody will fetch.
func (s *Server) freeResult(addr, handle string, r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	method, target := s.protocol.FreeResult(handle)
	resp, err := s.upstreams.Do(ctx, addr, exchange.Request{Method: method, Target: target, Host: addr, Header: http.Header{}})
	if err != nil {
		s.log.Info("result-not-freed", zap.String("Request", r.call.Attempt), zap.String("Address", addr), zap.Error(err))
		return
	}
	resp.Close()
}
