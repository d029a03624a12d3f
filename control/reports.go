package control

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/dispatch"
)

// orphanReports is in how many reports in a row an attempt must be orphaned before it is canceled.
const orphanReports = 2

// startReports polls the engines of a lane that this VM dispatches.
func (c *Controller) startReports(l *lane) {
	wanted := map[string]string{}
	for _, e := range append(append([]dispatch.Engine{}, l.prefills...), l.decodes...) {
		wanted[e.Name] = e.Addr
	}
	for name, stop := range l.reports {
		if wanted[name] == "" {
			stop()
			delete(l.reports, name)
		}
	}
	for name, addr := range wanted {
		if l.reports[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		l.reports[name] = cancel
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
				c.takeReport(l, addr, report.Load, orphans)
			case l.dispatcher != nil && ctx.Err() == nil:
				l.dispatcher.Unreachable(name)
			}
		})
		sleep(ctx, c.cfg.Timing.Report())
	}
}

// takeReport passes a report to the dispatcher and cancels attempts that nobody waits for.
func (c *Controller) takeReport(l *lane, addr string, load dispatch.Load, orphans map[string]int) {
	now := c.now()
	if l.dispatcher != nil {
		l.dispatcher.Observe(now, load)
	}
	seen := map[string]bool{}
	for _, attempt := range load.Attempts {
		seen[attempt] = true
		if !c.isOrphan(attempt, now) {
			delete(orphans, attempt)
			continue
		}
		orphans[attempt]++
		if orphans[attempt] >= orphanReports {
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

// isOrphan reports whether the process that made an attempt is gone, or no longer has the request.
func (c *Controller) isOrphan(attempt string, now time.Time) bool {
	vm, incarnation, ok := OwnerOf(attempt)
	if !ok {
		return false
	}
	if vm != c.self.VM || incarnation != c.self.Incarnation {
		return c.roster.IsDead(vm, incarnation, now)
	}
	id := dispatch.RequestOf(attempt)
	for _, l := range c.lanes {
		if l.jobs[id] != nil {
			return false
		}
	}
	return true
}

// OwnerOf returns the run of a VM's process that made an attempt. Attempts are named
// VM/incarnation/request#attempt.
func OwnerOf(attempt string) (vm, incarnation string, ok bool) {
	parts := strings.SplitN(attempt, "/", 3)
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], true
}
