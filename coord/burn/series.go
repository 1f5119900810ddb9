package burn

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrylane.example/core"
)

// Widths of the slots of a series. Slots start at multiples of their width since 1970, so that the slots of all VMs
// are aligned.
const (
	FineWidth   = time.Minute
	CoarseWidth = time.Hour
)

// Spans of time that a series retains before the current slot. Histograms are larger than counts and retained for the
// longest window of the burn rates only.
const (
	fineSpan      = 6 * time.Hour
	coarseSpan    = 31 * 24 * time.Hour
	histogramSpan = 3 * 24 * time.Hour
)

// Slot holds the events recorded in one slot of time.
type Slot struct {
	// Start is the Unix time in seconds at which the slot starts.
	Start  int64  `json:"start"`
	Counts Counts `json:"counts"`
	// HDR is the histogram of latencies in microseconds in the compressed V2 encoding; empty in fine and old slots.
	HDR string `json:"hdr,omitempty"`
}

// slot is a Slot with its histogram, which is open while the slot may grow and encoded afterwards. An open histogram
// takes 24 KB, an encoded one about 2 KB.
type slot struct {
	start   int64
	counts  Counts
	open    *hdr.Histogram
	encoded string
}

// close encodes the histogram. When the encoding fails, the histogram stays open.
func (s *slot) close() error {
	if s.open == nil {
		return nil
	}
	encoded, err := s.open.EncodeV2()
	if err != nil {
		return err
	}
	s.open, s.encoded = nil, string(encoded)
	return nil
}

// encode returns the histogram in its encoded form, or "" when there is none.
func (s *slot) encode() (string, error) {
	if s.open == nil {
		return s.encoded, nil
	}
	encoded, err := s.open.EncodeV2()
	return string(encoded), err
}

// Series keeps the counts of one service on one VM in slots of time. It is not safe for concurrent use.
type Series struct {
	counts  Counts
	buckets Buckets
	fine    []slot
	coarse  []slot
}

// Advance adds the events that a recorder counted since the last call to the slots of the given time. total and buckets
// are the results of Recorder.Read.
func (s *Series) Advance(now time.Time, total Counts, buckets Buckets) {
	added := total.Minus(s.counts)
	addedBuckets := buckets.minus(s.buckets)
	s.counts, s.buckets = total, buckets
	s.expire(now)
	if added == (Counts{}) && addedBuckets == nil {
		return
	}
	fine := openSlot(&s.fine, now, FineWidth)
	fine.counts = fine.counts.Plus(added)
	coarse := openSlot(&s.coarse, now, CoarseWidth)
	coarse.counts = coarse.counts.Plus(added)
	if addedBuckets != nil {
		if coarse.open == nil {
			coarse.open = NewHistogram()
		}
		coarse.open.Merge(addedBuckets.Histogram())
	}
	for i := range len(s.coarse) - 1 {
		// A histogram that could not be encoded stays open; Snapshot reports the error.
		_ = s.coarse[i].close()
	}
}

// expire drops data older than the spans, also when no event was recorded: an idle VM must report the same span as the
// others.
func (s *Series) expire(now time.Time) {
	s.fine = since(s.fine, now.Add(-fineSpan).Truncate(FineWidth))
	s.coarse = since(s.coarse, now.Add(-coarseSpan).Truncate(CoarseWidth))
	oldest := now.Add(-histogramSpan).Truncate(CoarseWidth).Unix()
	for i := range s.coarse {
		if s.coarse[i].start < oldest {
			s.coarse[i].open, s.coarse[i].encoded = nil, ""
		}
	}
}

// since returns the slots that start at or after a time.
func since(slots []slot, oldest time.Time) []slot {
	first := 0
	for first < len(slots) && slots[first].start < oldest.Unix() {
		first++
	}
	return slots[first:]
}

// openSlot returns the slot of a time, or the last slot when the clock was set back.
func openSlot(slots *[]slot, now time.Time, width time.Duration) *slot {
	start := now.Truncate(width).Unix()
	if n := len(*slots); n > 0 && (*slots)[n-1].start >= start {
		return &(*slots)[n-1]
	}
	*slots = append(*slots, slot{start: start})
	return &(*slots)[len(*slots)-1]
}

// Snapshot returns the slots. It fails when a histogram cannot be encoded.
func (s *Series) Snapshot(service core.ServiceName, targets Targets) (ServiceSnapshot, error) {
	snapshot := ServiceSnapshot{Service: service, Targets: targets, Fine: make([]Slot, len(s.fine)), Coarse: make([]Slot, len(s.coarse))}
	for i := range s.fine {
		snapshot.Fine[i] = Slot{Start: s.fine[i].start, Counts: s.fine[i].counts}
	}
	for i := range s.coarse {
		snapshot.Coarse[i] = Slot{Start: s.coarse[i].start, Counts: s.coarse[i].counts}
		encoded, err := s.coarse[i].encode()
		if err != nil {
			return snapshot, core.Errorf(core.CodeInternal, "histogram of service %q: %v", service, err)
		}
		snapshot.Coarse[i].HDR = encoded
	}
	return snapshot, nil
}

// Snapshot holds the events recorded by one process start of one VM.
type Snapshot struct {
	VM          core.VMName        `json:"vm"`
	Incarnation core.Incarnation   `json:"incarnation"`
	Domain      core.FailureDomain `json:"failure_domain"`
	// Since and AsOf are the Unix times in seconds between which the VM recorded.
	Since    int64             `json:"since"`
	AsOf     int64             `json:"as_of"`
	Services []ServiceSnapshot `json:"services"`
}

// ServiceSnapshot holds the events of one service recorded by one VM.
type ServiceSnapshot struct {
	Service core.ServiceName `json:"service"`
	Targets Targets          `json:"targets"`
	// Fine and Coarse are the slots of FineWidth and CoarseWidth that hold events, in order.
	Fine   []Slot `json:"fine"`
	Coarse []Slot `json:"coarse"`
}
