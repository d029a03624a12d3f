package share

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReservation measures Take and Close of one reservation for different numbers of open reservations.
func BenchmarkReservation(b *testing.B) {
	for _, open := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			bucket := NewBucket(Limits{Rate: 1e9, Cap: 1e9}, timeAt(0), WithFullBucket())
			for range open {
				bucket.Take(timeAt(0), 1)
			}
			now := timeAt(0)
			for b.Loop() {
				now = now.Add(time.Microsecond)
				res, _ := bucket.Take(now, 100)
				bucket.Close(now, res, 50)
			}
		})
	}
}
