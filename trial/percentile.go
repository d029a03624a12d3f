package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// percentile returns the duration below which the given fraction of the values lies.
func percentile(values []time.Duration, fraction float64) time.Duration {
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, v := range values {
		_ = h.RecordValue(max(1, v.Microseconds()))
	}
	return time.Duration(h.ValueAtPercentile(fraction*100)) * time.Microsecond
}
