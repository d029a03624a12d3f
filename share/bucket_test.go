package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func assertTokens(t *testing.T, want, got float64) {
	t.Helper()
	assert.InDelta(t, want, got, 1e-6)
}

func TestBucket(t *testing.T) {
	t.Run("refills to its cap", func(t *testing.T) {
		b := NewBucket(Terms{Rate: 10, Cap: 50}, at(0))
		assertTokens(t, 20, b.Available(at(2)))
		assertTokens(t, 50, b.Available(at(100)))
	})
	t.Run("no inflow before the time given", func(t *testing.T) {
		b := NewBucket(Terms{Rate: 10, Cap: 50}, at(0), WithInflowFrom(at(3)))
		assertTokens(t, 0, b.Available(at(3)))
		assertTokens(t, 10, b.Available(at(4)))
	})
	t.Run("a loan takes room until it is settled", func(t *testing.T) {
		b := NewBucket(Terms{Rate: 10, Cap: 50}, at(0), WithFull())
		assertTokens(t, 30, b.Lend(at(0), "l", 30, 0, time.Second))
		assertTokens(t, 20, b.Available(at(0.5)))
		b.Settle(at(0.5), "l", 5)
		assertTokens(t, 25, b.Available(at(0.5)))
	})
	t.Run("asking again for a loan lends nothing more", func(t *testing.T) {
		b := NewBucket(Terms{Rate: 0, Cap: 50}, at(0), WithFull())
		assertTokens(t, 30, b.Lend(at(0), "l", 30, 0, time.Second))
		assertTokens(t, 30, b.Lend(at(0.1), "l", 30, 0, time.Second))
		assertTokens(t, 20, b.Available(at(0.1)))
	})
	t.Run("a lapsed loan cannot be spent", func(t *testing.T) {
		b := NewBucket(Terms{Rate: 0, Cap: 0}, at(0))
		b.Borrow(at(0), Loan{ID: "l", Amount: 10, Until: at(1)})
		_, ok := b.Take(at(1), 1)
		assert.False(t, ok)
	})
	t.Run("unused tokens go back only as far as there was room", func(t *testing.T) {
		b := NewBucket(Terms{Rate: 10, Cap: 50}, at(0), WithFull())
		res, _ := b.Take(at(0), 40)
		b.Close(at(3), res, 10)
		assertTokens(t, 50, b.Available(at(3)))
		res, _ = b.Take(at(3), 40)
		b.Available(at(10))
		other, _ := b.Take(at(10), 50)
		b.Close(at(10), res, 0)
		assertTokens(t, 0, b.Available(at(10)))
		b.Close(at(10), other, 50)
	})
}

const (
	fuzzRate  = 100.0
	fuzzBurst = 200.0
	fuzzSlots = 8
	fuzzTerm  = time.Second
)

// network is several buckets that lend to each other over messages that may be lost or late.
type network struct {
	now      time.Time
	buckets  []*Bucket
	slots    []int
	nextLoan int
	open     []openReservation
	admitted []admission
	inFlight []message
}

type openReservation struct {
	bucket int
	res    Reservation
	at     int
}

type admission struct {
	at     time.Time
	tokens float64
}

// message is a loan on its way to its borrower, or a return on its way to its lender.
type message struct {
	to     int
	loan   *Loan
	ret    *Return
	bucket *Bucket
}

func terms(slots int) Terms {
	part := float64(slots) / fuzzSlots
	return Terms{Rate: fuzzRate * part, Cap: fuzzBurst * part}
}

func newNetwork() *network {
	n := &network{now: epoch, slots: []int{3, 3, 2}}
	for _, slots := range n.slots {
		n.buckets = append(n.buckets, NewBucket(terms(slots), n.now, WithFull()))
	}
	return n
}

func (n *network) step(t *rapid.T) {
	who := rapid.IntRange(0, len(n.buckets)-1).Draw(t, "who")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1, 2:
		part := rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(t, "part")
		n.take(who, part*n.buckets[who].Available(n.now))
	case 3, 4:
		millis := rapid.SampledFrom([]int{1, 50, 300, 700, 2500}).Draw(t, "millis")
		n.now = n.now.Add(time.Duration(millis) * time.Millisecond)
	case 5:
		n.ask(who, rapid.SampledFrom([]float64{10, 50, 200}).Draw(t, "want"))
	case 6:
		n.deliver(rapid.IntRange(0, 20).Draw(t, "message"), rapid.Bool().Draw(t, "lost"))
	case 7:
		n.closeOne(rapid.IntRange(0, 20).Draw(t, "reservation"), rapid.Float64Range(0, 1).Draw(t, "used"))
	case 8:
		for _, r := range n.buckets[who].EndLoans(n.now, rapid.Bool().Draw(t, "idle")) {
			n.inFlight = append(n.inFlight, message{ret: &r, bucket: n.lender(r.Lender)})
		}
	case 9:
		if rapid.Bool().Draw(t, "restart") {
			n.restart(who)
		} else {
			n.moveSlot(who, rapid.IntRange(0, len(n.buckets)-1).Draw(t, "to"))
		}
	}
}

func (n *network) take(who int, tokens float64) {
	if res, ok := n.buckets[who].Take(n.now, tokens); ok {
		n.admitted = append(n.admitted, admission{at: n.now, tokens: tokens})
		n.open = append(n.open, openReservation{bucket: who, res: res, at: len(n.admitted) - 1})
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

// ask lends from the next bucket; the loan's term counts from before it was asked for.
func (n *network) ask(who int, want float64) {
	lender := n.buckets[(who+1)%len(n.buckets)]
	n.nextLoan++
	id := fmt.Sprint(n.nextLoan)
	until := n.now.Add(fuzzTerm)
	amount := lender.Lend(n.now, id, want, 0, fuzzTerm)
	n.inFlight = append(n.inFlight, message{to: who, loan: &Loan{ID: id, Lender: fmt.Sprintf("%p", lender), Amount: amount, Until: until}, bucket: n.buckets[who]})
}

func (n *network) deliver(which int, lost bool) {
	if len(n.inFlight) == 0 {
		return
	}
	which %= len(n.inFlight)
	m := n.inFlight[which]
	n.inFlight = append(n.inFlight[:which:which], n.inFlight[which+1:]...)
	switch {
	case lost || m.bucket == nil:
	case m.loan != nil:
		m.bucket.Borrow(n.now, *m.loan)
	default:
		m.bucket.Settle(n.now, m.ret.ID, m.ret.Left)
	}
}

func (n *network) closeOne(which int, used float64) {
	if len(n.open) == 0 {
		return
	}
	which %= len(n.open)
	r := n.open[which]
	n.open = append(n.open[:which:which], n.open[which+1:]...)
	n.buckets[r.bucket].Close(n.now, r.res, used*r.res.Total)
	n.admitted[r.at].tokens *= used
}

// restart replaces a bucket as a new run of the process does: empty, and without inflow until the
// longest loan of its forerunner has ended.
func (n *network) restart(who int) {
	n.buckets[who] = NewBucket(terms(n.slots[who]), n.now, WithInflowFrom(n.now.Add(fuzzTerm+2*driftMargin)))
	var open []openReservation
	for _, r := range n.open {
		if r.bucket != who {
			open = append(open, r)
		}
	}
	n.open = open
}

func (n *network) moveSlot(from, to int) {
	if from == to || n.slots[from] == 0 || !n.buckets[from].CanShrink(n.now, terms(n.slots[from]-1)) {
		return
	}
	n.slots[from]--
	n.slots[to]++
	n.buckets[from].SetTerms(n.now, terms(n.slots[from]))
	n.buckets[to].SetTerms(n.now, terms(n.slots[to]))
}

// checkWindows is the oracle: in no window may more be admitted than burst + rate × window.
func (n *network) checkWindows(t *rapid.T) {
	for i := range n.admitted {
		total := 0.0
		for j := i; j < len(n.admitted); j++ {
			total += n.admitted[j].tokens
			bound := fuzzBurst + fuzzRate*n.admitted[j].at.Sub(n.admitted[i].at).Seconds()
			if total > bound+1e-6 {
				t.Fatalf("%.3f tokens were admitted from %s to %s, bound %.3f", total, n.admitted[i].at, n.admitted[j].at, bound)
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
		// What is held in the end is spent at once.
		for who := range n.buckets {
			n.take(who, n.buckets[who].Available(n.now))
		}
		n.checkWindows(t)
	})
}
