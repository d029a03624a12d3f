package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/liveness"
)

// TestProcessThatStartedAgainKeepsItsVersion guards against answers of a process that has started again that count as of the software
// version of the one before, and against a doubt that lasts although the process lives.
func TestProcessThatStartedAgainKeepsItsVersion(t *testing.T) {
	const period, tick = liveness.RestartNoticePeriod, time.Millisecond
	const found = 20 * time.Second
	renew := func(s *Scheduler, version string, now time.Duration) {
		r, _ := s.Replica("d0")
		if r.SoftwareVersion != version {
			s.MarkVersionChanged(at(now), "d0")
		}
		s.Renew("d0")
		r.SoftwareVersion = version
		s.SetReplica(r)
	}
	for name, c := range map[string]struct {
		find func(s *Scheduler)
		// doubted holds whether answers that began then are of an unknown version.
		doubted map[time.Duration]bool
		// usable is whether requests that are held to the version are placed there.
		usable bool
	}{
		"ended":     {func(s *Scheduler) { s.RecordProcess(at(found), "d0", liveness.Finding{State: liveness.Refuses}) }, map[time.Duration]bool{found - tick: false, found + tick: true}, false},
		"restarted": {func(s *Scheduler) { s.RecordProcess(at(found), "d0", liveness.Finding{State: liveness.Restarted}) }, map[time.Duration]bool{found - period - tick: false, found - period + tick: true, found: true}, false},
		"ended, then restarted": {func(s *Scheduler) {
			s.RecordProcess(at(found-tick), "d0", liveness.Finding{State: liveness.Refuses})
			s.RecordProcess(at(found), "d0", liveness.Finding{State: liveness.Restarted})
		}, map[time.Duration]bool{found - period - tick: false, found - period + tick: true}, false},
		"silent, then living": {func(s *Scheduler) {
			s.RecordProcess(at(found-tick), "d0", liveness.Finding{State: liveness.Refuses})
			s.RecordProcess(at(found), "d0", liveness.Finding{State: liveness.Lives})
		}, map[time.Duration]bool{found - tick: false, found: false}, true},
		"renewed with another version": {func(s *Scheduler) { renew(s, "v2", found) }, map[time.Duration]bool{found - period - tick: false, found - period: true, found - tick: true, found: false}, true},
		"ended long before it is renewed with another version": {func(s *Scheduler) {
			s.RecordProcess(at(found-2*period), "d0", liveness.Finding{State: liveness.Refuses})
			renew(s, "v2", found)
		}, map[time.Duration]bool{found - 2*period - tick: false, found - 2*period: true, found: false}, true},
		"renewed with the same version": {func(s *Scheduler) {
			s.RecordProcess(at(found), "d0", liveness.Finding{State: liveness.Restarted})
			renew(s, "", found)
		}, map[time.Duration]bool{found - tick: false, found: false}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler(1, 1)
			c.find(s)
			for began, doubted := range c.doubted {
				assert.Equal(t, doubted, s.VersionDoubted(at(found+tick), "d0", at(began)), "an answer that began at %s", began)
			}
			listed, _ := s.Replica("d0")
			usable := s.candidates(at(found+tick), criteria{pool: listed.Pool, stage: StageDecode, versions: VersionLimit{Limited: true, Version: listed.SoftwareVersion}})
			assert.Equal(t, c.usable, len(usable) == 1)
		})
	}
}
