package platform

import (
	"context"
	"time"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
)

const (
	recordPrefix = "requests/"
	// sweepKey is what the VMs are ranked for; the first live one of all failure domains sweeps.
	sweepKey = "sweep of request records"
	// sweepPage bounds the records that are read and removed in one step.
	sweepPage = 100
	// sweepPause is the time between two steps of one sweep. It bounds the platform calls of a sweep to about
	// sweepPage a pause.
	sweepPause = 2 * time.Second
	// sweepTimeout bounds one step.
	sweepTimeout = 30 * time.Second
)

// sweeper removes records that are older than the retention, so that the platform does not fill up. Two VMs that sweep
// at once, because their member lists differ, only cost calls.
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
			if s.isChosen() {
				s.sweep(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *sweeper) isChosen() bool {
	members := s.State.Load().Members
	var first core.VMName
	var best uint64
	for i := range members.All {
		vm := &members.All[i]
		score := ownership.Score(sweepKey, vm.Name)
		if vm.State == core.VMLive && (first == "" || score > best) {
			first, best = vm.Name, score
		}
	}
	return first == s.Identity.VM
}

// sweep goes through all records once. It ends at the first failure; the next sweep begins anew.
func (s *sweeper) sweep(ctx context.Context) {
	after, removed := "", 0
	for {
		next, n, err := s.step(ctx, after)
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

// step removes the old records of one page and returns the last key of the page, "" at the end.
func (s *sweeper) step(ctx context.Context, after string) (last string, removed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	objects, err := s.Platform.List(ctx, recordPrefix, after, sweepPage)
	if err != nil || len(objects) == 0 {
		return "", 0, err
	}
	oldest := s.Clock.Now().Add(-time.Duration(s.settings.RetentionMS) * time.Millisecond)
	for _, object := range objects {
		record, err := decodeRecord(object.Value)
		if err != nil || record.Deadline.After(oldest) {
			continue
		}
		if err := s.Platform.Delete(ctx, object.Key, object.Version); err != nil && core.CodeOf(err) != core.CodeConflict && core.CodeOf(err) != core.CodeNotFound {
			return "", removed, err
		}
		removed++
	}
	return objects[len(objects)-1].Key, removed, nil
}
