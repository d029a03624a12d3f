package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// accountQueue holds the waiting requests of one client account.
type accountQueue struct {
	name string
	// served is the virtual time up to which the account was served, in cost per weight.
	served float64
	jobs   []*job
}

func (q *accountQueue) push(j *job) {
	at, _ := slices.BinarySearchFunc(q.jobs, j, compareJobs)
	q.jobs = slices.Insert(q.jobs, at, j)
}

// compareJobs orders urgent requests first and then by deadline.
func compareJobs(a, b *job) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(a.FirstTokenBy.Compare(b.FirstTokenBy), cmp.Compare(a.ID, b.ID))
}

func (q *accountQueue) remove(j *job) {
	if at := slices.Index(q.jobs, j); at >= 0 {
		q.jobs = slices.Delete(q.jobs, at, at+1)
	}
}

// next returns the first request that can still meet its deadline, and the first that cannot.
func (q *accountQueue) next(inTime func(*job) bool) (timely, late *job) {
	for _, j := range q.jobs {
		if inTime(j) {
			return j, late
		}
		if late == nil {
			late = j
		}
	}
	return nil, late
}

// expired returns the requests that have waited too long.
func (q *accountQueue) expired(now time.Time) []*job {
	var found []*job
	for _, j := range q.jobs {
		if now.After(j.GiveUpAt) {
			found = append(found, j)
		}
	}
	return found
}
