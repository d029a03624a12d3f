package main

import (
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	oddStreams = 36
	// oddAfter is when another writer's entries appear.
	oddAfter = 1500 * time.Millisecond
	oddVMs   = 3
)

func init() { cases["odd"] = runOdd }

// runOdd has another writer leave entries of a service that no configuration names, with the addresses of the engines of one software version.
// The VM at which streams have begun is removed later, with SIGTERM, and their callers take them up at the others.
func runOdd(s *site) error {
	v1, err := s.startOddEngines()
	if err != nil {
		return err
	}
	var vms []*vm
	for n := range oddVMs {
		v, err := s.startStreamVM("vm-" + strconv.Itoa(n))
		if err != nil {
			return err
		}
		vms = append(vms, v)
	}
	time.Sleep(stableWindow)
	start := time.Now()
	broken := make([]answer, oddStreams)
	var wg sync.WaitGroup
	for n := range broken {
		wg.Go(func() {
			sleepUntil(start, beginAfter+(beginUntil-beginAfter)*time.Duration(n)/oddStreams)
			broken[n] = s.stream(vms[0])
		})
	}
	sleepUntil(start, oddAfter)
	if s.trouble {
		s.leaveOddEntries(v1)
	}
	sleepUntil(start, stopAfter)
	s.signal(vms[0].child, syscall.SIGTERM)
	select {
	case <-vms[0].done:
		s.note("%s has ended", vms[0].name)
	case <-time.After(stopTimeout):
		s.kill(vms[0].child)
	}
	wg.Wait()
	return s.judgeResumed(broken, s.resumeAll(vms[1:], broken), s.beginNew(vms[1:]))
}

// startOddEngines starts the engines, and returns the decode engines of the version v1.
func (s *site) startOddEngines() ([]replicaOptions, error) {
	var v1 []replicaOptions
	for _, o := range []replicaOptions{{id: "p-0", stage: "prefill", version: "v1"}, {id: "d-0", stage: "decode", version: "v1"}, {id: "d-1", stage: "decode", version: "v1"},
		{id: "d-2", stage: "decode", version: "v1"}, {id: "d-3", stage: "decode", version: "v1"}, {id: "d-4", stage: "decode", version: "v2"}, {id: "d-5", stage: "decode", version: "v2"}} {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		o.addr, o.born, o.events, o.gap = addr, time.Now().UnixMilli(), longEvents, eventGap
		if _, err := s.startReplica(o, "engines"); err != nil {
			return nil, err
		}
		if o.stage == "decode" && o.version == "v1" {
			v1 = append(v1, o)
		}
	}
	s.configureEngines()
	return v1, nil
}

// leaveOddEntries writes entries of a service that no configuration names, with the addresses of replicas.
func (s *site) leaveOddEntries(replicas []replicaOptions) {
	for _, o := range replicas {
		s.note("another writer leaves an entry of the service \"node-exporter\" with the address of %s", o.id)
		s.store.PutReplica("exporter-"+o.id, map[string]any{"service": "node-exporter", "zone": zone, "version": "1.9", "slots": 1, "state": "ready", "sequence": 1, "address": o.addr})
	}
}
