package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// silentFor is how long a sound replica is silent.
	silentFor   = time.Second
	silentCalls = 6
	// stableWindow is stableWindowMs of the small sites.
	stableWindow = 3 * time.Second
	// workTime is the time for half an answer.
	workTime = 60 * time.Millisecond
)

func init() { cases["silent"] = runSilent }

// runSilent has a plain service answer without framing, and stand still for a second after each whole answer. Each request follows a SIGHUP
// of the VM within configApplyMs.
func runSilent(s *site) error {
	options := replicaOptions{gap: workTime, unframed: true}
	if s.trouble {
		options.stopsAt = "/release/a"
	}
	desks, err := s.startDesks(options)
	if err != nil {
		return err
	}
	v, err := s.startServingVM("vm-0", "/status/ready")
	if err != nil {
		return err
	}
	// By then the start does not count as an impairment any more.
	time.Sleep(stableWindow)
	cut := 0
	for range silentCalls {
		s.signal(v.child, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		done := make(chan struct{})
		if s.trouble {
			go s.continueLater(desks, done)
		} else {
			close(done)
		}
		a := s.send(v, call{method: http.MethodPost, path: "/release/a", body: "release"})
		s.note("%s: %v", a.attempt, a)
		first, second := halves(a.attempt)
		if a.status != http.StatusOK || !a.whole || a.body != first+second {
			cut++
		}
		<-done
		time.Sleep(silentFor)
	}
	s.note("%d of %d calls were cut", cut, silentCalls)
	if cut > 0 {
		return fmt.Errorf("%w: %d of %d requests, sent after a SIGHUP and answered by their replica in full, ended without a complete answer", errBroken, cut, silentCalls)
	}
	return nil
}

// continueLater waits until a replica stands still, and continues it after silentFor.
func (s *site) continueLater(desks []startedReplica, done chan<- struct{}) {
	defer close(done)
	var stopped *child
	err := await("a replica stands still", func() bool {
		for _, d := range desks {
			if isStopped(d.child) {
				stopped = d.child
			}
		}
		return stopped != nil
	})
	if err != nil {
		return
	}
	s.note("%s has answered and stands still", stopped.name)
	time.Sleep(silentFor)
	s.signal(stopped, syscall.SIGCONT)
}

// isStopped reports whether a process has been stopped by a signal.
func isStopped(c *child) bool {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(c.cmd.Process.Pid) + "/stat")
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	return strings.HasPrefix(rest, "T")
}
