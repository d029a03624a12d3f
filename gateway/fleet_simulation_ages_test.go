package gateway

import (
	"fmt"
	"time"

	"github.com/cassiabridge/cassiabridge/peer"
)

// simReading is the newest read of the store that a VM has been told of: when that was by the ages of the messages, and how long these
// were on the links, which no receiver knows.
type simReading struct {
	at        time.Time
	inTransit time.Duration
}

// hear keeps a reading if it is newer than the known one.
func (r *simReading) hear(at time.Time, inTransit time.Duration) {
	if at.After(r.at) {
		*r = simReading{at: at, inTransit: inTransit}
	}
}

// hearAges keeps what a message that arrives at a time says of the last read of the list and the last check. The sender knew the given
// readings, and the message was on links for a time.
func (v *simVM) hearAges(b peer.Beacon, at time.Time, list, check simReading, link time.Duration) {
	if b.ListAge >= 0 {
		v.listReading.hear(at.Add(-b.ListAge), list.inTransit+link)
	}
	if b.List != nil && b.List.Age >= 0 {
		v.listReading.hear(at.Add(-b.List.Age), list.inTransit+link)
	}
	if b.CheckAge >= 0 {
		v.checkReading.hear(at.Add(-b.CheckAge), check.inTransit+link)
	}
}

// checkAges records a message that tells of a later read or check than there has been, but for the time that what it tells was on links.
func (f *simFleet) checkAges(v *simVM, b peer.Beacon) {
	tooYoung := func(age time.Duration, last time.Time, known simReading) bool {
		return age >= 0 && f.now.Add(-age-known.inTransit-simAgeUnit).After(last)
	}
	list := tooYoung(b.ListAge, f.listReadAt, v.listReading) || b.List != nil && tooYoung(b.List.Age, f.listReadAt, v.listReading)
	if list || tooYoung(b.CheckAge, f.checkedAt, v.checkReading) {
		f.tooYoung = append(f.tooYoung, fmt.Sprintf("%v: %s %s list %v, %v ago, on links for %v, check %v, %v ago, on links for %v", f.now.Sub(f.start), v.self.VM, b.Scope,
			b.ListAge, f.now.Sub(f.listReadAt), v.listReading.inTransit, b.CheckAge, f.now.Sub(f.checkedAt), v.checkReading.inTransit))
	}
}
