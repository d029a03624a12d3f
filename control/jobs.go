package control

import (
	"sync/atomic"
	"time"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/peer"
)

// Job is one request of this VM in a lane. Its methods are called by the goroutine that serves the
// request.
type Job struct {
	controller *Controller
	lane       *lane
	decisions  chan dispatch.Decision
	tokenGap   atomic.Int64

	// The fields below are accessed by the control goroutine only.
	request       dispatch.Request
	stage         dispatch.Stage
	prefillEngine string
	decodeEngine  string
}

// Submit queues a request in a lane. It returns false if the lane does not exist.
func (c *Controller) Submit(laneName string, r dispatch.Request) (*Job, bool) {
	r.VM, r.Incarnation = c.self.VM, c.self.Incarnation
	return postAndWaitPair(c, func() (*Job, bool) {
		l := c.lanes[laneName]
		if l == nil {
			return nil, false
		}
		j := &Job{controller: c, lane: l, request: r, decisions: make(chan dispatch.Decision, 8)}
		l.jobs[r.ID] = j
		c.sendJobUpdate(l, peer.JobUpdate{Lane: l.name, Jobs: []peer.Job{j.peerJob()}})
		return j, true
	})
}

func postAndWaitPair[A, B any](c *Controller, f func() (A, B)) (A, B) {
	type pair struct {
		a A
		b B
	}
	p := postAndWait(c, func() pair {
		a, b := f()
		return pair{a, b}
	})
	return p.a, p.b
}

func (j *Job) peerJob() peer.Job {
	return peer.Job{Request: j.request, Stage: j.stage, PrefillEngine: j.prefillEngine, DecodeEngine: j.decodeEngine, TokenGap: time.Duration(j.tokenGap.Load())}
}

// SetTokenGap records the mean time between tokens so far, which is reported to the dispatcher.
func (j *Job) SetTokenGap(gap time.Duration) { j.tokenGap.Store(int64(gap)) }

// Decisions returns the channel that receives the dispatcher's decisions on the request.
func (j *Job) Decisions() <-chan dispatch.Decision { return j.decisions }

// PrefillCompleted reports that the prefill is complete and that the request needs a decode slot.
func (j *Job) PrefillCompleted() {
	c := j.controller
	c.post(func() {
		if j.lane.jobs[j.request.ID] != j {
			return
		}
		j.stage = dispatch.StagePrefilled
		c.sendJobUpdate(j.lane, peer.JobUpdate{Lane: j.lane.name, Prefilled: []string{j.request.ID}})
	})
}

// DecodeRejected reports that the decode engine rejected the request. The request is then scheduled on
// another decode engine while its prefill result is retained.
func (j *Job) DecodeRejected(engine string) {
	c := j.controller
	c.post(func() {
		if j.lane.jobs[j.request.ID] != j || j.stage != dispatch.StageDecode {
			return
		}
		j.stage, j.decodeEngine = dispatch.StagePrefilled, ""
		c.sendJobUpdate(j.lane, peer.JobUpdate{Lane: j.lane.name, DecodeRejections: []peer.DecodeRejection{{ID: j.request.ID, Engine: engine}}})
	})
}

// Finish reports the result of the request and removes the request from the lane.
func (j *Job) Finish(result dispatch.Result) {
	c := j.controller
	c.post(func() { c.finishJob(j, result) })
}

func (c *Controller) finishJob(j *Job, result dispatch.Result) {
	if j.lane.jobs[j.request.ID] != j {
		return
	}
	delete(j.lane.jobs, j.request.ID)
	c.sendJobUpdate(j.lane, peer.JobUpdate{Lane: j.lane.name, Finished: []peer.FinishedJob{{ID: j.request.ID, Result: result}}})
}

// Retry finishes the request after the failure of an engine and submits another attempt.
func (j *Job) Retry(failedEngine string, next dispatch.Request) (*Job, bool) {
	j.Finish(dispatch.Result{Failed: failedEngine})
	return j.controller.Submit(j.lane.name, next)
}

// sendJobUpdate sends an update on requests of this VM to the dispatcher of a lane. The update is
// applied locally if this VM is the dispatcher or if the dispatcher is not known yet.
func (c *Controller) sendJobUpdate(l *lane, u peer.JobUpdate) {
	now := c.now()
	if l.owner == c.self.VM || l.owner == "" {
		c.handleJobUpdate(c.self, u)
		return
	}
	if link := c.links[l.owner]; link != nil {
		link.Jobs(now, u)
	}
}

// syncLanes sends all requests of this VM to the dispatchers, to recover from lost messages.
func (c *Controller) syncLanes(now time.Time) {
	for _, l := range c.lanes {
		c.syncLane(now, l)
	}
}

// syncLane sends all requests of this VM in a lane. An empty list is sent less often.
func (c *Controller) syncLane(now time.Time, l *lane) {
	if len(l.jobs) > 0 {
		l.emptySyncAt = time.Time{}
	} else if now.Sub(l.emptySyncAt) < emptySyncPeriod {
		return
	} else {
		l.emptySyncAt = now
	}
	u := peer.JobUpdate{Lane: l.name, Full: true}
	for _, j := range l.jobs {
		u.Jobs = append(u.Jobs, j.peerJob())
	}
	c.sendJobUpdate(l, u)
}

// deliverDecisions passes decisions to their requests. Repeated and outdated decisions are ignored.
func (c *Controller) deliverDecisions(l *lane, decisions []dispatch.Decision) {
	for _, decision := range decisions {
		j := l.jobs[decision.ID]
		if j == nil || !j.applyDecision(decision) {
			continue
		}
		select {
		case j.decisions <- decision:
		default:
		}
	}
}

// applyDecision moves the request to its next stage. It returns false if the decision does not fit
// the current stage, as for a repeated or outdated decision.
func (j *Job) applyDecision(d dispatch.Decision) bool {
	switch {
	case d.Kind == dispatch.DecideRefuse && j.stage == dispatch.StageQueued:
		delete(j.lane.jobs, j.request.ID)
		return true
	case d.Kind == dispatch.DecidePrefill && j.stage == dispatch.StageQueued:
		j.stage, j.prefillEngine = dispatch.StagePrefill, d.Engine
		return true
	case d.Kind == dispatch.DecideDecode && j.stage == dispatch.StagePrefilled:
		j.stage, j.decodeEngine = dispatch.StageDecode, d.Engine
		return true
	}
	return false
}
