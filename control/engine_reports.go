package control

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/dispatch"
)

// orphanThreshold is the number of consecutive reports after which an orphaned attempt is canceled.
const orphanThreshold = 2

// startReportPolling starts polling the reports of the engines of a lane that this VM dispatches,
// and stops polling engines that have left the lane.
func (c *Controller) startReportPolling(l *lane) {
	wanted := map[string]string{}
	for _, e := range append(append([]dispatch.Engine{}, l.prefills...), l.decodes...) {
		wanted[e.Name] = e.Addr
	}
	for name, stop := range l.stopPolling {
		if wanted[name] == "" {
			stop()
			delete(l.stopPolling, name)
		}
	}
	for name, addr := range wanted {
		if l.stopPolling[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		l.stopPolling[name] = cancel
		go c.pollReports(ctx, l, name, addr)
	}
}

func (c *Controller) pollReports(ctx context.Context, l *lane, name, addr string) {
	orphans := map[string]int{}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		report, err := c.engines.Report(callCtx, addr, name)
		cancel()
		c.post(func() {
			switch {
			case err == nil:
				c.handleReport(l, addr, report.Load, orphans)
			case l.dispatcher != nil && ctx.Err() == nil:
				l.dispatcher.EngineUnreachable(name)
			}
		})
		sleep(ctx, c.cfg.Timing.Report())
	}
}

// handleReport passes a report to the dispatcher and cancels orphaned attempts.
func (c *Controller) handleReport(l *lane, addr string, load dispatch.LoadReport, orphans map[string]int) {
	now := c.now()
	if l.dispatcher != nil {
		l.dispatcher.ApplyLoadReport(now, load)
	}
	seen := map[string]bool{}
	for _, attempt := range load.Attempts {
		seen[attempt] = true
		if !c.isOrphan(attempt, now) {
			delete(orphans, attempt)
			continue
		}
		orphans[attempt]++
		if orphans[attempt] >= orphanThreshold {
			c.log.Info("orphan-canceled", zap.String("Attempt", attempt), zap.String("Engine", load.Engine))
			c.metrics.Cancels.WithLabelValues("orphan").Inc()
			c.cancels.Cancel(addr, attempt)
		}
	}
	for attempt := range orphans {
		if !seen[attempt] {
			delete(orphans, attempt)
		}
	}
}

// isOrphan reports whether the process that started an attempt is dead or, if it is this one, no longer has the request.
func (c *Controller) isOrphan(attempt string, now time.Time) bool {
	vm, incarnation, ok := AttemptOwner(attempt)
	if !ok {
		return false
	}
	if vm != c.self.VM || incarnation != c.self.Incarnation {
		return c.roster.IsDead(vm, incarnation, now)
	}
	id := dispatch.RequestIDOfAttempt(attempt)
	for _, l := range c.lanes {
		if l.jobs[id] != nil {
			return false
		}
	}
	return true
}

// AttemptOwner returns the VM and the incarnation of its process that started an attempt. Attempt IDs
// have the form VM/incarnation/request#attempt.
func AttemptOwner(attempt string) (vm, incarnation string, ok bool) {
	parts := strings.SplitN(attempt, "/", 3)
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], true
}
