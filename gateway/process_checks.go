package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
)

const (
	// processCheckTimeout bounds one check of a replica's process.
	processCheckTimeout = 300 * time.Millisecond
	// dialCheckTimeout bounds the check of a replica that tells nothing of its process.
	dialCheckTimeout = 100 * time.Millisecond
	// maxReportBytes bounds what a replica says of itself.
	maxReportBytes = 64 << 10
	// processCheckPause is the time between two tries of one check. A replica that has enough connections resets further ones.
	processCheckPause = 50 * time.Millisecond
)

// processState is what is found of the process of a replica.
type processState string

// States of the process that was known at a replica's ID and address.
const (
	// processLives means that it has said that it is the same one.
	processLives processState = "Lives"
	// processUnnamed means that the replica has answered and does not say since when it runs, or that this is not known from the list.
	processUnnamed processState = "Unnamed"
	// processRestarted means that another process answers under the same ID.
	processRestarted processState = "Restarted"
	// processReplaced means that another replica answers at the address.
	processReplaced processState = "Replaced"
	// processRefuses means that no process listens at the address.
	processRefuses processState = "Refuses"
	// processSilent means that no whole answer of a replica came in time, which tells nothing: a process that lives may be silent for a second.
	processSilent processState = "Silent"
)

// confirmsEnd reports whether an answer that ended before the check is whole. That of a process which does not name itself may be that of one
// that has started since under the same ID; there is no better evidence.
func (s processState) confirmsEnd() bool { return s == processLives || s == processUnnamed }

// ended reports whether the process that was known has certainly ended.
func (s processState) ended() bool {
	return s == processRestarted || s == processReplaced || s == processRefuses
}

// processAnswer is what one check has found at the address of a replica.
type processAnswer struct {
	// status is that of the answer, or 0 if there was none.
	status int
	// notRun is whether the answer says so, as only a replica does.
	notRun, misdirected bool
	born                int64
	err                 error
}

// stateOf returns the state of the process of a replica that the list said to be born at a time, in Unix milliseconds, or 0.
func (a processAnswer) stateOf(born int64) processState {
	switch {
	case errors.Is(a.err, syscall.ECONNREFUSED):
		return processRefuses
	case a.misdirected:
		return processReplaced
	case a.err != nil, a.status >= http.StatusInternalServerError && !a.notRun:
		return processSilent
	case a.born == 0 && !a.notRun && (a.status != http.StatusOK || born != 0):
		// This may be the answer of a proxy.
		return processSilent
	case a.born == 0 || born == 0:
		return processUnnamed
	case a.born != born:
		return processRestarted
	}
	return processLives
}

// pendingCheck is a check that has not begun yet, or is under way.
type pendingCheck struct {
	done   chan struct{}
	answer processAnswer
}

// processChecks runs at most one check of each replica at a time. Those who ask meanwhile share the next one: a check that began before an
// answer ended tells nothing of that. The zero value is ready for use.
type processChecks struct {
	mu sync.Mutex
	// next holds the check that is to begin after the one under way, or nil if nobody has asked, by address and ID.
	next map[string]*pendingCheck
}

// join returns a check that has not begun yet. start is whether the caller must call run.
func (p *processChecks) join(key string) (check *pendingCheck, start bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = map[string]*pendingCheck{}
	}
	next, running := p.next[key]
	if next == nil {
		next = &pendingCheck{done: make(chan struct{})}
		p.next[key] = next
	}
	return next, !running
}

// take returns the next check, or nil if nobody has asked for one.
func (p *processChecks) take(key string) *pendingCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	check := p.next[key]
	if check == nil {
		delete(p.next, key)
		return nil
	}
	p.next[key] = nil
	return check
}

// run runs checks until nobody asks for one.
func (p *processChecks) run(key string, ask func() processAnswer) {
	for check := p.take(key); check != nil; check = p.take(key) {
		check.answer = ask()
		close(check.done)
	}
}

// checkProcess asks a replica for its process, with a request that begins after this call.
func (s *Server) checkProcess(ctx context.Context, replica placement.Replica) processAnswer {
	key := replica.Address + " " + replica.ID
	check, start := s.processChecks.join(key)
	if start {
		go s.processChecks.run(key, func() processAnswer { return s.askForProcess(replica) })
	}
	select {
	case <-check.done:
		return check.answer
	case <-ctx.Done():
		return processAnswer{err: context.Cause(ctx)}
	}
}

// awaitProcess asks a replica for its process until it is not silent any more, or ctx is done.
func (s *Server) awaitProcess(ctx context.Context, replica placement.Replica) processAnswer {
	for {
		answer := s.checkProcess(ctx, replica)
		if ctx.Err() != nil || answer.stateOf(replica.Born) != processSilent {
			return answer
		}
		select {
		case <-ctx.Done():
		case <-time.After(processCheckPause):
		}
	}
}

// askForProcess asks a replica for its process until there is an answer, connections are refused or processCheckTimeout has passed.
func (s *Server) askForProcess(replica placement.Replica) processAnswer {
	if s.protocol.ProcessRequest == nil {
		return s.dialForProcess(replica)
	}
	ctx, cancel := context.WithTimeout(context.Background(), processCheckTimeout)
	defer cancel()
	for {
		answer := s.tryToAskForProcess(ctx, replica)
		if answer.err == nil || errors.Is(answer.err, syscall.ECONNREFUSED) {
			return answer
		}
		select {
		case <-ctx.Done():
			return answer
		case <-time.After(processCheckPause):
		}
	}
}

// tryToAskForProcess asks a replica for its process once. The connection may be a kept one: an answer on it tells that the process which
// accepted it lives.
func (s *Server) tryToAskForProcess(ctx context.Context, replica placement.Replica) processAnswer {
	method, target, header := s.protocol.ProcessRequest(replica.ID)
	resp, err := s.upstreams.Do(ctx, replica.Address, exchange.Request{Method: method, Target: target, Host: replica.Address, Header: header,
		ConfirmEnd: func(context.Context) error { return nil },
		// A kept connection may bring a late copy of the answer to a request before.
		AcceptResponse: func(h http.Header) bool { return s.protocol.ReadResponseInfo(http.StatusOK, h).Attempt == "" }})
	if err != nil {
		return processAnswer{err: err}
	}
	defer resp.Close()
	info := s.protocol.ReadResponseInfo(resp.Status, resp.Header)
	answer := processAnswer{status: resp.Status, notRun: info.NotRun, misdirected: info.Misdirected}
	body, err := resp.ReadAll(maxReportBytes)
	if err != nil {
		answer.err = err
		return answer
	}
	answer.born = s.protocol.ParseProcess(body)
	return answer
}

// dialForProcess opens a connection to a replica that tells nothing of its process. Only a refusal tells that it has ended.
func (s *Server) dialForProcess(replica placement.Replica) processAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), dialCheckTimeout)
	defer cancel()
	if s.upstreams.Refuses(ctx, replica.Address) {
		return processAnswer{err: syscall.ECONNREFUSED}
	}
	return processAnswer{status: http.StatusOK}
}

// endConfirmation returns the function that confirms the end of an answer without framing, or nil if replicas do not tell of their
// processes. The kernel ends the connections of a killed process in an orderly way, and where connections are accepted after that, by its
// successor or by a proxy, the address tells nothing. A replica that is silent is asked for as long as the caller can wait.
func (s *Server) endConfirmation(r *request, from placement.Replica) func(context.Context) error {
	if s.protocol.ProcessRequest == nil {
		return nil
	}
	return func(ctx context.Context) error {
		beganAt := s.control.now()
		answer := s.awaitProcess(ctx, from)
		state := answer.stateOf(from.Born)
		if state == processUnnamed && s.control.namesProcesses(from) && s.control.stoodStillSince(r.answer.startedAt) {
			// The process that answered may have started after the end that is read only now.
			state = s.control.awaitEntry(ctx, from)
		}
		s.metrics.ConfirmedEnds.WithLabelValues(string(state)).Inc()
		s.log.Info("unframed-end-checked", zap.String("Request", r.info.Attempt), zap.String("Replica", from.ID), zap.String("Process", string(state)),
			zap.Int64("KnownBorn", from.Born), zap.Int64("Born", answer.born), zap.Int("Status", answer.status), zap.Duration("Took", s.control.now().Sub(beganAt)), zap.Error(answer.err))
		if state.confirmsEnd() {
			return nil
		}
		return fmt.Errorf("the process that was asked is not there any more: %s", state)
	}
}
