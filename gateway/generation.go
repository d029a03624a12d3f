package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/attempt"
	"github.com/cassiabridge/cassiabridge/eventstream"
	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// prefillTimeout is how long a prefill engine may take before another one is tried.
	prefillTimeout = 1500 * time.Millisecond
	// maxPrefillResponseBytes bounds the size of a prefill response.
	maxPrefillResponseBytes = 64 << 10
	// fetchMargin is subtracted from the retention time of a prefill result. Once that has passed, no further decode
	// engine is tried, because the result could expire before it is fetched.
	fetchMargin = 100 * time.Millisecond
	// bytesPerToken and defaultOutputTokens are used to estimate the prompt and output lengths of a request that does
	// not state them.
	bytesPerToken       = 4
	defaultOutputTokens = 1024
	// freeTimeout bounds the request that frees a prefill result.
	freeTimeout = time.Second
)

// generation runs one request through prefill and decode.
type generation struct {
	server *Server
	r      *request
	// events follows the stream events that the caller gets.
	events eventstream.Sequence
	// emptyAnswers is the number of engines that had no event left for a caller which takes a stream up.
	emptyAnswers int
	// prefilled is set once a prefill for this request has succeeded.
	prefilled bool
}

// retryCost returns how many requests to upstreams another try charges to the retry budget. It is 1 for the decode, and
// 1 more for the prefill once a prefill has succeeded: the first successful prefill is not a retry.
func (g *generation) retryCost() int {
	if g.prefilled {
		return 2
	}
	return 1
}

// generate serves a request through a prefill engine and a decode engine, and retries as far as the route's retry
// policy and the retry budget allow.
func (s *Server) generate(ctx context.Context, r *request) *Error {
	g := &generation{server: s, r: r, events: s.newSequence(r)}
	defer func() { s.numberings.Add(r.pool.Name, g.events.Steps()) }()
	r.w.onFirstByte = func() {
		took := s.control.now().Sub(r.arrivedAt)
		s.metrics.FirstEvent.WithLabelValues(r.route.Name).Observe(took.Seconds())
		r.logFields = append(r.logFields, zap.Duration("FirstEvent", took))
	}
	for {
		r.state = r.state.WithTry()
		reqErr, step := g.try(ctx)
		if reqErr == nil || !s.shouldRetry(ctx, r, step, g.retryCost()) {
			return reqErr
		}
	}
}

// promptTokens returns the prompt length in tokens, estimated from the body size if the caller did not state it.
func (r *request) promptTokens() int {
	if r.info.PromptTokens > 0 {
		return r.info.PromptTokens
	}
	return 1 + len(r.body)/bytesPerToken
}

// expectedOutput returns the expected output length in tokens: the caller's hint if it is below the maximum output
// length, and otherwise that maximum.
func (r *request) expectedOutput() int {
	longest := r.info.MaxOutputTokens
	if longest <= 0 {
		longest = defaultOutputTokens
	}
	if hint := r.info.OutputHint; hint > 0 && hint < longest {
		return hint
	}
	return longest
}

// try makes one pass through queueing, prefill and decode. It returns the error that the request ends with unless the
// returned step allows another try.
func (g *generation) try(ctx context.Context) (*Error, attempt.Step) {
	s, r := g.server, g.r
	endTrial, reqErr := s.admitParts(r)
	defer endTrial()
	if reqErr != nil {
		return reqErr, attempt.End
	}
	askedAt := s.control.now()
	decision, id := s.control.place(ctx, placement.Request{
		Pool: r.pool.Name, PromptTokens: r.promptTokens(), OutputTokens: r.expectedOutput(), Priority: r.route.PriorityFor(r.account),
		ArrivedAt: r.arrivedAt, FirstEventDueAt: r.arrivedAt.Add(r.route.LatencyTarget), ExpiresAt: r.deadline, Avoid: r.avoid, Regions: r.regions, Versions: r.versions,
	})
	defer s.control.release(id)
	waited := s.control.now().Sub(askedAt)
	s.metrics.EngineWait.Observe(waited.Seconds())
	if ctx.Err() != nil {
		return s.contextError(ctx, r), attempt.End
	}
	s.log.Info("placed", zap.String("Request", r.info.Attempt), zap.Stringer("Decision", decision.Kind), zap.String("Prefill", decision.Prefill.ID),
		zap.String("Decode", decision.Decode.ID), zap.Int("Prompt", r.promptTokens()), zap.Int("Output", r.expectedOutput()),
		zap.Int("MaxOutput", r.info.MaxOutputTokens), zap.Int("Free", decision.FreeTokens), zap.Int("Waiting", decision.QueueLength), zap.Duration("Waited", waited),
		zap.Duration("Wait", decision.EstimatedWait), zap.Strings("Parts", r.info.SharedParts))
	if decision.Kind != placement.Start {
		return r.placementError(decision), attempt.End
	}
	handle, result := g.prefill(ctx, decision.Prefill)
	s.control.recordPrefill(id, result.err == nil)
	if result.err != nil {
		return s.forwardError(ctx, r, result.err), r.state.NextAfterPrefill(result.outcome)
	}
	return g.decode(ctx, id, decision, handle)
}

// placementError returns the error for a decision that placed the request on no engines.
func (r *request) placementError(decision placement.Decision) *Error {
	var reqErr *Error
	switch decision.Kind {
	case placement.RefuseTooLarge:
		reqErr = errorf("place", ErrNoUpstream, "no engine of pool %q holds %d tokens", r.pool.Name, r.promptTokens())
	case placement.RefuseNoEngine:
		reqErr = errorf("place", ErrNoUpstream, "no engine of pool %q is left", r.pool.Name)
	default:
		reqErr = errorf("place", ErrOverload, "no engine comes free in time")
	}
	return reqErr.withRetryAfter(decision.RetryAfter)
}

// prefill sends the prompt to a prefill engine. On success it returns the handle of the engine's result; otherwise the
// returned exchangeResult holds the error.
func (g *generation) prefill(ctx context.Context, replica placement.Replica) (string, exchangeResult) {
	s, r := g.server, g.r
	prefillCtx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	result := s.exchange(prefillCtx, r, replica, Hop{Replica: replica.ID, Account: r.accountName(), Stage: placement.StagePrefill, LastEventID: g.events.LastID()})
	if result.resp == nil {
		if prefillCtx.Err() != nil && ctx.Err() == nil {
			// Treat an engine that exceeds prefillTimeout as unreachable, unless this VM may not have reached it.
			s.control.recordFailure(replica, !s.control.isPathLost(replica.Address))
		}
		return "", result
	}
	defer result.resp.Close()
	handle, tokens, err := s.readPrefillResponse(result.resp)
	if err != nil {
		s.log.Info("prefill-failed", zap.String("Request", r.info.Attempt), zap.String("Replica", replica.ID), zap.Int("Status", result.resp.Status), zap.Error(err))
		s.control.recordFailure(replica, false)
		r.avoid = append(r.avoid, replica.ID)
		return "", exchangeResult{outcome: attempt.Failed, err: err}
	}
	g.prefilled = true
	s.metrics.PrefillTokens.Add(float64(tokens))
	return handle, result
}

// readPrefillResponse returns the handle of the prefill result and the number of tokens that the engine prefilled. It
// fails if the status is not 200 or the body cannot be parsed.
func (s *Server) readPrefillResponse(resp *exchange.Response) (handle string, tokens int, err error) {
	body, err := resp.ReadAll(maxPrefillResponseBytes)
	if err != nil {
		return "", 0, err
	}
	if resp.Status != http.StatusOK {
		return "", 0, errors.New(http.StatusText(resp.Status))
	}
	return s.protocol.ParsePrefillResponse(body)
}

// decode sends the request to a decode engine, which fetches the KV cache of the prefill by its handle. If the request
// could not be sent or the engine refused it, decode tries another engine while the prefill result is retained; after a
// refusal this is charged to the retry budget. The return values are those of try.
func (g *generation) decode(ctx context.Context, id uint64, decision placement.Decision, handle string) (*Error, attempt.Step) {
	s, r := g.server, g.r
	source, replica := decision.Prefill, decision.Decode
	fetchBy := s.control.now().Add(r.pool.Engine.Retain - fetchMargin)
	for {
		result := g.sendDecode(ctx, replica, source.Address+"/"+handle)
		if result.resp != nil {
			return g.relayResponse(ctx, replica, result)
		}
		step := r.state.Next(result.outcome)
		next, found := placement.Replica{}, false
		if r.state.MayRun() && result.outcome != attempt.InDoubt && ctx.Err() == nil && s.control.now().Before(fetchBy) {
			next, found = s.control.replaceDecode(id, r.avoid)
		}
		if found && result.outcome == attempt.Refused && !s.takeRetryBudget(r, 1) {
			found, step = false, attempt.End
		}
		if !found {
			s.metrics.WastedPrefillTokens.Add(float64(r.promptTokens()))
			s.control.spendRequest(source)
			go s.freeResult(source.Address, handle, r)
			return s.forwardError(ctx, r, result.err), step
		}
		s.log.Info("decode-replaced", zap.String("Request", r.info.Attempt), zap.String("From", replica.ID), zap.String("To", next.ID))
		replica = next
	}
}

// sendDecode sends the request to a decode engine, unless that may get no new work any more since it was chosen.
func (g *generation) sendDecode(ctx context.Context, replica placement.Replica, source string) exchangeResult {
	s, r := g.server, g.r
	waitUntil := s.control.now().Add(coldSendWait)
	confirmed := s.control.confirmDecode(replica.ID)
	for !confirmed && s.control.isCold(replica.ID) && s.control.now().Before(waitUntil) && ctx.Err() == nil {
		time.Sleep(coldSendPoll)
		confirmed = s.control.confirmDecode(replica.ID)
	}
	if !confirmed {
		s.log.Info("decode-not-confirmed", zap.String("Request", r.info.Attempt), zap.String("Replica", replica.ID))
		r.state = r.state.WithSent().WithOutcome(attempt.Unsent)
		return exchangeResult{outcome: attempt.Unsent, err: errors.New("the chosen engine may get no new work")}
	}
	return s.exchange(ctx, r, replica, Hop{Replica: replica.ID, Account: r.accountName(), Source: source, LastEventID: g.events.LastID()})
}

// relayResponse relays the response of a decode engine to the caller. The return values are those of try.
func (g *generation) relayResponse(ctx context.Context, from placement.Replica, result exchangeResult) (*Error, attempt.Step) {
	s, r := g.server, g.r
	failed := result.resp.Status != http.StatusOK
	retry := r.state.Next(result.outcome) == attempt.RetryWithinBudget && s.takeRetryBudget(r, g.retryCost())
	if retry || failed && r.w.started {
		return g.discardResponse(ctx, from, result.resp, retry)
	}
	s.watchAnswer(r)
	if r.route.Repeat != routing.Resumable || failed || isEncoded(result.resp.Header) && !r.w.started {
		reqErr := s.relayResponse(r, from, result.resp)
		switch {
		case reqErr == nil && !failed:
			s.recordLasting(r)
		case isBroken(reqErr) && ctx.Err() == nil:
			go s.recordBroken(r, from, r.answer.lasted)
		}
		return reqErr, attempt.End
	}
	return g.relayStream(ctx, from, result.resp)
}

// discardResponse discards an upstream's response that is not relayed: a failure that is retried, or one that would
// corrupt a stream that the caller is already receiving.
func (g *generation) discardResponse(ctx context.Context, from placement.Replica, resp *exchange.Response, retry bool) (*Error, attempt.Step) {
	s, r := g.server, g.r
	resp.Close()
	r.avoid = append(r.avoid, from.ID)
	s.log.Info("response-discarded", zap.String("Request", r.info.Attempt), zap.String("Replica", from.ID), zap.Int("Status", resp.Status))
	reqErr := s.forwardError(ctx, r, fmt.Errorf("the upstream answered %d", resp.Status))
	if retry {
		return reqErr, attempt.Retry
	}
	return reqErr, attempt.End
}

// freeResult tells a prefill engine to free a result that no decode engine will fetch.
func (s *Server) freeResult(addr, handle string, r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	method, target := s.protocol.FreeResult(handle)
	resp, err := s.upstreams.Do(ctx, addr, exchange.Request{Method: method, Target: target, Host: addr, Header: http.Header{}})
	if err != nil {
		s.log.Info("result-not-freed", zap.String("Request", r.info.Attempt), zap.String("Address", addr), zap.Error(err))
		return
	}
	resp.Close()
}
