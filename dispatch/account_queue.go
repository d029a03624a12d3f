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
	// jobs can still meet their deadlines, late cannot. Both are in the order of compareJobs.
	jobs []*job
	late []*job
}

func (q *accountQueue) push(j *job) { q.jobs = insert(q.jobs, j) }

func insert(jobs []*job, j *job) []*job {
	at, _ := slices.BinarySearchFunc(jobs, j, compareJobs)
	return slices.Insert(jobs, at, j)
}

func (q *accountQueue) empty() bool { return len(q.jobs)+len(q.late) == 0 }

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
	q.jobs = without(q.jobs, j)
	q.late = without(q.late, j)
}

func without(jobs []*job, j *job) []*job {
	if at := slices.Index(jobs, j); at >= 0 {
		return slices.Delete(jobs, at, at+1)
	}
	return jobs
}

// nextTimely returns the first request that can still meet its deadline. One that is found late stays
// so.
func (q *accountQueue) nextTimely(inTime func(*job) bool) *job {
	for len(q.jobs) > 0 && !inTime(q.jobs[0]) {
		q.jobs[0].late = true
		q.late = insert(q.late, q.jobs[0])
		q.jobs = q.jobs[1:]
	}
	if len(q.jobs) > 0 {
		return q.jobs[0]
	}
	return nil
}

// expired returns the requests that have waited too long.
func (q *accountQueue) expired(now time.Time) []*job {
	var found []*job
	for _, jobs := range [][]*job{q.jobs, q.late} {
		for _, j := range jobs {
			if now.After(j.GiveUpAt) {
				found = append(found, j)
			}
		}
	}
	return found
}
