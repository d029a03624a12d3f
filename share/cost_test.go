package share

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReservation measures one reservation and its end, by number of open ones.
func BenchmarkReservation(b *testing.B) {
	for _, open := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			bucket := NewBucket(Terms{Rate: 1e9, Cap: 1e9}, at(0), WithFull())
			for range open {
				bucket.Take(at(0), 1)
			}
			now := at(0)
			for b.Loop() {
				now = now.Add(time.Microsecond)
				res, _ := bucket.Take(now, 100)
				bucket.Close(now, res, 50)
			}
		})
	}
}
