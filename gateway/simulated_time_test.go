package gateway

import "time"

// simEvent is something that happens at a time of the simulation.
type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q *simQueue) Push(e any) { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simLink is a link that sends one message after another.
type simLink struct {
	rate      float64
	busyUntil time.Time
	bytes     int
}

// send returns when a message that is handed over at a time has left the link.
func (l *simLink) send(at time.Time, size int) time.Time {
	l.busyUntil = later(l.busyUntil, at).Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	l.bytes += size
	return l.busyUntil
}

func (l *simLink) wait(at time.Time) time.Duration { return max(0, l.busyUntil.Sub(at)) }
