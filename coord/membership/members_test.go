package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrylane.example/coord/membership"
	"gooseberrylane.example/core"
	_ "gooseberrylane.example/test/seed"
)

// TestMembersAreCurrent guards against a cached member list that was not invalidated by an event or by the passing of
// time: a table that is read after each event must return the same as a fresh table that replays the events.
func TestMembersAreCurrent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_000_000, 0)
		self := core.VM{Name: "vm-0", Incarnation: 1, Domain: "fd-1", PeerAddress: "vm-0/1"}
		var events []func(table *membership.Table)
		cached := membership.New(membership.Defaults(), self, now)
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "wait")) * time.Millisecond)
			event := drawEvent(rt, now)
			events = append(events, event)
			event(cached)
			fresh := membership.New(membership.Defaults(), self, time.Unix(1_000_000, 0))
			for _, earlier := range events {
				earlier(fresh)
			}
			got, want := cached.Members(now), fresh.Members(now)
			if !slices.Equal(got.All, want.All) || got.Self != want.Self {
				rt.Fatalf("got %v, want %v", got.All, want.All)
			}
			if got, want := cached.LastAcknowledged(), fresh.LastAcknowledged(); !got.Equal(want) {
				rt.Fatalf("last acknowledgement: got %v, want %v", got, want)
			}
		}
	})
}

func drawEvent(rt *rapid.T, now time.Time) func(*membership.Table) {
	vm := core.VM{
		Name:        core.VMName(fmt.Sprintf("vm-%d", rapid.IntRange(1, 5).Draw(rt, "vm"))),
		Incarnation: core.Incarnation(rapid.IntRange(1, 3).Draw(rt, "incarnation")),
		Domain:      core.FailureDomain(rapid.SampledFrom([]string{"fd-1", "fd-1", "fd-2"}).Draw(rt, "domain")),
		State:       rapid.SampledFrom([]core.VMState{core.VMLive, core.VMLive, core.VMLeaving}).Draw(rt, "state"),
	}
	vm.PeerAddress = fmt.Sprintf("%s/%d", vm.Name, vm.Incarnation)
	switch rapid.IntRange(0, 7).Draw(rt, "event") {
	case 0:
		return func(t *membership.Table) { t.Learn(now, vm) }
	case 1:
		return func(t *membership.Table) { t.MarkEnded(vm.Name, vm.PeerAddress) }
	case 2:
		return func(t *membership.Table) { t.ReplaceList(now, []core.VM{{Name: "vm-0"}, vm}) }
	case 3:
		return func(t *membership.Table) { t.Acknowledged(vm.Name, now) }
	case 4:
		return func(t *membership.Table) { t.Restart(core.Incarnation(now.UnixNano())) }
	case 5:
		return func(t *membership.Table) { t.Tick(now) }
	default:
		return func(t *membership.Table) { t.RecordContact(now, vm) }
	}
}
