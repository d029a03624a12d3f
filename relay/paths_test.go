package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// recordedPaths are Paths with the changes that were told, and a clock.
type recordedPaths struct {
	*Paths
	now     time.Time
	changes []bool
}

func newRecordedPaths() *recordedPaths {
	r := &recordedPaths{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	r.Paths = NewPaths(func(cutOff bool, _ int) { r.changes = append(r.changes, cutOff) })
	return r
}

// lose records that an upstream does not answer directly and that a peer reaches it.
func (r *recordedPaths) lose(addr string) {
	r.recordDirect(r.now, addr, false)
	r.recordRelayed(r.now, addr)
	r.now = r.now.Add(time.Millisecond)
}

func (r *recordedPaths) reach(addr string) {
	r.recordDirect(r.now, addr, true)
	r.now = r.now.Add(time.Millisecond)
}

func TestPaths(t *testing.T) {
	t.Run("one upstream lost", func(t *testing.T) {
		p := newRecordedPaths()
		p.lose("a")
		assert.True(t, p.Lost(p.now, "a"))
		assert.False(t, p.Lost(p.now, "b"))
		assert.Equal(t, directFirst, p.order(p.now, "b"))
		assert.Equal(t, both, p.order(p.now, "a"), "a probe")
		assert.Equal(t, relayFirst, p.order(p.now, "a"), "no second one so soon")
		assert.Equal(t, both, p.order(p.now.Add(probeInterval), "a"))
		assert.Equal(t, directFirst, p.order(p.now.Add(2*evidencePeriod), "a"), "evidence grows old")
		assert.Empty(t, p.changes)
	})
	t.Run("all upstreams lost", func(t *testing.T) {
		p := newRecordedPaths()
		p.lose("a")
		p.lose("b")
		assert.True(t, p.CutOff())
		assert.True(t, p.Lost(p.now, "c"), "one that was not tried")
		p.reach("c")
		assert.True(t, p.CutOff(), "once is not enough")
		p.reach("a")
		assert.False(t, p.CutOff())
		assert.False(t, p.Lost(p.now, "b"))
		assert.Equal(t, []bool{true, false}, p.changes)
	})
	t.Run("a dead upstream", func(t *testing.T) {
		p := newRecordedPaths()
		for _, addr := range []string{"a", "b", "c"} {
			p.recordDirect(p.now, addr, false)
		}
		assert.False(t, p.CutOff(), "no peer reaches them either")
	})
	t.Run("one is reached between", func(t *testing.T) {
		p := newRecordedPaths()
		p.lose("a")
		p.reach("c")
		p.lose("b")
		assert.False(t, p.CutOff())
	})
	t.Run("slow answers", func(t *testing.T) {
		p := newRecordedPaths()
		p.lose("a")
		p.reach("a")
		p.lose("b")
		p.reach("b")
		assert.False(t, p.CutOff())
		assert.False(t, p.Lost(p.now, "a"))
	})
	t.Run("sound", func(t *testing.T) {
		p := newRecordedPaths()
		assert.False(t, p.Sound(p.now))
		p.reach("a")
		assert.True(t, p.Sound(p.now))
		assert.False(t, p.Sound(p.now.Add(2*evidencePeriod)))
	})
}

// TestPathsAgainstOracle plays VMs whose way to upstreams is cut and restored: while all answers say what is so, Paths never claims a cut
// that there was not within evidencePeriod, and knows one after minLostPaths answers.
func TestPathsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newRecordedPaths()
		cut, cutEver := false, time.Time{}
		lostInARow := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			addr := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "upstream"))
			switch rapid.SampledFrom([]string{"dial", "dial", "dial", "cut", "heal", "wait"}).Draw(t, "step") {
			case "cut":
				cut = true
			case "heal":
				cut = false
				clear(lostInARow)
			case "wait":
				p.now = p.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				clear(lostInARow)
			case "dial":
				if cut {
					cutEver = p.now
					p.lose(addr)
					lostInARow[addr] = true
				} else {
					p.reach(addr)
				}
			}
			if p.CutOff() {
				assert.False(t, cutEver.IsZero(), "a cut without one")
			}
			if len(lostInARow) >= minLostPaths {
				assert.True(t, p.CutOff())
			}
		}
		p.reach("0")
		p.reach("1")
		assert.False(t, p.CutOff(), "upstreams are reached again")
	})
}
