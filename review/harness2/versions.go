package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// streamDeadline is the time limit of callers of streams.
	streamDeadline = 14 * time.Second

	streamEvents  = 20
	eventGap      = 100 * time.Millisecond
	versionStream = 48
	// storeDownFor is how long the store is down. All of the case happens within it.
	storeDownFor = 4 * time.Second
	// engineDownFor is how long an engine is down each time.
	engineDownFor = 300 * time.Millisecond
	// maxJoined is how many streams of two versions the rule allows.
	maxJoined = 2
)

func init() { cases["versions"] = runVersions }

// runVersions replaces an engine in place by one of another software version while the store is down, and has it go down again.
func runVersions(s *site) error {
	engines := map[string]replicaOptions{}
	children := map[string]*child{}
	for id, stage := range map[string]string{"p-0": "prefill", "p-1": "prefill", "d-0": "decode", "d-1": "decode", "d-2": "decode", "d-3": "decode"} {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		engines[id] = replicaOptions{id: id, stage: stage, version: "v1", addr: addr, born: time.Now().UnixMilli(), events: streamEvents, gap: eventGap}
		if children[id], err = s.startReplica(engines[id], "engines"); err != nil {
			return err
		}
	}
	s.configureEngines()
	v, err := s.newVM("vm-0")
	if err != nil {
		return err
	}
	if err := s.startVM(v); err != nil {
		return err
	}
	if err := await("vm-0 serves", func() bool { return isReady(v) && s.stream(v).status == http.StatusOK }); err != nil {
		return err
	}
	if !s.trouble {
		return s.judgeVersions(s.streams(v))
	}
	s.note("the store is down")
	s.store.SetFaults(standin.Faults{Down: true})
	time.AfterFunc(storeDownFor, func() {
		s.note("the store is back")
		s.store.SetFaults(standin.Faults{})
	})
	if children["d-0"], err = s.replaceEngine(children["d-0"], engines["d-0"]); err != nil {
		return err
	}
	time.AfterFunc(streamEvents*eventGap/2, func() { _, _ = s.replaceEngine(children["d-0"], engines["d-0"]) })
	return s.judgeVersions(s.streams(v))
}

// replaceEngine kills an engine and starts it again under its ID, with another software version.
func (s *site) replaceEngine(c *child, o replicaOptions) (*child, error) {
	s.kill(c)
	time.Sleep(engineDownFor)
	o.version, o.born = "v2", time.Now().UnixMilli()
	program, err := s.startProcess(o)
	if err != nil {
		return nil, err
	}
	s.list(o, "engines")
	return program, nil
}

// stream sends one request for a stream.
func (s *site) stream(v *vm) answer {
	return s.send(v, call{method: http.MethodPost, path: "/check/a", body: "a prompt", timeout: streamDeadline, header: streamHeader()})
}

// streams sends several requests for streams at once.
func (s *site) streams(v *vm) []answer {
	answers := make([]answer, versionStream)
	var wg sync.WaitGroup
	for n := range answers {
		wg.Go(func() {
			answers[n] = s.stream(v)
			s.note("%s: %v, versions %v", answers[n].attempt, answers[n], versionsOf(answers[n].body))
		})
	}
	wg.Wait()
	return answers
}

// versionsOf returns the software versions that have made the events of a stream, in their order.
func versionsOf(body string) []string {
	var versions []string
	for _, line := range strings.Split(body, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		version, _, _ := strings.Cut(data, " ")
		if len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	return versions
}

// judgeVersions counts the streams that hold events of two software versions.
func (s *site) judgeVersions(answers []answer) error {
	joined, whole := 0, 0
	for _, a := range answers {
		if a.status == http.StatusOK && a.whole {
			whole++
		}
		if len(versionsOf(a.body)) > 1 {
			joined++
		}
	}
	s.note("%d streams, %d whole, %d with events of two software versions", len(answers), whole, joined)
	if joined > maxJoined {
		return fmt.Errorf("%w: %d of %d streams hold events of two software versions", errBroken, joined, len(answers))
	}
	if !s.trouble && whole < len(answers) {
		return fmt.Errorf("only %d of %d streams are whole", whole, len(answers))
	}
	return nil
}

// configureEngines writes a configuration with a route for streams that may be resumed.
func (s *site) configureEngines() {
	s.configure([]map[string]any{
		standin.Route("check", hostName, "/check/", "streaming", "engines", map[string]any{"resumable": true, "maxAttempts": 2, "timeoutMs": 14000}),
	}, []map[string]any{{"name": "engines", "healthPath": standin.HealthPath, "maxConnections": 300,
		"engine": map[string]any{"slots": 48, "kvCapacityTokens": 76160 * 4, "kvBytes": 163840, "kvRetentionS": 0.5, "stride": 1}}})
}

// streamHeader returns the headers of a request for a stream.
func streamHeader() map[string]string {
	return map[string]string{standin.HeaderTokens: "5000,70", "Model": "m", standin.HeaderParts: "ab:200,cd:4800"}
}
