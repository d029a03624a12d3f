package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// percentile returns the duration below which a part of the values lies.
func percentile(values []time.Duration, part float64) time.Duration {
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, v := range values {
		_ = h.RecordValue(max(1, v.Microseconds()))
	}
	return time.Duration(h.ValueAtPercentile(part*100)) * time.Microsecond
}
