package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quarantine"
)

// parts returns what evidence can be held against: the shared parts of the prompt, and the whole request.
func (r *request) parts() []string {
	if r.suspectIDs == nil {
		id := quarantine.RequestID(r.accountName(), r.http.Method, r.http.Host, r.target, r.body)
		r.suspectIDs = append(slices.Clone(r.info.SharedParts), id)
	}
	return r.suspectIDs
}

// decideParts decides whether a request with these parts may run. After a Trial, endTrial must be called.
func (c *Controller) decideParts(parts []string) quarantine.Decision {
	return ask(c, func() quarantine.Decision {
		decision := c.quarantine.Decide(c.now(), parts)
		if decision.Verdict == quarantine.Trial {
			c.beacon.dirty = true
		}
		return decision
	})
}

// endTrial ends a trial that claimed these parts.
func (c *Controller) endTrial(parts []string) {
	c.post(func() {
		c.quarantine.EndTrial(parts)
		c.beacon.dirty = true
	})
}

// recordEnd records that a replica ended while it ran or began to answer a request with these parts. The end of a
// replica that was leaving is planned and does not count.
func (c *Controller) recordEnd(parts []string, replica placement.Replica) {
	c.post(func() {
		if !c.scheduler.Serves(replica.ID) {
			return
		}
		quarantined := c.quarantine.RecordEnd(c.now(), parts, replica.ID)
		c.suspects.Store(true)
		c.beacon.dirty = true
		c.log.Info("parts-suspected", zap.String("Replica", replica.ID), zap.Strings("Parts", parts))
		c.logQuarantined(quarantined, c.self.VM)
	})
}

// recordSurvival records that an answer to a request with these parts lasted.
func (c *Controller) recordSurvival(parts []string) {
	c.post(func() {
		if cleared := c.quarantine.RecordSurvival(c.now(), parts); len(cleared) > 0 {
			c.beacon.dirty = true
			c.log.Info("parts-cleared", zap.Strings("Parts", cleared))
		}
	})
}

// mergeEvidence adds the evidence in a beacon of a peer.
func (c *Controller) mergeEvidence(now time.Time, b peer.Beacon) {
	c.quarantine.SetPeerTrials(b.VM, b.TrialParts)
	c.logQuarantined(c.quarantine.Merge(now, b.Suspects), b.VM)
	c.suspects.Store(c.quarantine.Any())
}

// restoreQuarantine adds the evidence of the backup copy.
func (c *Controller) restoreQuarantine(quarantined map[string]quarantine.Evidence) {
	c.post(func() {
		c.logQuarantined(c.quarantine.Merge(c.now(), quarantined), "copy")
		c.suspects.Store(c.quarantine.Any())
	})
}

func (c *Controller) logQuarantined(parts []string, source string) {
	for _, part := range parts {
		c.log.Warn("part-quarantined", zap.String("Part", part), zap.String("Source", source))
	}
}

// admitParts decides whether a request may run, by its parts. The returned function must be called when the request has ended. A
// request of which a run broke off is not tried again with a suspected part.
func (s *Server) admitParts(r *request) (release func(), reqErr *Error) {
	release = func() {}
	if !s.control.suspects.Load() {
		return release, nil
	}
	decision := s.control.decideParts(r.parts())
	if decision.Verdict == quarantine.Admit {
		return release, nil
	}
	s.log.Info("suspect-decided", zap.String("Request", r.info.Attempt), zap.Stringer("Verdict", decision.Verdict), zap.String("Part", decision.Part),
		zap.Int("Ends", decision.Ends), zap.Bool("RunBroke", r.runBroke))
	if decision.Verdict == quarantine.Trial {
		release = func() { s.control.endTrial(decision.Claimed) }
		if !r.runBroke {
			return release, nil
		}
		release()
	}
	reqErr = errorf("admit", ErrQuarantined, "%d replicas have ended under part %s of the request", decision.Ends, decision.Part)
	if decision.RetryAfter == 0 {
		// The request itself may run as a trial, but not again after its run broke off.
		decision.RetryAfter = quarantine.SurvivalPeriod
	}
	return func() {}, reqErr.withRetryAfter(decision.RetryAfter)
}
