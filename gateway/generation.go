package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/attempt"
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
	// prefilled says that an engine has read the prompt once.
	prefilled bool
}

// arrivals is how many arrivals a further try counts against the retry budget: the first prefill that an engine accepts
// is free.
func (g *generation) arrivals() int {
	if g.prefilled {
		return 2
	}
	return 1
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
		r.state = r.state.WithOffer()
		refusal, step := g.try(ctx)
		if refusal == nil || !s.goesOn(ctx, r, step, g.arrivals()) {
			return refusal
		}
	}
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

// try takes the request once through the queue, prefill and decode. It returns the error with which the request ends
// unless the step allows another try.
func (g *generation) try(ctx context.Context) (*Error, attempt.Step) {
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
		return s.ended(ctx, r), attempt.End
	}
	s.log.Info("placed", zap.String("Request", r.call.Attempt), zap.Stringer("Decision", decision.Kind), zap.String("Prefill", decision.Prefill.ID),
		zap.String("Decode", decision.Decode.ID), zap.Int("Prompt", r.promptTokens()), zap.Int("Output", r.expectedOutput()),
		zap.Int("MaxOutput", r.call.MaxOutputTokens), zap.Int("Free", decision.Free), zap.Int("Waiting", decision.Waiting), zap.Duration("Waited", waited),
		zap.Duration("Wait", decision.Wait))
	if decision.Kind != placement.Start {
		return r.notPlaced(decision), attempt.End
	}
	handle, x := g.prefill(ctx, decision.Prefill)
	s.control.prefilled(id, x.err == nil)
	if x.err != nil {
		return s.failure(ctx, r, x.err), r.state.NextAfterPrefill(x.outcome)
	}
	return g.decode(ctx, id, decision, handle)
}

// notPlaced says why no engines were chosen for a request.
func (r *request) notPlaced(decision placement.Decision) *Error {
	var refusal *Error
	switch decision.Kind {
	case placement.RefuseTooLarge:
		refusal = refuse("place", ErrNoUpstream, "no engine of pool %q holds %d tokens", r.pool.Name, r.promptTokens())
	case placement.RefuseNoEngine:
		refusal = refuse("place", ErrNoUpstream, "no engine of pool %q is left", r.pool.Name)
	default:
		refusal = refuse("place", ErrOverload, "no engine comes free in time")
	}
	return refusal.withRetryAfter(decision.RetryAfter)
}

// prefill has the prompt read, and returns the handle of the result.
func (g *generation) prefill(ctx context.Context, at placement.Replica) (string, exchanged) {
	s, r := g.server, g.r
	prefillCtx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	x := s.exchange(prefillCtx, r, at, Hop{Replica: at.ID, Account: r.accountName(), Stage: placement.StagePrefill, LastEvent: g.lastEvent})
	if x.resp == nil {
		if prefillCtx.Err() != nil && ctx.Err() == nil {
			// An engine that is silent for so long is as good as unreachable.
			s.control.failed(at, true)
		}
		return "", x
	}
	defer x.resp.Close()
	handle, tokens, err := s.readPrefill(x.resp)
	if err != nil {
		s.log.Info("prefill-failed", zap.String("Request", r.call.Attempt), zap.String("Replica", at.ID), zap.Int("Status", x.resp.Status), zap.Error(err))
		s.control.failed(at, false)
		r.avoid = append(r.avoid, at.ID)
		return "", exchanged{outcome: attempt.Failed, err: err}
	}
	g.prefilled = true
	s.metrics.PrefillTokens.Add(float64(tokens))
	return handle, x
}

// readPrefill reads the answer of a prefill: the handle of its result, and the tokens that were read.
func (s *Server) readPrefill(resp *exchange.Response) (handle string, tokens int, err error) {
	body, err := resp.ReadAll(maxPrefillAnswer)
	if err != nil {
		return "", 0, err
	}
	if resp.Status != http.StatusOK {
		return "", 0, errors.New(http.StatusText(resp.Status))
	}
	return s.protocol.ReadPrefill(body)
}

// decode has the answer generated from the result of the prefill, at another engine if the first has no room. It
// returns what try returns.
func (g *generation) decode(ctx context.Context, id uint64, decision placement.Decision, handle string) (*Error, attempt.Step) {
	s, r := g.server, g.r
	source, at := decision.Prefill, decision.Decode
	fetchBy := s.control.now().Add(r.pool.Engine.Retain - fetchMargin)
	for {
		x := s.exchange(ctx, r, at, Hop{Replica: at.ID, Account: r.accountName(), Source: source.Address + "/" + handle, LastEvent: g.lastEvent})
		if x.resp != nil {
			return g.passOn(ctx, at, x)
		}
		step := r.state.Next(x.outcome)
		next, found := placement.Replica{}, false
		if r.state.MayRun() && x.outcome != attempt.InDoubt && ctx.Err() == nil && s.control.now().Before(fetchBy) {
			next, found = s.control.replaceDecode(id)
		}
		if found && x.outcome == attempt.Refused && !s.mayRepeat(r, 1) {
			found, step = false, attempt.End
		}
		if !found {
			s.metrics.WastedPrefillTokens.Add(float64(r.promptTokens()))
			go s.freeResult(source.Address, handle, r)
			return s.failure(ctx, r, x.err), step
		}
		s.log.Info("decode-replaced", zap.String("Request", r.call.Attempt), zap.String("From", at.ID), zap.String("To", next.ID))
		at = next
	}
}

// passOn passes the answer of a decode engine on to the caller, a stream that may be resumed by whole events.
func (g *generation) passOn(ctx context.Context, from placement.Replica, x exchanged) (*Error, attempt.Step) {
	s, r := g.server, g.r
	failed := x.resp.Status != http.StatusOK
	again := r.state.Next(x.outcome) == attempt.AgainWithinBudget && s.mayRepeat(r, g.arrivals())
	if again || failed && r.w.started {
		return g.passOver(ctx, from, x.resp, again)
	}
	if r.route.Repeat != routing.Resumable || failed {
		return s.passOn(r, from, x.resp), attempt.End
	}
	defer x.resp.Close()
	r.notes = append(r.notes, zap.String("Replica", from.ID))
	if !r.w.started {
		r.w.start(x.resp.Status, s.protocol.AnswerHeaders(x.resp.Header), -1)
	}
	last, err := r.w.copyEvents(x.resp, g.lastEvent)
	g.lastEvent = last
	var own *Error
	switch {
	case err == nil:
		return nil, attempt.PassOn
	case errors.As(err, &own):
		return own, attempt.End
	}
	s.log.Info("stream-broken", zap.String("Request", r.call.Attempt), zap.String("Replica", from.ID), zap.String("LastEvent", last), zap.Error(err))
	s.control.failed(from, false)
	r.avoid = append(r.avoid, from.ID)
	return s.failure(ctx, r, err), r.state.Next(attempt.Broken)
}

// passOver drops an upstream's failure, which must not end up in a stream that has begun.
func (g *generation) passOver(ctx context.Context, from placement.Replica, resp *exchange.Response, again bool) (*Error, attempt.Step) {
	s, r := g.server, g.r
	resp.Close()
	r.avoid = append(r.avoid, from.ID)
	s.log.Info("answer-passed-over", zap.String("Request", r.call.Attempt), zap.String("Replica", from.ID), zap.Int("Status", resp.Status))
	refusal := s.failure(ctx, r, fmt.Errorf("the upstream answered %d", resp.Status))
	if again {
		return refusal, attempt.Again
	}
	return refusal, attempt.End
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
