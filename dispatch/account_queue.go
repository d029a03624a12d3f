package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// accountQueue holds the queued requests of one client account.
type accountQueue struct {
	name string
	// virtualTime is the service that the account has received, as cost divided by weight. Accounts with
	// a lower value are served first.
	virtualTime float64
	// timely holds the requests that can still meet their deadlines, late those that cannot. Both are
	// sorted by compareJobs.
	timely []*job
	late   []*job
}

func (q *accountQueue) push(j *job) { q.timely = insertSorted(q.timely, j) }

func insertSorted(jobs []*job, j *job) []*job {
	at, _ := slices.BinarySearchFunc(jobs, j, compareJobs)
	return slices.Insert(jobs, at, j)
}

func (q *accountQueue) empty() bool { return len(q.timely)+len(q.late) == 0 }

// compareJobs orders urgent requests first and then by deadline.
func compareJobs(a, b *job) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(a.FirstTokenDeadline.Compare(b.FirstTokenDeadline), cmp.Compare(a.ID, b.ID))
}

func (q *accountQueue) remove(j *job) {
	q.timely = removeJob(q.timely, j)
	q.late = removeJob(q.late, j)
}

func removeJob(jobs []*job, j *job) []*job {
	if at := slices.Index(jobs, j); at >= 0 {
		return slices.Delete(jobs, at, at+1)
	}
	return jobs
}

// nextTimely returns the first request that can still meet its deadline, or nil. It moves the requests
// before it to the late queue, from which they do not return.
func (q *accountQueue) nextTimely(canMeetDeadline func(*job) bool) *job {
	for len(q.timely) > 0 && !canMeetDeadline(q.timely[0]) {
		q.timely[0].late = true
		q.late = insertSorted(q.late, q.timely[0])
		q.timely = q.timely[1:]
	}
	if len(q.timely) > 0 {
		return q.timely[0]
	}
	return nil
}

// expired returns the requests whose ExpiresAt has passed.
func (q *accountQueue) expired(now time.Time) []*job {
	var found []*job
	for _, jobs := range [][]*job{q.timely, q.late} {
		for _, j := range jobs {
			if now.After(j.ExpiresAt) {
				found = append(found, j)
			}
		}
	}
	return found
}
