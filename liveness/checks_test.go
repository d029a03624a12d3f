package liveness

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestCheckThatBeganEarlierTellsOfAnEnd guards against a check of a process that began before the end for which it is asked, and against
// many at a time.
func TestCheckThatBeganEarlierTellsOfAnEnd(t *testing.T) {
	t.Parallel()
	var checks Checks
	var mu sync.Mutex
	begun, atOnce := 0, 0
	ask := func() Answer {
		mu.Lock()
		begun++
		atOnce++
		n, alone := begun, atOnce == 1
		mu.Unlock()
		assert.True(t, alone, "one at a time")
		time.Sleep(2 * time.Millisecond)
		mu.Lock()
		atOnce--
		mu.Unlock()
		return Answer{Born: int64(n)}
	}
	const callers = 200
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(n%20) * time.Millisecond)
			mu.Lock()
			before := begun
			mu.Unlock()
			check, start := checks.join("r")
			if start {
				go checks.run("r", ask)
			}
			<-check.done
			assert.Greater(t, check.answer.Born, int64(before), "the check began later")
		})
	}
	wg.Wait()
	assert.Less(t, begun, callers/2, "callers share checks")
}
