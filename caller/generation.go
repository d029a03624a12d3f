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
	// maxTries bounds how often one request is started on engines.
	maxTries = 5
	// resumeDeadline is the first-token target of an answer that is continued on another engine.
	resumeDeadline = 200 * time.Millisecond
)

// generation carries one completion through prefill and decode, and through failures of engines.
type generation struct {
	server *Server
	r      *request
	call   completion
	answer *answerWriter
	id     string
	job    *control.Job

	try          int
	avoid        []string
	generated    strings.Builder
	tokens       int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	finished     bool
}

func (s *Server) newGeneration(r *request, call completion, answer *answerWriter) *generation {
	self := s.control.Self()
	id := fmt.Sprintf("%s/%s/%d", self.VM, self.Incarnation, s.sequence.Add(1))
	return &generation{server: s, r: r, call: call, answer: answer, id: id}
}

// usedTokens returns what the request costs its account.
func (g *generation) usedTokens() float64 {
	if g.try == 0 {
		return 0
	}
	return float64(g.call.promptTokens() + g.tokens)
}

func (g *generation) meanGap() time.Duration {
	if g.tokens < 2 {
		return 0
	}
	return g.lastTokenAt.Sub(g.firstTokenAt) / time.Duration(g.tokens-1)
}

// failure is a failed try: whether another may help, and which engine failed.
type failure struct {
	engine string
	again  bool
	// resultKept says that the prefill result can still be placed elsewhere.
	resultKept bool
	err        error
}

// run generates the whole answer, on other engines if some fail.
func (g *generation) run() *Error {
	for tries := 0; ; tries++ {
		job, ok := g.server.control.Submit(control.LaneName(g.r.route), g.request())
		if !ok {
			return g.refusal(errors.New("the route has no engines"))
		}
		g.job = job
		failed := g.runTry(job)
		if failed == nil {
			return nil
		}
		g.server.log.Info("try-failed", zap.String("Request", g.id), zap.String("Engine", failed.engine), zap.Error(failed.err))
		if g.r.Context().Err() != nil || !failed.again || tries+1 >= maxTries {
			return g.refusal(failed.err)
		}
		if failed.engine != "" {
			g.avoid = append(g.avoid, failed.engine)
		}
	}
}

// refusal says truthfully whether anything has run.
func (g *generation) refusal(err error) *Error {
	var callerErr *Error
	cause := context.Cause(g.r.Context())
	result := &Error{Op: "generate", Kind: "upstream_failed", Status: http.StatusBadGateway, Run: InDoubt, RetryAfter: time.Second, Err: err}
	switch {
	case errors.As(err, &callerErr):
		result = callerErr
	case errors.Is(cause, control.ErrKeyWithdrawn):
		result = &Error{Op: "generate", Kind: "invalid_key", Status: http.StatusUnauthorized, Run: InDoubt, Err: cause}
	case errors.Is(cause, context.DeadlineExceeded):
		result = &Error{Op: "generate", Kind: "timeout", Status: http.StatusGatewayTimeout, Run: InDoubt, Err: cause}
	}
	if g.try == 0 {
		result.Run = NotRun
	} else if result.Run == NotRun {
		result.Run = InDoubt
	}
	return result
}

// request describes the next try to the dispatcher.
func (g *generation) request() dispatch.Request {
	now := g.server.control.Now()
	route := g.r.route
	request := dispatch.Request{
		ID: fmt.Sprintf("%s-%d", g.id, g.try+1), Account: g.r.account.Name, Weight: g.r.account.Weight,
		PromptTokens: g.call.promptTokens() + g.tokens, OutputTokens: g.call.maxTokens - g.tokens, Prefix: prefixHashes(g.call.prompt),
		ArrivedAt: g.r.arrivedAt, FirstTokenBy: g.r.arrivedAt.Add(time.Duration(route.FirstTokenMillis) * time.Millisecond),
		GiveUpAt: g.r.arrivedAt.Add(g.server.cfg.Timing.Queue()), Urgent: route.Urgent, Avoid: g.avoid,
	}
	if g.tokens > 0 {
		request.Urgent = true
		request.FirstTokenBy = now.Add(resumeDeadline)
		request.GiveUpAt = now.Add(g.server.cfg.Timing.Queue())
	}
	return request
}

// prefixHashes returns the chained hashes of the pieces in which engines cache a prompt.
func prefixHashes(prompt string) []uint64 {
	const pieceBytes = dispatch.PieceTokens * bytesPerToken
	digest := xxhash.New()
	var hashes []uint64
	for len(prompt) >= pieceBytes {
		_, _ = digest.WriteString(prompt[:pieceBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[pieceBytes:]
	}
	return hashes
}

// runTry takes one try through the queue, prefill and decode. Whatever the engines hold for it is
// released in the end.
func (g *generation) runTry(job *control.Job) *failure {
	result := dispatch.Result{}
	defer func() { job.Finish(result) }()
	granted, failed := g.await(job, dispatch.DecidePrefill)
	if failed != nil {
		return failed
	}
	if refusal := g.server.stillAllowed(g.r); refusal != nil {
		return &failure{err: refusal}
	}
	g.try++
	name := fmt.Sprintf("%s-%d#", g.id, g.try)
	if failed := g.prefill(granted, name+"p"); failed != nil {
		result.Failed = failed.engine
		return failed
	}
	job.Prefilled()
	for {
		place, failed := g.await(job, dispatch.DecideDecode)
		if failed != nil {
			g.wastePrefill()
			g.server.cancels.Cancel(granted.Addr, name+"p")
			return failed
		}
		failed = g.decode(place, granted, name)
		switch {
		case failed == nil:
			result.GapSeconds = g.meanGap().Seconds()
			return nil
		case !failed.resultKept:
			result.Failed = failed.engine
			return failed
		}
		job.Misplaced(failed.engine)
	}
}

// await waits for a decision of the dispatcher.
func (g *generation) await(job *control.Job, kind dispatch.DecisionKind) (dispatch.Decision, *failure) {
	for {
		select {
		case <-g.r.Context().Done():
			return dispatch.Decision{}, &failure{err: context.Cause(g.r.Context())}
		case decision := <-job.Decisions():
			if decision.Kind == dispatch.DecideRefuse {
				return decision, &failure{err: refuse("queue", http.StatusServiceUnavailable, "overloaded", "no engine came free in time").withRetryAfter(time.Second)}
			}
			if decision.Kind == kind {
				return decision, nil
			}
		}
	}
}

func (g *generation) prefill(at dispatch.Decision, attempt string) *failure {
	_, err := g.server.engines.Prefill(g.r.Context(), at.Addr, engine.PrefillRequest{
		Attempt: attempt, Model: g.call.model, Prompt: g.call.prompt, Generated: g.generated.String()})
	if err == nil {
		g.server.metrics.PrefillTokens.Add(float64(g.call.promptTokens()))
		return nil
	}
	if kindOfEngine(err) != engine.ErrUnsent {
		g.wastePrefill()
		g.server.cancels.Cancel(at.Addr, attempt)
	}
	return g.engineFailure(at.Engine, err)
}

func (g *generation) wastePrefill() {
	g.server.metrics.WastedPrefillTokens.Add(float64(g.call.promptTokens()))
}

func kindOfEngine(err error) engine.ErrorKind {
	var engineErr *engine.Error
	if errors.As(err, &engineErr) {
		return engineErr.Kind
	}
	return ""
}

// engineFailure blames the engine, unless the request itself was ended.
func (g *generation) engineFailure(name string, err error) *failure {
	if g.r.Context().Err() != nil {
		return &failure{err: context.Cause(g.r.Context())}
	}
	return &failure{engine: name, again: true, err: err}
}

// decode moves the KV cache to the engine with the place and passes its tokens on.
func (g *generation) decode(place, source dispatch.Decision, name string) *failure {
	attempt := name + "d"
	reason, err := g.server.engines.Decode(g.r.Context(), place.Addr, engine.DecodeRequest{
		Attempt: attempt, Model: g.call.model, Prompt: g.call.prompt, Generated: g.generated.String(), FirstIndex: g.tokens,
		MaxTokens: g.call.maxTokens, Source: source.Addr, SourceAttempt: name + "p",
	}, g.emit)
	if kindOfEngine(err) == engine.ErrBroken && g.r.Context().Err() == nil {
		reason, err = g.server.engines.Resume(g.r.Context(), place.Addr, attempt, g.tokens, g.emit)
	}
	if err == nil {
		return g.end(string(reason))
	}
	if kindOfEngine(err) == engine.ErrUnsent && g.r.Context().Err() == nil {
		return &failure{engine: place.Engine, resultKept: true, err: err}
	}
	g.server.cancels.Cancel(place.Addr, attempt)
	g.server.cancels.Cancel(source.Addr, name+"p")
	if kindOfEngine(err) == engine.ErrEvicted {
		g.wastePrefill()
		return &failure{again: true, err: err}
	}
	var callerErr *Error
	if errors.As(err, &callerErr) {
		return &failure{err: err}
	}
	return g.engineFailure(place.Engine, err)
}

// callerGone says that the caller no longer takes tokens.
func callerGone(err error) *Error {
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
		g.job.SetGap(g.meanGap())
	}
	if err := g.answer.token(token.Text); err != nil {
		return callerGone(err)
	}
	return nil
}

func (g *generation) end(reason string) *failure {
	usage := answerUsage{PromptTokens: g.call.promptTokens(), CompletionTokens: g.tokens, TotalTokens: g.call.promptTokens() + g.tokens}
	if err := g.answer.finish(reason, usage); err != nil {
		return &failure{err: callerGone(err)}
	}
	g.finished = true
	return nil
}
