package store

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx/fxtest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// freshReads are stale reads that never lag.
type freshReads struct{ kinds.Freshness }

func (freshReads) StaleReads() context.Context { return context.Background() }

// fakeStore returns fixed VM entries, or fails announcements and lists when down.
type fakeStore struct {
	kinds.VMStore
	list   []kinds.VMEntry
	down   bool
	listed int
}

func (f *fakeStore) AnnounceVM(context.Context, kinds.VMEntry) error {
	if f.down {
		return core.Errorf(core.CodePlatformUnavailable, "down")
	}
	return nil
}

func (f *fakeStore) WithdrawVM(context.Context, core.VMName) error { return nil }

func (f *fakeStore) VMs(context.Context, bool) ([]kinds.VMEntry, kinds.Cursor, error) {
	f.listed++
	if f.down {
		return nil, 0, core.Errorf(core.CodePlatformUnavailable, "down")
	}
	return f.list, 1, nil
}

func (f *fakeStore) WatchVMs(ctx context.Context, o kinds.WatchOptions) ([]kinds.VMEntry, kinds.Cursor, error) {
	kernel.Sleep(ctx, o.Wait)
	return nil, o.After, ctx.Err()
}

// membersAfter starts a membership and returns, after a time, the number of members in the view and of list calls.
func membersAfter(t *testing.T, store *fakeStore, after time.Duration) (members, listed int) {
	synctest.Test(t, func(t *testing.T) {
		state := kernel.NewState()
		lifecycle := fxtest.NewLifecycle(t)
		newMembership(lifecycle, params{
			State: state, Random: kernel.NewRandom(1), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Store: store, Freshness: freshReads{},
		}, &Settings{Capacity: 1, WatchMS: defaultWatchMS, CoalesceMS: defaultCoalesceMS, RetryMS: defaultRetryMS})
		lifecycle.RequireStart()
		time.Sleep(after)
		synctest.Wait()
		members, listed = len(state.Load().Members.All), store.listed
		lifecycle.RequireStop()
	})
	return members, listed
}

// TestVMsOfBeforeAreKnownAtTheStart guards against VMs that were killed together and gather every request themselves,
// each with connections to all upstreams, until they have read the new entries of the others.
func TestVMsOfBeforeAreKnownAtTheStart(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{list: []kinds.VMEntry{{VM: core.VM{Name: "a"}}, {VM: core.VM{Name: "b"}}}}
	members, _ := membersAfter(t, store, 10*time.Millisecond)
	c.Assert(members, qt.Equals, 2)
}

// TestUnavailableStoreGetsFewCalls guards against a list in addition to the announcement in every round of an outage.
func TestUnavailableStoreGetsFewCalls(t *testing.T) {
	c := qt.New(t)
	_, listed := membersAfter(t, &fakeStore{down: true}, 30*time.Second)
	c.Assert(listed, qt.Equals, 1)
}
