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

// entries is a store with the entries of VMs that never change, or one that does not answer.
type entries struct {
	kinds.VMStore
	list   []kinds.VMEntry
	down   bool
	listed int
}

func (e *entries) AnnounceVM(context.Context, kinds.VMEntry) error {
	if e.down {
		return core.Errorf(core.CodePlatformUnavailable, "down")
	}
	return nil
}

func (e *entries) WithdrawVM(context.Context, core.VMName) error { return nil }

func (e *entries) VMs(context.Context, bool) ([]kinds.VMEntry, kinds.Cursor, error) {
	e.listed++
	if e.down {
		return nil, 0, core.Errorf(core.CodePlatformUnavailable, "down")
	}
	return e.list, 1, nil
}

func (e *entries) WatchVMs(ctx context.Context, o kinds.WatchOptions) ([]kinds.VMEntry, kinds.Cursor, error) {
	kernel.Sleep(ctx, o.Wait)
	return nil, o.After, ctx.Err()
}

// membersAfter starts a membership, and returns the members that it knows after a time and the lists that it read.
func membersAfter(t *testing.T, store *entries, after time.Duration) (members, listed int) {
	synctest.Test(t, func(t *testing.T) {
		state := kernel.NewState()
		lifecycle := fxtest.NewLifecycle(t)
		newMembership(lifecycle, params{
			State: state, Random: kernel.NewRandom(1), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Store: store,
		}, &Settings{Capacity: 1, WatchMS: defaultWatchMS, GatherMS: defaultGatherMS, RetryMS: defaultRetryMS})
		lifecycle.RequireStart()
		time.Sleep(after)
		synctest.Wait()
		members, listed = len(state.Load().Members.All), store.listed
		lifecycle.RequireStop()
	})
	return members, listed
}

// TestVMsOfBeforeAreKnownAtTheStart guards against VMs that were killed together and gather every request themselves,
// each with connections to all upstreams, until they have seen the new entries of the others.
func TestVMsOfBeforeAreKnownAtTheStart(t *testing.T) {
	c := qt.New(t)
	store := &entries{list: []kinds.VMEntry{{VM: core.VM{Name: "a"}}, {VM: core.VM{Name: "b"}}}}
	members, _ := membersAfter(t, store, 10*time.Millisecond)
	c.Assert(members, qt.Equals, 2)
}

// TestStoreThatIsAwayGetsFewCalls guards against a list and an announcement in every round of an outage.
func TestStoreThatIsAwayGetsFewCalls(t *testing.T) {
	c := qt.New(t)
	_, listed := membersAfter(t, &entries{down: true}, 30*time.Second)
	c.Assert(listed, qt.Equals, 1)
}
