package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1_800_000_000, 0)

func timeAt(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

func assertTokens(t *testing.T, want, got float64) {
	t.Helper()
	assert.InDelta(t, want, got, 1e-6)
}

func TestBucket(t *testing.T) {
	t.Run("refills up to its cap", func(t *testing.T) {
		b := NewBucket(Limits{Rate: 10, Cap: 50}, timeAt(0))
		assertTokens(t, 20, b.Available(timeAt(2)))
		assertTokens(t, 50, b.Available(timeAt(100)))
	})
	t.Run("no refill before the given time", func(t *testing.T) {
		b := NewBucket(Limits{Rate: 10, Cap: 50}, timeAt(0), WithRefillFrom(timeAt(3)))
		assertTokens(t, 0, b.Available(timeAt(3)))
		assertTokens(t, 10, b.Available(timeAt(4)))
	})
	t.Run("a loan occupies capacity until it is settled", func(t *testing.T) {
		b := NewBucket(Limits{Rate: 10, Cap: 50}, timeAt(0), WithFullBucket())
		assertTokens(t, 30, b.Lend(timeAt(0), "l", 30, 0, time.Second))
		assertTokens(t, 20, b.Available(timeAt(0.5)))
		b.Settle(timeAt(0.5), "l", 5)
		assertTokens(t, 25, b.Available(timeAt(0.5)))
	})
	t.Run("a repeated loan request lends nothing more", func(t *testing.T) {
		b := NewBucket(Limits{Rate: 0, Cap: 50}, timeAt(0), WithFullBucket())
		assertTokens(t, 30, b.Lend(timeAt(0), "l", 30, 0, time.Second))
		assertTokens(t, 30, b.Lend(timeAt(0.1), "l", 30, 0, time.Second))
		assertTokens(t, 20, b.Available(timeAt(0.1)))
	})
	t.Run("an expired loan cannot be spent", func(t *testing.T) {
		b := NewBucket(Limits{Rate: 0, Cap: 0}, timeAt(0))
		b.Borrow(timeAt(0), Loan{ID: "l", Amount: 10, Until: timeAt(1)})
		_, ok := b.Take(timeAt(1), 1)
		assert.False(t, ok)
	})
	t.Run("unused tokens are returned only up to the free capacity", func(t *testing.T) {
		b := NewBucket(Limits{Rate: 10, Cap: 50}, timeAt(0), WithFullBucket())
		res, _ := b.Take(timeAt(0), 40)
		b.Close(timeAt(3), res, 10)
		assertTokens(t, 50, b.Available(timeAt(3)))
		res, _ = b.Take(timeAt(3), 40)
		b.Available(timeAt(10))
		other, _ := b.Take(timeAt(10), 50)
		b.Close(timeAt(10), res, 0)
		assertTokens(t, 0, b.Available(timeAt(10)))
		b.Close(timeAt(10), other, 50)
	})
}

const (
	fuzzRate  = 100.0
	fuzzBurst = 200.0
	fuzzSlots = 8
	fuzzTerm  = time.Second
)

// network simulates buckets that lend to each other over messages that may be delayed or lost.
type network struct {
	now      time.Time
	buckets  []*Bucket
	slots    []int
	nextLoan int
	open     []openReservation
	admitted []admission
	inFlight []message
}

// openReservation is a reservation that was not closed yet, with the indexes of its bucket and its admission.
type openReservation struct {
	bucketIndex    int
	res            Reservation
	admissionIndex int
}

type admission struct {
	at     time.Time
	tokens float64
}

// message is a loan in flight to its borrower, or a return in flight to its lender.
type message struct {
	toIndex    int
	loan       *Loan
	loanReturn *LoanReturn
	bucket     *Bucket
}

func limitsForSlots(slots int) Limits {
	fraction := float64(slots) / fuzzSlots
	return Limits{Rate: fuzzRate * fraction, Cap: fuzzBurst * fraction}
}

func newNetwork() *network {
	n := &network{now: startTime, slots: []int{3, 3, 2}}
	for _, slots := range n.slots {
		n.buckets = append(n.buckets, NewBucket(limitsForSlots(slots), n.now, WithFullBucket()))
	}
	return n
}

func (n *network) step(t *rapid.T) {
	index := rapid.IntRange(0, len(n.buckets)-1).Draw(t, "bucket")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		fraction := rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(t, "fraction")
		n.take(index, fraction*n.buckets[index].Available(n.now))
	case 3, 4:
		millis := rapid.SampledFrom([]int{1, 50, 300, 700, 2500}).Draw(t, "millis")
		n.now = n.now.Add(time.Duration(millis) * time.Millisecond)
	case 5:
		n.requestLoan(index, rapid.SampledFrom([]float64{10, 50, 200}).Draw(t, "want"))
	case 6:
		n.deliver(rapid.IntRange(0, 20).Draw(t, "message"), rapid.Bool().Draw(t, "lost"))
	case 7:
		n.closeReservation(rapid.IntRange(0, 20).Draw(t, "reservation"), rapid.Float64Range(0, 1).Draw(t, "used"))
	case 8:
		for _, r := range n.buckets[index].EndLoans(n.now, rapid.Bool().Draw(t, "idle")) {
			n.inFlight = append(n.inFlight, message{loanReturn: &r, bucket: n.lender(r.Lender)})
		}
	case 9:
		if rapid.Bool().Draw(t, "restart") {
			n.restart(index)
		} else {
			n.moveSlot(index, rapid.IntRange(0, len(n.buckets)-1).Draw(t, "to"))
		}
	}
}

func (n *network) take(index int, tokens float64) {
	if res, ok := n.buckets[index].Take(n.now, tokens); ok {
		n.admitted = append(n.admitted, admission{at: n.now, tokens: tokens})
		n.open = append(n.open, openReservation{bucketIndex: index, res: res, admissionIndex: len(n.admitted) - 1})
	}
}

func (n *network) lender(name string) *Bucket {
	for _, b := range n.buckets {
		if fmt.Sprintf("%p", b) == name {
			return b
		}
	}
	return nil
}

// requestLoan borrows from the next bucket. The term of the loan starts before the request is sent.
func (n *network) requestLoan(index int, want float64) {
	lender := n.buckets[(index+1)%len(n.buckets)]
	n.nextLoan++
	id := fmt.Sprint(n.nextLoan)
	until := n.now.Add(fuzzTerm)
	amount := lender.Lend(n.now, id, want, 0, fuzzTerm)
	n.inFlight = append(n.inFlight, message{toIndex: index, loan: &Loan{ID: id, Lender: fmt.Sprintf("%p", lender), Amount: amount, Until: until}, bucket: n.buckets[index]})
}

func (n *network) deliver(index int, lost bool) {
	if len(n.inFlight) == 0 {
		return
	}
	index %= len(n.inFlight)
	m := n.inFlight[index]
	n.inFlight = append(n.inFlight[:index:index], n.inFlight[index+1:]...)
	switch {
	case lost || m.bucket == nil:
	case m.loan != nil:
		m.bucket.Borrow(n.now, *m.loan)
	default:
		m.bucket.Settle(n.now, m.loanReturn.ID, m.loanReturn.Left)
	}
}

func (n *network) closeReservation(index int, used float64) {
	if len(n.open) == 0 {
		return
	}
	index %= len(n.open)
	r := n.open[index]
	n.open = append(n.open[:index:index], n.open[index+1:]...)
	n.buckets[r.bucketIndex].Close(n.now, r.res, used*r.res.Total)
	n.admitted[r.admissionIndex].tokens *= used
}

// restart replaces a bucket as a process restart does: the new bucket is empty and does not refill until the longest
// possible loan of the old one has ended.
func (n *network) restart(index int) {
	n.buckets[index] = NewBucket(limitsForSlots(n.slots[index]), n.now, WithRefillFrom(n.now.Add(fuzzTerm+2*driftMargin)))
	var open []openReservation
	for _, r := range n.open {
		if r.bucketIndex != index {
			open = append(open, r)
		}
	}
	n.open = open
}

func (n *network) moveSlot(from, to int) {
	if from == to || n.slots[from] == 0 || !n.buckets[from].CanShrink(n.now, limitsForSlots(n.slots[from]-1)) {
		return
	}
	n.slots[from]--
	n.slots[to]++
	n.buckets[from].SetLimits(n.now, limitsForSlots(n.slots[from]))
	n.buckets[to].SetLimits(n.now, limitsForSlots(n.slots[to]))
}

// checkWindows checks that no window admits more than burst + rate × window.
func (n *network) checkWindows(t *rapid.T) {
	for i := range n.admitted {
		total := 0.0
		for j := i; j < len(n.admitted); j++ {
			total += n.admitted[j].tokens
			bound := fuzzBurst + fuzzRate*n.admitted[j].at.Sub(n.admitted[i].at).Seconds()
			if total > bound+1e-6 {
				t.Fatalf("%.3f tokens admitted from %s to %s, want at most %.3f", total, n.admitted[i].at, n.admitted[j].at, bound)
			}
		}
	}
}

func TestBucketsStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork()
		steps := rapid.IntRange(5, 80).Draw(t, "steps")
		for range steps {
			n.step(t)
		}
		// Spend all remaining tokens at once.
		for index := range n.buckets {
			n.take(index, n.buckets[index].Available(n.now))
		}
		n.checkWindows(t)
	})
}
