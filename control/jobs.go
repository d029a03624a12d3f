package control

import (
	"sync/atomic"
	"time"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/peer"
)

// Job is one request of this VM in a lane. Its methods are for the goroutine that serves the request.
type Job struct {
	controller *Controller
	lane       *lane
	decisions  chan dispatch.Decision
	gap        atomic.Int64

	// The fields below belong to the control goroutine.
	request dispatch.Request
	stage   dispatch.Stage
	prefill string
	decode  string
}

// Submit queues a request in a lane, or returns false if the lane does not exist.
func (c *Controller) Submit(laneName string, r dispatch.Request) (*Job, bool) {
	r.VM, r.Incarnation = c.self.VM, c.self.Incarnation
	return askPair(c, func() (*Job, bool) {
		l := c.lanes[laneName]
		if l == nil {
			return nil, false
		}
		j := &Job{controller: c, lane: l, request: r, decisions: make(chan dispatch.Decision, 8)}
		l.jobs[r.ID] = j
		c.sendJobs(l, peer.JobUpdate{Lane: l.name, Jobs: []peer.Job{j.describe()}})
		return j, true
	})
}

func askPair[A, B any](c *Controller, f func() (A, B)) (A, B) {
	type pair struct {
		a A
		b B
	}
	p := ask(c, func() pair {
		a, b := f()
		return pair{a, b}
	})
	return p.a, p.b
}

func (j *Job) describe() peer.Job {
	return peer.Job{Request: j.request, Stage: j.stage, Prefill: j.prefill, Decode: j.decode, Gap: time.Duration(j.gap.Load())}
}

// SetGap notes the mean time between tokens so far, which the dispatcher learns from.
func (j *Job) SetGap(gap time.Duration) { j.gap.Store(int64(gap)) }

// Decisions returns the channel on which the dispatcher says what to do next.
func (j *Job) Decisions() <-chan dispatch.Decision { return j.decisions }

// Prefilled says that the prefill has ended and that the request wants a place.
func (j *Job) Prefilled() {
	c := j.controller
	c.post(func() {
		if j.lane.jobs[j.request.ID] != j {
			return
		}
		j.stage = dispatch.StagePrefilled
		c.sendJobs(j.lane, peer.JobUpdate{Lane: j.lane.name, Prefilled: []string{j.request.ID}})
	})
}

// Misplaced says that the decode engine did not take the request, which wants another place while its
// prefill result is kept.
func (j *Job) Misplaced(engine string) {
	c := j.controller
	c.post(func() {
		if j.lane.jobs[j.request.ID] != j || j.stage != dispatch.StageDecode {
			return
		}
		j.stage, j.decode = dispatch.StagePrefilled, ""
		c.sendJobs(j.lane, peer.JobUpdate{Lane: j.lane.name, Misplaced: []peer.MisplacedJob{{ID: j.request.ID, Engine: engine}}})
	})
}

// Finish says that the request needs nothing any more.
func (j *Job) Finish(result dispatch.Result) {
	c := j.controller
	c.post(func() { c.endJob(j, result) })
}

func (c *Controller) endJob(j *Job, result dispatch.Result) {
	if j.lane.jobs[j.request.ID] != j {
		return
	}
	delete(j.lane.jobs, j.request.ID)
	c.sendJobs(j.lane, peer.JobUpdate{Lane: j.lane.name, Finished: []peer.FinishedJob{{ID: j.request.ID, Result: result}}})
}

// Retry ends the request after an engine failed and submits another attempt of it.
func (j *Job) Retry(failed string, next dispatch.Request) (*Job, bool) {
	j.Finish(dispatch.Result{Failed: failed})
	return j.controller.Submit(j.lane.name, next)
}

// sendJobs tells the dispatcher of a lane about requests of this VM.
func (c *Controller) sendJobs(l *lane, u peer.JobUpdate) {
	now := c.now()
	if l.owner == c.self.VM || l.owner == "" {
		c.takeJobs(c.self, u)
		return
	}
	if link := c.links[l.owner]; link != nil {
		link.Jobs(now, u)
	}
}

// syncJobs tells the dispatchers about all requests of this VM, in case a message was lost.
func (c *Controller) syncJobs(now time.Time) {
	for _, l := range c.lanes {
		c.syncLane(now, l)
	}
}

// syncLane sends all requests of a lane. That there are none is said less often.
func (c *Controller) syncLane(now time.Time, l *lane) {
	if len(l.jobs) > 0 {
		l.emptySince = time.Time{}
	} else if now.Sub(l.emptySince) < emptySyncPeriod {
		return
	} else {
		l.emptySince = now
	}
	u := peer.JobUpdate{Lane: l.name, Whole: true}
	for _, j := range l.jobs {
		u.Jobs = append(u.Jobs, j.describe())
	}
	c.sendJobs(l, u)
}

// takeDecisions passes decisions on to the requests. A decision that was passed on before, or that
// comes too late, is ignored.
func (c *Controller) takeDecisions(l *lane, decisions []dispatch.Decision) {
	for _, decision := range decisions {
		j := l.jobs[decision.ID]
		if j == nil || !j.accept(decision) {
			continue
		}
		select {
		case j.decisions <- decision:
		default:
		}
	}
}

// accept moves the request to the stage that a decision allows.
func (j *Job) accept(d dispatch.Decision) bool {
	switch {
	case d.Kind == dispatch.DecideRefuse && j.stage == dispatch.StageQueued:
		delete(j.lane.jobs, j.request.ID)
		return true
	case d.Kind == dispatch.DecidePrefill && j.stage == dispatch.StageQueued:
		j.stage, j.prefill = dispatch.StagePrefill, d.Engine
		return true
	case d.Kind == dispatch.DecideDecode && j.stage == dispatch.StagePrefilled:
		j.stage, j.decode = dispatch.StageDecode, d.Engine
		return true
	}
	return false
}
