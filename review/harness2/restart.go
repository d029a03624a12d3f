package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// answerGap is the time between the two halves of an answer.
	answerGap = 1500 * time.Millisecond
	// frozenFor is how long the router's machine stands still, and replicaDownFor how long the replica is down.
	frozenFor      = 2 * time.Second
	replicaDownFor = 500 * time.Millisecond
	restartCalls   = 32
)

func init() { cases["restart"] = runRestart }

// runRestart has a plain service answer without framing. One of its replicas is killed in the middle of its answers and starts again under
// its ID, while the machine of one router stands still.
func runRestart(s *site) error {
	desks, err := s.startDesks(replicaOptions{gap: answerGap, unframed: true})
	if err != nil {
		return err
	}
	vms, err := s.startServingVMs()
	if err != nil {
		return err
	}
	v := vms[0]
	answers := make([]answer, restartCalls)
	var wg sync.WaitGroup
	for n := range restartCalls {
		wg.Go(func() {
			answers[n] = s.send(v, call{method: http.MethodPost, path: "/release/a", body: "release", timeout: 2 * callDeadline})
			s.note("%s: %v", answers[n].attempt, answers[n])
		})
	}
	time.Sleep(answerGap / 2)
	if s.trouble {
		s.signal(v.child, syscall.SIGSTOP)
		s.kill(desks[0].child)
		time.Sleep(replicaDownFor)
		options := desks[0].options
		options.born = time.Now().UnixMilli()
		if _, err := s.startReplica(options, "desk"); err != nil {
			return err
		}
		time.Sleep(frozenFor - replicaDownFor)
		s.signal(v.child, syscall.SIGCONT)
	}
	wg.Wait()
	return s.judgeHalves(answers)
}

// judgeHalves counts the answers that look complete and are not.
func (s *site) judgeHalves(answers []answer) error {
	cut, complete := 0, 0
	for _, a := range answers {
		first, second := halves(a.attempt)
		switch {
		case a.status != http.StatusOK || !a.whole:
		case a.body == first+second:
			complete++
		default:
			cut++
		}
	}
	s.note("%d answers look complete and are, %d look complete and are not", complete, cut)
	if cut > 0 {
		return fmt.Errorf("%w: %d of %d answers with status 200 look complete and hold a part of the replica's body", errBroken, cut, len(answers))
	}
	if !s.trouble && complete < len(answers) {
		return fmt.Errorf("only %d of %d calls were answered", complete, len(answers))
	}
	return nil
}
