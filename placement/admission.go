package placement

import (
	"slices"
	"time"
)

const (
	// queueShareOfSlack is the queue at which admission aims, as a fraction of the longest one with which targets are met: the
	// slots stay busy while the reports of the queue are on their way.
	queueShareOfSlack = 0.25
	// queueGain is how much more or less than the capacity is let in, as a fraction of it, if nothing waits or if the queue is
	// twice as long as it should be. With reports 0.25 s old, a higher gain fills and empties the queues by turns.
	queueGain = 0.3
	// minCapacityFraction is the fraction of the capacity by work times below which completed calls do not count: at the
	// beginning of a burst, as many have been completed as were received before. Work times are those of calls that found a
	// free slot, among which short ones are overrepresented.
	minCapacityFraction = 0.8
	// minAdmittedFraction is let in in any case, so that no kind of call gets nothing while more urgent ones fill the queues.
	minAdmittedFraction = 0.1
)

// poolLoad is what is known of the load of a pool of plain services.
type poolLoad struct {
	// capacity is the number of calls per second that the replicas complete when all their slots are busy, as follows from the
	// work times, and completed the number that they do complete. If all slots are busy, completed is the better measure.
	capacity, completed float64
	saturated           bool
	// waiting is the number of waiting calls, and bearable the number with which targets are met.
	waiting, bearable float64
}

// admissibleRate returns how many calls per second may be let in: as many as are completed, a few more as long as few wait and
// fewer if more wait than should.
func (l poolLoad) admissibleRate() float64 {
	wanted := max(1, queueShareOfSlack*l.bearable)
	capacity := l.capacity
	if l.saturated {
		capacity = max(l.completed, minCapacityFraction*l.capacity)
	}
	return max(0, capacity*(1+queueGain*(1-l.waiting/wanted)))
}

// admittedFractions returns the fraction of the calls of each priority that is let in, given their rates. The most urgent, with
// the lowest number, are let in first. All VMs compute the same from the same reports, so each may decide by itself, by chance,
// and together they let in what the replicas can do in time.
func admittedFractions(admissible float64, rates map[int]float64) map[int]float64 {
	fractions := make(map[int]float64, len(rates))
	var priorities []int
	for priority := range rates {
		priorities = append(priorities, priority)
	}
	slices.Sort(priorities)
	for _, priority := range priorities {
		rate := rates[priority]
		fraction := 1.0
		if rate > 0 {
			fraction = min(1, max(minAdmittedFraction, admissible/rate))
		}
		fractions[priority] = fraction
		admissible = max(0, admissible-fraction*rate)
	}
	return fractions
}

// poolLoadOf adds up the known loads of replicas. It returns false if none is known.
func (s *Scheduler) poolLoadOf(now time.Time, replicas []*replica, target time.Duration) (poolLoad, bool) {
	total := poolLoad{saturated: true}
	known := 0
	for _, r := range replicas {
		load, told := s.knownLoad(now, r)
		work := r.workTimeAt(load).Seconds()
		if !told || work <= 0 {
			continue
		}
		known++
		total.capacity += float64(load.Slots) / work
		total.waiting += float64(load.Waiting)
		total.saturated = total.saturated && load.Running >= load.Slots
		total.bearable += float64(load.Slots) * max(1, (target-s.serviceDistance(r)).Seconds()/work-1)
	}
	if known == 0 {
		return poolLoad{}, false
	}
	// Replicas of which nothing is known are taken to be like the others.
	scale := float64(len(replicas)) / float64(known)
	total.capacity, total.waiting, total.bearable = total.capacity*scale, total.waiting*scale, total.bearable*scale
	return total, true
}
