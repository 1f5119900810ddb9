package peers

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// fakeStore has a position, of which stale reads show an older one while lag is set.
type fakeStore struct {
	kinds.CatalogStore
	position       atomic.Uint64
	lag            atomic.Uint64
	currents       atomic.Int64
	delay, refused atomic.Int64
}

func (s *fakeStore) Position(ctx context.Context, allowStale bool) (kinds.Cursor, error) {
	if allowStale {
		return kinds.Cursor(s.position.Load() - s.lag.Load()), nil
	}
	s.currents.Add(1)
	if s.refused.Load() > 0 {
		return 0, core.Errorf(core.CodePlatformUnavailable, "refused")
	}
	kernel.Sleep(ctx, time.Duration(s.delay.Load()))
	return kinds.Cursor(s.position.Load()), ctx.Err()
}

// network delivers messages between the checkers of a test at once.
type network struct {
	handlers map[core.VMName]func(core.VM, kinds.Message)
	sent     atomic.Int64
}

type endpoint struct {
	kinds.Peers
	network *network
	self    core.VM
}

func (e endpoint) Handle(_ kinds.Message, handle func(core.VM, kinds.Message)) {
	e.network.handlers[e.self.Name] = handle
}

func (e endpoint) Send(_ context.Context, to core.VM, m kinds.Message) error {
	e.network.sent.Add(1)
	message := m.(positionMessage)
	e.network.handlers[to.Name](e.self, &message)
	return nil
}

// startCheckers starts a checker for each VM, all with their own stores.
func startCheckers(t *testing.T, vms []core.VM) (*network, []*checker, []*fakeStore) {
	n := &network{handlers: make(map[core.VMName]func(core.VM, kinds.Message))}
	var checkers []*checker
	var stores []*fakeStore
	for _, vm := range vms {
		state := kernel.NewState()
		state.Update(func(v *core.View) { v.Members = &core.Members{Self: vm, All: vms} })
		store := &fakeStore{}
		store.position.Store(10)
		stores = append(stores, store)
		checkers = append(checkers, newChecker(params{
			Store: store, State: state, Clock: kernel.SystemClock{}, Random: kernel.NewRandom(1), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Identity: kernel.Identity{VM: vm.Name, Domain: vm.Domain}, Peers: endpoint{network: n, self: vm},
		}, &Settings{ApplyMS: defaultApplyMS}))
	}
	for _, c := range checkers {
		qt.Assert(t, c.start(context.Background()), qt.IsNil)
		t.Cleanup(func() { _ = c.shutdown(context.Background()) })
	}
	return n, checkers, stores
}

var twoDomains = []core.VM{{Name: "a1", Domain: "a"}, {Name: "a2", Domain: "a"}, {Name: "b1", Domain: "b"}, {Name: "b2", Domain: "b"}}

// TestReportsReachAllFailureDomains guards against a failure domain whose VMs read the position themselves, or never hear of it.
func TestReportsReachAllFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, checkers, stores := startCheckers(t, twoDomains)
		time.Sleep(10*time.Second + time.Millisecond)
		var reads int64
		for _, s := range stores {
			reads += s.currents.Load()
		}
		qt.Assert(t, reads, qt.Equals, int64(10))
		for i, c := range checkers {
			qt.Assert(t, c.Newest(), qt.Equals, kinds.Cursor(10), qt.Commentf("%s", twoDomains[i].Name))
		}
	})
}

// TestLagEndsWaitingReads guards against a watch that goes on waiting with stale data after another VM has seen a newer position.
func TestLagEndsWaitingReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, checkers, stores := startCheckers(t, twoDomains)
		time.Sleep(5 * time.Second)
		var waiting []context.Context
		for i, c := range checkers {
			waiting = append(waiting, c.StaleReads())
			qt.Assert(t, waiting[i].Err(), qt.IsNil)
			stores[i].position.Store(11)
			stores[i].lag.Store(1)
		}
		changed := time.Now()
		for i, ctx := range waiting {
			<-ctx.Done()
			qt.Check(t, time.Since(changed) < 2500*time.Millisecond, qt.IsTrue)
			qt.Check(t, checkers[i].StaleReads().Err(), qt.IsNotNil)
			stores[i].lag.Store(0)
		}
		time.Sleep(6 * time.Second)
		for _, c := range checkers {
			qt.Check(t, c.StaleReads().Err(), qt.IsNil)
		}
	})
}

// TestOutdatedPositionIsNotPassedOn guards against a report that a slow store or a paused VM has delayed: it would keep the others from
// reading the position themselves.
func TestOutdatedPositionIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, stores := startCheckers(t, twoDomains)
		for _, s := range stores {
			s.delay.Store(int64(time.Second))
		}
		time.Sleep(5 * time.Second)
		qt.Assert(t, n.sent.Load(), qt.Equals, int64(0))
	})
}

// TestStoreThatRefusesOneVM guards against a fleet that does not notice a lag because the VM that reads the position is refused.
func TestStoreThatRefusesOneVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, checkers, stores := startCheckers(t, twoDomains)
		time.Sleep(3 * time.Second)
		for _, s := range stores {
			if s.currents.Load() > 0 {
				s.refused.Store(1)
			}
			s.position.Store(12)
		}
		time.Sleep(3 * time.Second)
		for _, c := range checkers {
			qt.Check(t, c.Newest(), qt.Equals, kinds.Cursor(12))
		}
	})
}
