package burn

import (
	"sync/atomic"
	"time"
)

// Fields of a stripe, in the order in which Record adds to them.
const (
	fieldRequests = iota
	fieldCompleted
	fieldTimely
	fieldRequested
	fieldCovered
	fieldExcluded
	fieldCount
)

// cacheLineBytes is the padding that keeps two stripes from sharing a cache line.
const cacheLineBytes = 64

// stripe holds one set of the counters.
type stripe struct {
	fields  [fieldCount]atomic.Uint64
	buckets [bucketCount]atomic.Uint64
	_       [cacheLineBytes]byte
}

// Recorder counts the events of one service. Record takes no lock; the stripes keep processors from contending for the
// same cache lines.
type Recorder struct {
	latency time.Duration
	stripes []stripe
}

// NewRecorder returns a recorder for the latency of an objective. The number of stripes is rounded up to a power of
// two.
func NewRecorder(latency time.Duration, stripes int) *Recorder {
	n := 1
	for n < stripes {
		n *= 2
	}
	return &Recorder{latency: latency, stripes: make([]stripe, n)}
}

// Record counts one event. hint selects the stripe; a random number spreads the load.
func (r *Recorder) Record(hint uint32, e Event) {
	s := &r.stripes[int(hint)&(len(r.stripes)-1)]
	counts := Classify(e, r.latency)
	for field, n := range [fieldCount]uint64{
		counts.Requests, counts.Completed, counts.Timely, counts.ShardsRequested, counts.ShardsCovered, counts.Excluded,
	} {
		if n > 0 {
			s.fields[field].Add(n)
		}
	}
	if counts.Completed > 0 {
		s.buckets[bucketIndex(e.Latency)].Add(1)
	}
}

// Read returns the totals recorded so far. Fields are read in the reverse order of their writes, so that a concurrently
// recorded event is never counted as completed without being counted as a request.
func (r *Recorder) Read() (Counts, Buckets) {
	var total [fieldCount]uint64
	buckets := make(Buckets, bucketCount)
	for i := range r.stripes {
		s := &r.stripes[i]
		for b := range s.buckets {
			buckets[b] += s.buckets[b].Load()
		}
		for field := fieldCount - 1; field >= 0; field-- {
			total[field] += s.fields[field].Load()
		}
	}
	return Counts{
		Requests: total[fieldRequests], Completed: total[fieldCompleted], Timely: total[fieldTimely],
		ShardsRequested: total[fieldRequested], ShardsCovered: total[fieldCovered], Excluded: total[fieldExcluded],
	}, buckets
}
