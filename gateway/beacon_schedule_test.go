package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// start is the time at which simulations begin.
var start = time.Unix(1_000_000, 0)

// countBeacons returns the number of beacons that a VM with the given number of peers sends in 10 s. change marks what
// has changed before each step of 1 ms.
func countBeacons(peers int, change func(*beaconSchedule)) int {
	b := beaconSchedule{sentAt: start}
	count := 0
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		change(&b)
		if now := start.Add(at); b.dueIn(now, peers) <= 0 {
			b.sentAt, b.dirty, b.tokensSpent = now, false, false
			count++
		}
	}
	return count
}

func TestBeaconSchedule(t *testing.T) {
	alwaysDirty := func(b *beaconSchedule) { b.dirty = true }
	t.Run("an unchanged VM sends at the regular interval", func(t *testing.T) {
		assert.Equal(t, 24, countBeacons(82, func(*beaconSchedule) {}))
	})
	t.Run("few peers hear of a change at once", func(t *testing.T) {
		assert.Greater(t, countBeacons(3, alwaysDirty), 900)
	})
	t.Run("a changing VM sends no more datagrams than the limit, whatever the number of its peers", func(t *testing.T) {
		for _, peers := range []int{6, 30, 82, 94, 160} {
			assert.LessOrEqual(t, countBeacons(peers, alwaysDirty)*peers, 10*maxBeaconDatagrams, "%d peers", peers)
		}
	})
	t.Run("a changing VM is heard at the regular interval, whatever the number of its peers", func(t *testing.T) {
		assert.GreaterOrEqual(t, countBeacons(1700, alwaysDirty), 24)
	})
	t.Run("spent tokens alone are reported at their own interval", func(t *testing.T) {
		assert.Equal(t, 99, countBeacons(6, func(b *beaconSchedule) { b.tokensSpent = true }))
	})
}
