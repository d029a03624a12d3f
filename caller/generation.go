package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/control"
	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/engine"
)

const (
	// maxTries limits how often one request is submitted to the dispatcher.
	maxTries = 5
	// resumeDeadline is the first-token target of a response that continues on another engine.
	resumeDeadline = 200 * time.Millisecond
)

// generation runs one completion through prefill and decode, and retries it on other engines after
// engine failures.
type generation struct {
	server     *Server
	request    *request
	completion completionRequest
	writer     *completionWriter
	id         string
	job        *control.Job

	prefillsStarted int
	avoid           []string
	generated       strings.Builder
	tokens          int
	firstTokenAt    time.Time
	lastTokenAt     time.Time
	finished        bool
}

func (s *Server) newGeneration(r *request, completion completionRequest, writer *completionWriter) *generation {
	self := s.control.Self()
	id := fmt.Sprintf("%s/%s/%d", self.VM, self.Incarnation, s.sequence.Add(1))
	return &generation{server: s, request: r, completion: completion, writer: writer, id: id}
}

// usedTokens returns the number of tokens to charge to the account. A request without a started
// prefill is free.
func (g *generation) usedTokens() float64 {
	if g.prefillsStarted == 0 {
		return 0
	}
	return float64(g.completion.promptTokens() + g.tokens)
}

func (g *generation) meanGap() time.Duration {
	if g.tokens < 2 {
		return 0
	}
	return g.lastTokenAt.Sub(g.firstTokenAt) / time.Duration(g.tokens-1)
}

// failure describes a failed try. engine is empty if no engine is at fault, and retryable reports whether
// another try may succeed.
type failure struct {
	engine    string
	retryable bool
	// prefillKept reports that the prefill result can still be decoded on another engine.
	prefillKept bool
	err         error
}

// run generates the whole response. It retries on other engines after retryable failures.
func (g *generation) run() *Error {
	for tries := 0; ; tries++ {
		job, ok := g.server.control.Submit(control.LaneName(g.request.route), g.dispatchRequest())
		if !ok {
			return g.refusalFor(errors.New("the route has no engines"))
		}
		g.job = job
		failed := g.runTry(job)
		if failed == nil {
			return nil
		}
		g.server.log.Info("try-failed", zap.String("Request", g.id), zap.String("Engine", failed.engine), zap.Error(failed.err))
		if g.request.Context().Err() != nil || !failed.retryable || tries+1 >= maxTries {
			return g.refusalFor(failed.err)
		}
		if failed.engine != "" {
			g.avoid = append(g.avoid, failed.engine)
		}
	}
}

// refusalFor returns the error to send to the caller for err. Its run status is NotRun only if no engine
// was called.
func (g *generation) refusalFor(err error) *Error {
	var callerErr *Error
	cause := context.Cause(g.request.Context())
	result := &Error{Op: "generate", Kind: "upstream_failed", Status: http.StatusBadGateway, Run: InDoubt, RetryAfter: time.Second, Err: err}
	switch {
	case errors.As(err, &callerErr):
		result = callerErr
	case errors.Is(cause, control.ErrKeyWithdrawn):
		result = &Error{Op: "generate", Kind: "invalid_key", Status: http.StatusUnauthorized, Run: InDoubt, Err: cause}
	case errors.Is(cause, context.DeadlineExceeded):
		result = &Error{Op: "generate", Kind: "timeout", Status: http.StatusGatewayTimeout, Run: InDoubt, Err: cause}
	}
	if g.prefillsStarted == 0 {
		result.Run = NotRun
	} else if result.Run == NotRun {
		result.Run = InDoubt
	}
	return result
}

// dispatchRequest returns the dispatcher request for the next try. A response that has already begun is
// resumed as an urgent request with a new deadline.
func (g *generation) dispatchRequest() dispatch.Request {
	now := g.server.control.Now()
	route := g.request.route
	request := dispatch.Request{
		ID: fmt.Sprintf("%s-%d", g.id, g.prefillsStarted+1), Account: g.request.account.Name, Weight: g.request.account.Weight,
		PromptTokens: g.completion.promptTokens() + g.tokens, OutputTokens: g.completion.maxTokens - g.tokens, Prefix: prefixHashes(g.completion.prompt),
		ArrivedAt: g.request.arrivedAt, FirstTokenDeadline: g.request.arrivedAt.Add(time.Duration(route.FirstTokenMillis) * time.Millisecond),
		ExpiresAt: g.request.arrivedAt.Add(g.server.cfg.Timing.Queue()), Urgent: route.Urgent, Avoid: g.avoid,
	}
	if g.tokens > 0 {
		request.Urgent = true
		request.FirstTokenDeadline = now.Add(resumeDeadline)
		request.ExpiresAt = now.Add(g.server.cfg.Timing.Queue())
	}
	return request
}

// prefixHashes returns the chained hashes of the full prefix-cache blocks of a prompt.
func prefixHashes(prompt string) []uint64 {
	const blockBytes = dispatch.PrefixBlockTokens * bytesPerToken
	digest := xxhash.New()
	var hashes []uint64
	for len(prompt) >= blockBytes {
		_, _ = digest.WriteString(prompt[:blockBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// runTry runs one try: queue, prefill and decode. After a failure, it cancels the attempts
// that engines may still hold.
func (g *generation) runTry(job *control.Job) *failure {
	result := dispatch.Result{}
	defer func() { job.Finish(result) }()
	prefillTarget, failed := g.awaitDecision(job, dispatch.DecidePrefill)
	if failed != nil {
		return failed
	}
	if refusal := g.server.recheckAdmission(g.request); refusal != nil {
		return &failure{err: refusal}
	}
	g.prefillsStarted++
	attemptPrefix := fmt.Sprintf("%s-%d#", g.id, g.prefillsStarted)
	if failed := g.prefill(prefillTarget, attemptPrefix+"p"); failed != nil {
		result.Failed = failed.engine
		return failed
	}
	job.PrefillCompleted()
	for {
		decodeTarget, failed := g.awaitDecision(job, dispatch.DecideDecode)
		if failed != nil {
			g.countWastedPrefill()
			g.server.canceller.Cancel(prefillTarget.Addr, attemptPrefix+"p")
			return failed
		}
		failed = g.decode(decodeTarget, prefillTarget, attemptPrefix)
		switch {
		case failed == nil:
			result.GapSeconds = g.meanGap().Seconds()
			return nil
		case !failed.prefillKept:
			result.Failed = failed.engine
			return failed
		}
		job.DecodeRejected(failed.engine)
	}
}

// awaitDecision waits until the dispatcher makes a decision of the given kind, refuses the request, or
// the request is canceled.
func (g *generation) awaitDecision(job *control.Job, kind dispatch.DecisionKind) (dispatch.Decision, *failure) {
	for {
		select {
		case <-g.request.Context().Done():
			return dispatch.Decision{}, &failure{err: context.Cause(g.request.Context())}
		case decision := <-job.Decisions():
			if decision.Kind == dispatch.DecideRefuse {
				return decision, &failure{err: newRefusal("queue", http.StatusServiceUnavailable, "overloaded", "no engine came free in time").withRetryAfter(time.Second)}
			}
			if decision.Kind == kind {
				return decision, nil
			}
		}
	}
}

func (g *generation) prefill(target dispatch.Decision, attempt string) *failure {
	_, err := g.server.engines.Prefill(g.request.Context(), target.Addr, engine.PrefillRequest{
		Attempt: attempt, Model: g.completion.model, Prompt: g.completion.prompt, Generated: g.generated.String()})
	if err == nil {
		g.server.metrics.PrefillTokens.Add(float64(g.completion.promptTokens()))
		return nil
	}
	if engineErrorKind(err) != engine.ErrUnsent {
		g.countWastedPrefill()
		g.server.canceller.Cancel(target.Addr, attempt)
	}
	return g.engineFailure(target.Engine, err)
}

func (g *generation) countWastedPrefill() {
	g.server.metrics.WastedPrefillTokens.Add(float64(g.completion.promptTokens()))
}

func engineErrorKind(err error) engine.ErrorKind {
	var engineErr *engine.Error
	if errors.As(err, &engineErr) {
		return engineErr.Kind
	}
	return ""
}

// engineFailure returns a retryable failure of the engine, or the cause of the cancellation if the request
// itself was canceled.
func (g *generation) engineFailure(engineName string, err error) *failure {
	if g.request.Context().Err() != nil {
		return &failure{err: context.Cause(g.request.Context())}
	}
	return &failure{engine: engineName, retryable: true, err: err}
}

// decode transfers the KV cache from source to target and streams the generated tokens to the caller. A
// broken connection is resumed once.
func (g *generation) decode(target, source dispatch.Decision, attemptPrefix string) *failure {
	attempt := attemptPrefix + "d"
	reason, err := g.server.engines.Decode(g.request.Context(), target.Addr, engine.DecodeRequest{
		Attempt: attempt, Model: g.completion.model, Prompt: g.completion.prompt, Generated: g.generated.String(), FirstIndex: g.tokens,
		MaxTokens: g.completion.maxTokens, Source: source.Addr, SourceAttempt: attemptPrefix + "p",
	}, g.emit)
	if engineErrorKind(err) == engine.ErrBroken && g.request.Context().Err() == nil {
		reason, err = g.server.engines.Resume(g.request.Context(), target.Addr, attempt, g.tokens, g.emit)
	}
	if err == nil {
		return g.finishResponse(string(reason))
	}
	if engineErrorKind(err) == engine.ErrUnsent && g.request.Context().Err() == nil {
		return &failure{engine: target.Engine, prefillKept: true, err: err}
	}
	g.server.canceller.Cancel(target.Addr, attempt)
	g.server.canceller.Cancel(source.Addr, attemptPrefix+"p")
	if engineErrorKind(err) == engine.ErrEvicted {
		g.countWastedPrefill()
		return &failure{retryable: true, err: err}
	}
	var callerErr *Error
	if errors.As(err, &callerErr) {
		return &failure{err: err}
	}
	return g.engineFailure(target.Engine, err)
}

// callerGoneError returns the error for a caller to which the response can no longer be written.
func callerGoneError(err error) *Error {
	return &Error{Op: "write answer", Kind: "caller_gone", Status: http.StatusServiceUnavailable, Run: Ran, Err: err}
}

func (g *generation) emit(token engine.Token) error {
	now := g.server.control.Now()
	if g.tokens == 0 {
		g.firstTokenAt = now
	}
	g.lastTokenAt = now
	g.tokens++
	g.generated.WriteString(token.Text)
	if g.tokens > 1 {
		g.job.SetTokenGap(g.meanGap())
	}
	if err := g.writer.writeToken(token.Text); err != nil {
		return callerGoneError(err)
	}
	return nil
}

func (g *generation) finishResponse(reason string) *failure {
	usage := tokenUsage{PromptTokens: g.completion.promptTokens(), CompletionTokens: g.tokens, TotalTokens: g.completion.promptTokens() + g.tokens}
	if err := g.writer.finish(reason, usage); err != nil {
		return &failure{err: callerGoneError(err)}
	}
	g.finished = true
	return nil
}
