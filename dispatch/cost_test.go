package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures the dispatcher's work for one request, from Submit to Finish, for several
// numbers of engines, accounts and queued requests.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ prefills, decodes, accounts, queued int }{
		{5, 9, 5, 0}, {5, 9, 5, 500}, {5, 9, 200, 500}, {20, 36, 200, 500}, {80, 144, 200, 500},
	} {
		b.Run(fmt.Sprintf("prefills=%d/decodes=%d/accounts=%d/queued=%d", size.prefills, size.decodes, size.accounts, size.queued), func(b *testing.B) {
			d := newTestDispatcher(size.prefills, size.decodes, 20)
			now := epoch
			for n := range size.queued {
				r := testRequest(fmt.Sprintf("q%d", n), fmt.Sprint("account-", n%size.accounts), now)
				r.Avoid = []string{"p0", "d0"}
				r.FirstTokenDeadline = now.Add(-time.Hour)
				_ = d.Submit(now, r)
			}
			for n := 0; b.Loop(); n++ {
				id := fmt.Sprintf("r%d", n)
				now = now.Add(time.Millisecond)
				_ = d.Submit(now, testRequest(id, fmt.Sprint("account-", n%size.accounts), now))
				d.Poll(now)
				_ = d.PrefillCompleted(now, id)
				d.Poll(now)
				d.Finish(now, id, Result{GapSeconds: 0.04})
			}
		})
	}
}
