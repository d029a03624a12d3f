package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// resumeMargin is added to the longest timeout of a resumable route to get how long a stream can be resumed.
	resumeMargin = 5 * time.Second
	// unknownStreamRetryAfter is the Retry-After of a caller that resumes a stream of which this VM has not heard yet.
	unknownStreamRetryAfter = 300 * time.Millisecond
)

// originOf returns the origin of a replica's streams.
func originOf(replica placement.Replica) resumption.Origin {
	return resumption.Origin{Pool: replica.Pool, Version: replica.SoftwareVersion}
}

// resumesStream reports whether the caller takes up a stream that broke.
func (r *request) resumesStream() bool { return r.route.Stream && r.info.LastEventID != "" }

// knownOrigin is where a stream began, or why that is not known.
type knownOrigin struct {
	resumption.Origin
	unknown resumption.Unknown
	// versions holds those at which it may have begun.
	versions []string
}

// resolveOrigin restricts a request that takes up a stream to the software version that began it. It returns an error if that is
// not known: what another version writes does not fit.
func (s *Server) resolveOrigin(ctx context.Context, r *request) *Error {
	if !r.resumesStream() {
		return nil
	}
	origin := s.control.streamOrigin(ctx, r.info.Resumes, r.pool.Name)
	s.metrics.StreamOrigins.WithLabelValues(cmp.Or(string(origin.unknown), "Known")).Inc()
	fields := []zap.Field{zap.String("Request", r.info.Attempt), zap.String("Resumes", r.info.Resumes), zap.String("Pool", r.pool.Name), zap.Strings("Versions", origin.versions)}
	if origin.unknown != resumption.Known {
		s.log.Info("stream-origin-unknown", append(fields, zap.String("Reason", string(origin.unknown)))...)
		return errorf("resume", ErrNoUpstream, "the software version that began the stream is not known").withRetryAfter(unknownStreamRetryAfter)
	}
	s.log.Info("stream-resumed", append(fields, zap.String("OriginPool", origin.Pool), zap.String("OriginVersion", origin.Version))...)
	pool, exists := r.table.Pool(origin.Pool)
	if !exists || !r.route.UsesPool(origin.Pool) {
		return errorf("resume", ErrNoUpstream, "the route no longer uses pool %q, which began the stream", origin.Pool)
	}
	r.pool = pool
	r.versions = placement.VersionLimit{Limited: true, Version: origin.Version}
	return nil
}

// recordOrigin remembers where the stream of a request begins, if a caller may resume it: it does with the next event.
func (s *Server) recordOrigin(r *request, from placement.Replica) {
	if r.route.Repeat != routing.Resumable {
		return
	}
	attempts := []string{r.info.Attempt}
	if r.resumesStream() && r.info.Resumes != "" {
		attempts = append(attempts, r.info.Resumes)
	}
	s.control.recordStreams(attempts, from)
}

// recordStreams records that attempts begin, or go on with, streams at a replica.
func (c *Controller) recordStreams(attempts []string, from placement.Replica) {
	c.post(func() {
		origin := originOf(from)
		c.doubtUnread(c.now(), from)
		if c.scheduler.VersionDoubted(c.now(), from.ID, c.now()) {
			origin.Version = resumption.DoubtedVersion
		}
		for _, attempt := range attempts {
			c.streams.Begin(c.now(), attempt, from.ID, origin)
		}
		c.beacon.dirty = c.beacon.dirty || c.hasSeveralVersions(origin.Pool)
		c.announceStreams()
	})
}

// findOrigin returns where the stream that an attempt began in a pool may go on. current is whether all versions are known at which it may have
// begun.
func (c *Controller) findOrigin(now time.Time, attempt, pool string, current bool) knownOrigin {
	listed := c.scheduler.SoftwareVersions(pool)
	origin, unknown := c.streams.OriginOf(now, attempt, pool, listed, current)
	return knownOrigin{origin, unknown, c.streams.Versions(now, pool, listed)}
}

// hasSeveralVersions reports whether streams of a pool that can still be resumed may have begun at several software versions.
func (c *Controller) hasSeveralVersions(pool string) bool {
	return len(c.streams.Versions(c.now(), pool, c.scheduler.SoftwareVersions(pool))) > 1
}

// streamVersions returns the software versions at which streams may have begun that can still be resumed, by pool, or nil if this VM
// does not know all of them.
func (c *Controller) streamVersions() map[string][]string {
	now := c.now()
	if !c.streams.HistoryKnown(now) {
		return nil
	}
	versions := map[string][]string{}
	for _, pool := range append(c.scheduler.Pools(), c.streams.Pools()...) {
		if names := c.streams.Versions(now, pool, c.scheduler.SoftwareVersions(pool)); len(names) > 0 {
			versions[pool] = names
		}
	}
	return versions
}

// recordVersionGone records that a replica serves no longer, or with another software version.
func (c *Controller) recordVersionGone(now time.Time, replica placement.Replica) {
	c.streams.RecordGone(now, originOf(replica))
}

// restoreStreamVersions adds the software versions of the copy to those at which streams may have begun.
func (c *Controller) restoreStreamVersions(versions map[string][]string) {
	c.post(func() {
		c.streams.Restore(c.now(), versions)
		c.log.Info("software-versions-adopted", zap.Int("Pools", len(versions)))
	})
}

// configureStreams sets how long streams can be resumed.
func (c *Controller) configureStreams(routes []routing.Route) {
	longest := time.Duration(0)
	for _, route := range routes {
		if route.Repeat == routing.Resumable {
			longest = max(longest, route.Timeout)
		}
	}
	if longest == 0 {
		longest = defaultTimeout
	}
	c.streams.SetMemory(longest + resumeMargin)
}

// poolsOfSeveralVersions returns the pools whose streams may have begun at several software versions.
func (c *Controller) poolsOfSeveralVersions() []string {
	return slices.DeleteFunc(c.scheduler.Pools(), func(pool string) bool { return !c.hasSeveralVersions(pool) })
}
