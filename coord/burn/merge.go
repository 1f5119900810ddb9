package burn

import (
	"maps"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"gooseberrylane.example/core"
)

// Fleet is the sum of the snapshots of many VMs.
type Fleet struct {
	Services map[core.ServiceName]*ServiceTotals
	// TargetConflicts lists services for which VMs have different targets; the totals then combine events that were
	// measured against different latencies.
	TargetConflicts []core.ServiceName
}

// ServiceTotals are the slots of one service over the fleet, by start time.
type ServiceTotals struct {
	Targets      Targets
	fine, coarse map[int64]Counts
	histograms   map[int64]*hdr.Histogram
}

// process identifies one process start of a VM.
type process struct {
	vm          core.VMName
	incarnation core.Incarnation
}

// slotKey identifies a slot of one service in the snapshots of one process.
type slotKey struct {
	process
	service core.ServiceName
	start   int64
}

// Merge sums snapshots. Snapshots of one process start may overlap, such as an archived one and a newer one: of each
// slot, the copy with the most events is used, because a slot only grows. The error is a *core.Error with
// CodeBadRequest for a histogram that cannot be decoded.
func Merge(snapshots []Snapshot) (*Fleet, error) {
	fine, coarse := make(map[slotKey]Slot), make(map[slotKey]Slot)
	fleet := &Fleet{Services: make(map[core.ServiceName]*ServiceTotals)}
	conflicts := make(map[core.ServiceName]bool)
	newest := make(map[core.ServiceName]int64)
	for i := range snapshots {
		from := process{snapshots[i].VM, snapshots[i].Incarnation}
		for j := range snapshots[i].Services {
			service := &snapshots[i].Services[j]
			keepLargest(fine, from, service.Service, service.Fine)
			keepLargest(coarse, from, service.Service, service.Coarse)
			totals := fleet.Services[service.Service]
			if totals == nil {
				totals = &ServiceTotals{Targets: service.Targets, fine: map[int64]Counts{}, coarse: map[int64]Counts{}, histograms: map[int64]*hdr.Histogram{}}
				fleet.Services[service.Service] = totals
			}
			if totals.Targets != service.Targets {
				conflicts[service.Service] = true
			}
			if snapshots[i].AsOf > newest[service.Service] {
				newest[service.Service], totals.Targets = snapshots[i].AsOf, service.Targets
			}
		}
	}
	fleet.TargetConflicts = slices.Sorted(maps.Keys(conflicts))
	for key, s := range fine {
		totals := fleet.Services[key.service]
		totals.fine[key.start] = totals.fine[key.start].Plus(s.Counts)
	}
	for key, s := range coarse {
		if err := fleet.Services[key.service].addCoarse(&s); err != nil {
			return nil, core.Errorf(core.CodeBadRequest, "histogram of VM %q, service %q, slot %d: %v", key.vm, key.service, key.start, err)
		}
	}
	return fleet, nil
}

// keepLargest adds slots of one process, and replaces copies that have fewer events.
func keepLargest(slots map[slotKey]Slot, from process, service core.ServiceName, added []Slot) {
	for _, s := range added {
		key := slotKey{from, service, s.Start}
		old, held := slots[key]
		if !held || s.Counts.Events() > old.Counts.Events() || (s.Counts == old.Counts && len(old.HDR) == 0) {
			slots[key] = s
		}
	}
}

func (t *ServiceTotals) addCoarse(s *Slot) error {
	t.coarse[s.Start] = t.coarse[s.Start].Plus(s.Counts)
	if len(s.HDR) == 0 {
		return nil
	}
	histogram, err := hdr.Decode([]byte(s.HDR))
	if err != nil {
		return err
	}
	if t.histograms[s.Start] == nil {
		t.histograms[s.Start] = NewHistogram()
	}
	if dropped := t.histograms[s.Start].Merge(histogram); dropped > 0 {
		return core.Errorf(core.CodeBadRequest, "%d values are outside the range of the histogram", dropped)
	}
	return nil
}

// Window returns the counts from the slot of now-window up to the slot of now, so it covers up to one slot more than
// the window. It uses fine slots for windows within their span.
func (t *ServiceTotals) Window(now time.Time, window time.Duration) Counts {
	slots, width := t.fine, FineWidth
	if window > fineSpan {
		slots, width = t.coarse, CoarseWidth
	}
	return sum(slots, now.Add(-window).Truncate(width), now.Truncate(width).Add(width))
}

// Hours returns the counts of the coarse slots that start at or after from and before to.
func (t *ServiceTotals) Hours(from, to time.Time) Counts { return sum(t.coarse, from, to) }

// Histogram returns the latencies of the coarse slots that start at or after from and before to.
func (t *ServiceTotals) Histogram(from, to time.Time) *hdr.Histogram {
	h := NewHistogram()
	for start, histogram := range t.histograms {
		if start >= from.Unix() && start < to.Unix() {
			h.Merge(histogram)
		}
	}
	return h
}

func sum(slots map[int64]Counts, from, to time.Time) Counts {
	var total Counts
	for start, counts := range slots {
		if start >= from.Unix() && start < to.Unix() {
			total = total.Plus(counts)
		}
	}
	return total
}
