package integration

import (
	"net/http"
	"sync"
	"time"
)

// sentRequest is a request that was sent in the background, with its response.
type sentRequest struct {
	sentAt   time.Time
	response siteResponse
}

// sendRepeatedly sends the requests that newRequest returns to all VMs by turns until the time is over, and returns them
// when all have ended.
func (s *site) sendRepeatedly(interval, duration time.Duration, newRequest func(n int) siteRequest) []sentRequest {
	var (
		mu   sync.Mutex
		sent []sentRequest
		wg   sync.WaitGroup
	)
	start := time.Now()
	for n := 0; time.Since(start) < duration; n++ {
		wg.Go(func() {
			r := sentRequest{sentAt: time.Now()}
			r.response = s.send(s.vms[n%len(s.vms)], newRequest(n))
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, r)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return sent
}

// served reports whether the caller got a complete and successful response.
func (r sentRequest) served() bool { return r.response.complete && r.response.status == http.StatusOK }

// countServed returns how many of the requests that were sent after a time were served, and how many there are.
func countServed(sent []sentRequest, after time.Time) (served, total int) {
	for _, r := range sent {
		if !r.sentAt.After(after) {
			continue
		}
		total++
		if r.served() {
			served++
		}
	}
	return served, total
}
