package platform

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/idempotency"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// fakePlatform holds objects in key order and implements the calls of a sweep.
type fakePlatform struct {
	kinds.Platform
	objects []kinds.Object
	deleted []string
}

func (f *fakePlatform) List(_ context.Context, _, after string, limit int) ([]kinds.Object, error) {
	var page []kinds.Object
	for _, o := range f.objects {
		if o.Key > after && len(page) < limit {
			page = append(page, o)
		}
	}
	return page, nil
}

func (f *fakePlatform) Delete(_ context.Context, key string, _ uint64) error {
	f.deleted = append(f.deleted, key)
	return nil
}

type fixedClock struct{ now time.Time }

func (f fixedClock) Now() time.Time { return f.now }

// TestSweepKeepsRecordsWithinRetention guards against the removal of a record that is still needed for resends, and
// against records that are never removed.
func TestSweepKeepsRecordsWithinRetention(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	platform := &fakePlatform{}
	for key, age := range map[string]time.Duration{"requests/s/new": time.Minute, "requests/s/old": time.Hour} {
		record := idempotency.Begin(nil, idempotency.Claim{VM: "a"}, now.Add(-age))
		value, err := encodeRecord(&record)
		c.Assert(err, qt.IsNil)
		platform.objects = append(platform.objects, kinds.Object{Key: key, Value: value, Version: 1})
	}
	r := &records{
		params:   params{Platform: platform, State: kernel.NewState(), Clock: fixedClock{now}, Log: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		settings: &Settings{RetentionMS: (10 * time.Minute).Milliseconds()},
	}
	s := &sweeper{records: r}
	_, removed, err := s.sweepPage(context.Background(), "")
	c.Assert(err, qt.IsNil)
	c.Assert(removed, qt.Equals, 1)
	c.Assert(platform.deleted, qt.DeepEquals, []string{"requests/s/old"})
}

// TestOneVMSweeps guards against all VMs of the fleet sweeping at the same time.
func TestOneVMSweeps(t *testing.T) {
	c := qt.New(t)
	all := []core.VM{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	selected := 0
	for _, vm := range all {
		state := kernel.NewState()
		state.Update(func(v *core.View) { v.Members = &core.Members{Self: vm, All: all} })
		s := &sweeper{records: &records{params: params{State: state, Identity: kernel.Identity{VM: vm.Name}}}}
		if s.isSelected() {
			selected++
		}
	}
	c.Assert(selected, qt.Equals, 1)
}
