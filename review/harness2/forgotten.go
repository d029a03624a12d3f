package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	longEvents = 130
	longStream = 24
	// cutFor is how long one VM is cut off from the others. Streams begin there from beginAfter to beginUntil.
	cutFor     = 4 * time.Second
	beginAfter = 300 * time.Millisecond
	beginUntil = 1300 * time.Millisecond
	// stopAfter is when the VM at which the streams began gets SIGTERM, and stopTimeout how long it may take to stop.
	stopAfter   = 2500 * time.Millisecond
	stopTimeout = (graceMillis + 500) * time.Millisecond
	// newStreams is the number of streams that begin after that.
	newStreams = 12
	// maxResumeTries bounds the tries of a caller that takes a stream up, who waits as it is told.
	maxResumeTries = 3
)

func init() { cases["forgotten"] = runForgotten }

// runForgotten cuts one VM off from the others for some seconds, while replicas of two software versions serve. It is then removed, with
// SIGTERM, and the callers of the streams that have begun there meanwhile and outlast its grace period take them up at the others.
func runForgotten(s *site) error {
	if err := s.startEngines(); err != nil {
		return err
	}
	vms, m, err := s.startMeshedVMs()
	if err != nil {
		return err
	}
	first, others := vms[0], vms[1:]
	start := time.Now()
	if s.trouble {
		s.note("%s is cut off from all other VMs", first.name)
		m.cut.Store(0)
		time.AfterFunc(cutFor, func() {
			s.note("the cut has healed")
			m.cut.Store(noCut)
		})
	}
	broken := make([]answer, longStream)
	var wg sync.WaitGroup
	for n := range broken {
		wg.Go(func() {
			sleepUntil(start, beginAfter+(beginUntil-beginAfter)*time.Duration(n)/longStream)
			broken[n] = s.stream(first)
		})
	}
	sleepUntil(start, stopAfter)
	s.signal(first.child, syscall.SIGTERM)
	select {
	case <-first.done:
		s.note("%s has ended", first.name)
	case <-time.After(stopTimeout):
		s.kill(first.child)
	}
	wg.Wait()
	return s.judgeResumed(broken, s.resumeAll(others, broken), s.beginNew(others))
}

// startEngines starts a prefill engine, and two decode engines of each of two software versions.
func (s *site) startEngines() error {
	for _, o := range []replicaOptions{{id: "p-0", stage: "prefill", version: "v1"}, {id: "d-0", stage: "decode", version: "v1"}, {id: "d-1", stage: "decode", version: "v1"},
		{id: "d-2", stage: "decode", version: "v2"}, {id: "d-3", stage: "decode", version: "v2"}} {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		o.addr, o.born, o.events, o.gap = addr, time.Now().UnixMilli(), longEvents, eventGap
		if _, err := s.startReplica(o, "engines"); err != nil {
			return err
		}
	}
	s.configureEngines()
	return nil
}

// startMeshedVMs starts VMs that hear each other through a mesh only.
func (s *site) startMeshedVMs() ([]*vm, *mesh, error) {
	var vms []*vm
	for n := range vmCount {
		v, err := s.newVM("vm-" + strconv.Itoa(n))
		if err != nil {
			return nil, nil, err
		}
		vms = append(vms, v)
	}
	m, err := s.newMesh(vms)
	if err != nil {
		return nil, nil, err
	}
	for _, v := range vms {
		if err := s.startVM(v); err != nil {
			return nil, nil, err
		}
	}
	for _, v := range vms {
		if err := await(v.name+" serves", func() bool { return isReady(v) && s.begins(v) }); err != nil {
			return nil, nil, err
		}
	}
	// By then the start does not count as an impairment any more.
	time.Sleep(stableWindow)
	return vms, m, nil
}

// begins reports whether a stream begins at a VM, and leaves it then.
func (s *site) begins(v *vm) bool {
	ch, err := openChannel(v)
	if err != nil {
		return false
	}
	defer ch.Close()
	_ = ch.SetDeadline(time.Now().Add(callDeadline))
	head, body := call{method: http.MethodPost, path: "/check/a", attempt: newAttempt(), body: "a prompt", timeout: streamDeadline, header: streamHeader()}.encode()
	if _, err := ch.Write([]byte(head + body)); err != nil {
		return false
	}
	line, err := ch.reader.ReadString('\n')
	return err == nil && strings.Contains(line, " 200 ")
}

// beginNew counts the new streams that begin at VMs.
func (s *site) beginNew(vms []*vm) int {
	begun := 0
	for n := range newStreams {
		if s.begins(vms[n%len(vms)]) {
			begun++
		}
	}
	return begun
}

// lastEvent returns the ID of the last complete event of a stream.
func lastEvent(body string) string {
	last := ""
	for _, event := range strings.Split(body[:strings.LastIndex("\n\n"+body, "\n\n")], "\n\n") {
		if id, found := strings.CutPrefix(strings.SplitN(event, "\n", 2)[0], "id: "); found {
			last = id
		}
	}
	return last
}

// resumeAll takes broken streams up at VMs.
func (s *site) resumeAll(vms []*vm, broken []answer) []answer {
	resumed := make([]answer, len(broken))
	var wg sync.WaitGroup
	for n, a := range broken {
		wg.Go(func() { resumed[n] = s.resume(rotate(vms, n), a) })
	}
	wg.Wait()
	return resumed
}

// resume takes a broken stream up, with each try at another VM. A caller that is refused comes back when it is told.
func (s *site) resume(vms []*vm, broken answer) answer {
	header := streamHeader()
	header[headerLastID], header["Resumes"] = lastEvent(broken.body), broken.attempt
	var a answer
	for n := range maxResumeTries {
		a = s.send(vms[n%len(vms)], call{method: http.MethodPost, path: "/check/a", body: "a prompt", timeout: streamDeadline, header: header})
		s.note("%s takes up %s after event %s (versions %v): %v, versions %v", a.attempt, broken.attempt, header[headerLastID], versionsOf(broken.body), a, versionsOf(a.body))
		if a.status != http.StatusServiceUnavailable {
			break
		}
		seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
	return a
}

// rotate returns VMs in another order, which begins with the one at index n.
func rotate(vms []*vm, n int) []*vm {
	n %= len(vms)
	return append(slices.Clone(vms[n:]), vms[:n]...)
}

// judgeResumed compares the share of streams that go on with that of new streams that begin.
func (s *site) judgeResumed(broken, resumed []answer, begun int) error {
	taken, went := 0, 0
	for n, a := range resumed {
		if lastEvent(broken[n].body) == "" {
			continue
		}
		taken++
		if a.status == http.StatusOK && lastEvent(a.body) != "" {
			went++
		}
	}
	s.note("%d streams taken up, %d went on; %d new streams, %d began", taken, went, newStreams, begun)
	if taken < newStreams || begun == 0 {
		return errors.New("too few streams")
	}
	if float64(went)/float64(taken) < float64(begun)/newStreams/2 {
		return fmt.Errorf("%w: %d of %d streams that were taken up went on, and %d of %d new ones began", errBroken, went, taken, begun, newStreams)
	}
	return nil
}

// sleepUntil waits until a time after the start of a plan.
func sleepUntil(start time.Time, after time.Duration) { time.Sleep(time.Until(start.Add(after))) }
