package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// emptyEach is how many answers of a faulty engine are sound for each one that is truncated: garble allows x = 0.02.
	emptyEach   = 50
	shortEvents = 10
	shortGap    = 10 * time.Millisecond
	shortRounds = 60
	shortAtOnce = 10
	// leaveAfter is the number of events after which a caller's channel breaks.
	leaveAfter = 3
)

func init() { cases["empty"] = runEmpty }

// runEmpty has two of four engines truncate some answers to callers that take a stream up: they hold no event, and end as if they were whole.
func runEmpty(s *site) error {
	for _, o := range []replicaOptions{{id: "p-0", stage: "prefill"}, {id: "d-0", stage: "decode", emptyEach: emptyEach}, {id: "d-1", stage: "decode", emptyEach: emptyEach},
		{id: "d-2", stage: "decode"}, {id: "d-3", stage: "decode"}} {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		if !s.trouble {
			o.emptyEach = 0
		}
		o.version, o.addr, o.born, o.events, o.gap = "v1", addr, time.Now().UnixMilli(), shortEvents, shortGap
		if _, err := s.startReplica(o, "engines"); err != nil {
			return err
		}
	}
	s.configureEngines()
	v, err := s.startStreamVM("vm-0")
	if err != nil {
		return err
	}
	early, whole := 0, 0
	for range shortRounds {
		for _, got := range s.takeUpOnce(v) {
			switch {
			case got.answer.status != http.StatusOK || !got.answer.whole:
			case lastEvent(got.answer.body) == fmt.Sprint(shortEvents):
				whole++
			default:
				early++
				s.note("%s takes up %s after event %s: %v", got.answer.attempt, got.first, got.after, got.answer)
			}
		}
	}
	s.note("%d streams that were taken up end after their last event, %d end as complete before it", whole, early)
	if early > 0 {
		return fmt.Errorf("%w: %d of %d streams that were taken up end as complete before their last event", errBroken, early, early+whole)
	}
	return nil
}

// takenUp is the answer to a caller that takes a stream up.
type takenUp struct {
	first, after string
	answer       answer
}

// takeUpOnce begins some streams, breaks their channels and takes them up again.
func (s *site) takeUpOnce(v *vm) []takenUp {
	taken := make([]takenUp, shortAtOnce)
	var wg sync.WaitGroup
	for n := range taken {
		wg.Go(func() {
			attempt, after := s.beginAndLeave(v)
			header := streamHeader()
			header[headerLastID], header["Resumes"] = after, attempt
			taken[n] = takenUp{attempt, after, s.send(v, call{method: http.MethodPost, path: "/check/a", body: "a prompt", timeout: streamDeadline, header: header})}
		})
	}
	wg.Wait()
	return taken
}

// beginAndLeave begins a stream, and closes its channel after some events. It returns the attempt and the ID of the last event.
func (s *site) beginAndLeave(v *vm) (attempt, after string) {
	attempt = newAttempt()
	ch, err := openChannel(v)
	if err != nil {
		return attempt, ""
	}
	defer ch.Close()
	_ = ch.SetDeadline(time.Now().Add(callDeadline))
	head, body := call{method: http.MethodPost, path: "/check/a", attempt: attempt, body: "a prompt", timeout: streamDeadline, header: streamHeader()}.encode()
	if _, err := ch.Write([]byte(head + body)); err != nil {
		return attempt, ""
	}
	for after != fmt.Sprint(leaveAfter) {
		line, err := ch.reader.ReadString('\n')
		if err != nil {
			return attempt, after
		}
		if id, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			after = id
		}
	}
	return attempt, after
}
