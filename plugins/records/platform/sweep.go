package platform

import (
	"context"
	"time"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
)

const (
	recordPrefix = "requests/"
	// sweepKey is the key by which VMs are ranked. The highest-ranked live VM of all failure domains sweeps.
	sweepKey = "sweep of request records"
	// sweepPageSize bounds the records that are read and removed per page.
	sweepPageSize = 100
	// sweepPause is the pause between two pages of a sweep. It limits the platform calls of a sweep to about
	// sweepPageSize per pause.
	sweepPause = 2 * time.Second
	// sweepTimeout bounds the sweep of one page.
	sweepTimeout = 30 * time.Second
)

// sweeper removes records that are past their retention, so that the platform does not fill up. If member lists differ,
// two VMs may sweep at the same time, which only costs additional calls.
type sweeper struct {
	*records
	stop context.CancelFunc
	done chan struct{}
}

func (s *sweeper) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.done = cancel, make(chan struct{})
	go s.run(ctx)
	return nil
}

func (s *sweeper) shutdown(context.Context) error {
	s.stop()
	<-s.done
	return nil
}

func (s *sweeper) run(ctx context.Context) {
	defer close(s.done)
	interval := time.NewTicker(time.Duration(s.settings.SweepIntervalMS) * time.Millisecond)
	defer interval.Stop()
	for {
		select {
		case <-interval.C:
			if s.isSelected() {
				s.sweep(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *sweeper) isSelected() bool {
	members := s.State.Load().Members
	var selected core.VMName
	var best uint64
	for i := range members.All {
		vm := &members.All[i]
		score := ownership.Score(sweepKey, vm.Name)
		if vm.State == core.VMLive && (selected == "" || score > best) {
			selected, best = vm.Name, score
		}
	}
	return selected == s.Identity.VM
}

// sweep visits all records once. It stops at the first failure; the next sweep starts from the beginning.
func (s *sweeper) sweep(ctx context.Context) {
	after, removed := "", 0
	for {
		next, n, err := s.sweepPage(ctx, after)
		removed += n
		if err != nil || next == "" {
			s.Log.Debug("request_records_swept", "removed", removed)
			return
		}
		after = next
		select {
		case <-time.After(sweepPause):
		case <-ctx.Done():
			return
		}
	}
}

// sweepPage removes the expired records of one page and returns the last key of the page, or "" at the end.
func (s *sweeper) sweepPage(ctx context.Context, after string) (last string, removed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	objects, err := s.Platform.List(ctx, recordPrefix, after, sweepPageSize)
	if err != nil || len(objects) == 0 {
		return "", 0, err
	}
	cutoff := s.Clock.Now().Add(-time.Duration(s.settings.RetentionMS) * time.Millisecond)
	for _, object := range objects {
		record, err := decodeRecord(object.Value)
		if err != nil || record.Deadline.After(cutoff) {
			continue
		}
		if err := s.Platform.Delete(ctx, object.Key, object.Version); err != nil && core.CodeOf(err) != core.CodeConflict && core.CodeOf(err) != core.CodeNotFound {
			return "", removed, err
		}
		removed++
	}
	return objects[len(objects)-1].Key, removed, nil
}
