package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/liveness"
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

// checkProcess asks a replica for its process, with a request that begins after this call.
func (s *Server) checkProcess(ctx context.Context, replica placement.Replica) liveness.Answer {
	key := replica.Address + " " + replica.ID
	return s.processChecks.Ask(ctx, key, func() liveness.Answer { return s.askForProcess(replica) })
}

// awaitProcess asks a replica for its process until it is not silent any more, or ctx is done.
func (s *Server) awaitProcess(ctx context.Context, replica placement.Replica) liveness.Answer {
	for {
		answer := s.checkProcess(ctx, replica)
		if ctx.Err() != nil || answer.StateOf(replica.Born) != liveness.Silent {
			return answer
		}
		select {
		case <-ctx.Done():
		case <-time.After(processCheckPause):
		}
	}
}

// askForProcess asks a replica for its process until there is an answer, connections are refused or processCheckTimeout has passed.
func (s *Server) askForProcess(replica placement.Replica) liveness.Answer {
	if s.protocol.ProcessRequest == nil {
		return s.dialForProcess(replica)
	}
	ctx, cancel := context.WithTimeout(context.Background(), processCheckTimeout)
	defer cancel()
	for {
		answer := s.tryToAskForProcess(ctx, replica)
		if answer.Err == nil || errors.Is(answer.Err, syscall.ECONNREFUSED) {
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
func (s *Server) tryToAskForProcess(ctx context.Context, replica placement.Replica) liveness.Answer {
	method, target, header := s.protocol.ProcessRequest(replica.ID)
	resp, err := s.upstreams.Do(ctx, replica.Address, exchange.Request{Method: method, Target: target, Host: replica.Address, Header: header,
		ConfirmEnd: func(context.Context, time.Time) error { return nil },
		// A kept connection may bring a late copy of the answer to a request before.
		AcceptResponse: func(h http.Header) bool { return s.protocol.ReadResponseInfo(http.StatusOK, h).Attempt == "" }})
	if err != nil {
		return liveness.Answer{Err: err}
	}
	defer resp.Close()
	info := s.protocol.ReadResponseInfo(resp.Status, resp.Header)
	answer := liveness.Answer{Status: resp.Status, NotRun: info.NotRun, Misdirected: info.Misdirected}
	body, err := resp.ReadAll(maxReportBytes)
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.Born, answer.At = s.protocol.ParseProcess(body), s.control.now()
	return answer
}

// dialForProcess opens a connection to a replica that tells nothing of its process. Only a refusal tells that it has ended.
func (s *Server) dialForProcess(replica placement.Replica) liveness.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), dialCheckTimeout)
	defer cancel()
	if s.upstreams.Refuses(ctx, replica.Address) {
		return liveness.Answer{Err: syscall.ECONNREFUSED}
	}
	return liveness.Answer{Status: http.StatusOK}
}

// endConfirmation returns the function that confirms the end of an answer without framing, or nil if replicas do not tell of their
// processes. The kernel ends the connections of a killed process in an orderly way, and where connections are accepted after that, by its
// successor or by a proxy, the address tells nothing. A replica that is silent is asked for as long as the caller can wait.
func (s *Server) endConfirmation(r *request, from placement.Replica) func(context.Context, time.Time) error {
	if s.protocol.ProcessRequest == nil {
		return nil
	}
	return func(ctx context.Context, openedAt time.Time) error { return s.confirmEnd(ctx, r, from, openedAt) }
}

// confirmEnd is the function that endConfirmation returns, for an answer on a connection that was opened after a time.
func (s *Server) confirmEnd(ctx context.Context, r *request, from placement.Replica, openedAt time.Time) error {
	beganAt := s.control.now()
	answer := s.awaitProcess(ctx, from)
	found := answer.FindingOf(from.Born)
	state := found.State
	if state == liveness.Unnamed && s.control.namesProcesses(from) && s.control.stoodStillSince(r.answer.startedAt) {
		// The process that answered may have started after the end that is read only now.
		state = s.control.awaitEntry(ctx, from)
	}
	whole := state.ConfirmsEnd() || state == liveness.Restarted && s.control.hasAnswered(ctx, from, found.Born, openedAt)
	s.metrics.ConfirmedEnds.WithLabelValues(string(state)).Inc()
	s.log.Info("unframed-end-checked", zap.String("Request", r.info.Attempt), zap.String("Replica", from.ID), zap.String("Process", string(state)), zap.Bool("Whole", whole),
		zap.Int64("KnownBorn", from.Born), zap.Int64("Born", answer.Born), zap.Int("Status", answer.Status), zap.Duration("Took", s.control.now().Sub(beganAt)), zap.Error(answer.Err))
	if whole {
		return nil
	}
	s.recordProcess(from, found)
	return fmt.Errorf("the end of the answer is not confirmed, the process: %s", state)
}
