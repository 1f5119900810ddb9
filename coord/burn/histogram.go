package burn

import (
	"math/bits"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Geometry of all histograms, in microseconds. Histograms of the same geometry merge without loss.
const (
	lowestUS  = 1
	highestUS = 600_000_000
	// precisionDigits is the number of significant decimal digits of a recorded value.
	precisionDigits = 2
	// subBucketBits is the binary logarithm of the size of a bucket at two digits of precision.
	subBucketBits = 8
	halfBits      = subBucketBits - 1
	halfCount     = 1 << halfBits
	// bucketCount is one more than the index of highestUS.
	bucketCount = (30-subBucketBits+1)<<halfBits + halfCount
)

// NewHistogram returns an empty histogram of latencies in microseconds.
func NewHistogram() *hdr.Histogram { return hdr.New(lowestUS, highestUS, precisionDigits) }

// Buckets are the counts of a histogram by index.
type Buckets []uint64

// bucketIndex returns the index of a latency. Latencies outside the range are clamped to it.
func bucketIndex(d time.Duration) int {
	v := uint64(min(max(d.Microseconds(), 0), highestUS))
	bucket := bits.Len64(v|(1<<subBucketBits-1)) - subBucketBits
	sub := int(v >> bucket)
	return bucket<<halfBits + sub
}

// bucketValue returns the lowest latency of an index, in microseconds.
func bucketValue(index int) int64 {
	if index < 2*halfCount {
		return int64(index)
	}
	bucket := index>>halfBits - 1
	sub := index - bucket<<halfBits
	return int64(sub) << bucket
}

// Histogram returns the histogram that holds the counts.
func (b Buckets) Histogram() *hdr.Histogram {
	h := NewHistogram()
	for index, n := range b {
		if n > 0 {
			// The value lies in the range of the histogram, so the only error of RecordValues cannot occur.
			_ = h.RecordValues(bucketValue(index), int64(n))
		}
	}
	return h
}

// minus returns the increase since earlier buckets of the same series, or nil when there is none.
func (b Buckets) minus(earlier Buckets) Buckets {
	var added Buckets
	for i, n := range b {
		if earlier != nil && n == earlier[i] || n == 0 {
			continue
		}
		if added == nil {
			added = make(Buckets, len(b))
		}
		added[i] = n
		if earlier != nil {
			added[i] -= earlier[i]
		}
	}
	return added
}
