package heartbeat

import (
	"context"
	"errors"
	"time"

	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
)

// publish updates members, ownership and readiness in the view if they may have changed.
func (s *service) publish(ownershipChanged bool) {
	now := s.Clock.Now()
	s.logOwnership(now)
	members := s.agent.Table().Members(now)
	membersChanged := s.logMemberChanges(members)
	becomesSettled := !s.settled && s.config != nil && s.config.Revision > 0 &&
		(s.agent.Machine().Settled(now) || now.Sub(s.started) >= milliseconds(s.settings.ReadyAfterMS))
	s.settled = s.settled || becomesSettled
	ready := s.settled && !s.leaving
	if !membersChanged && !ownershipChanged && s.State.Load().Ready == ready {
		return
	}
	owned := s.agent.Machine().Ownership(now)
	s.State.Update(func(v *core.View) {
		v.Members, v.Ownership, v.Ready = members, owned, ready
	})
}

// logOwnership logs when ownership is suspended or resumed, and changes of the number of held upstreams.
func (s *service) logOwnership(now time.Time) {
	machine := s.agent.Machine()
	if active := machine.Active(now); active != s.active {
		s.active = active
		s.Log.Warn("ownership_active_changed", "active", active)
	}
	if held := len(machine.Held()); held != s.held {
		s.held = held
		s.Log.Info("held_upstreams_changed", "held", held)
	}
}

// logMemberChanges logs changed members and reports whether the list changed. The table returns the same list until its
// content changes, so most calls return immediately.
func (s *service) logMemberChanges(members *core.Members) bool {
	if members == s.members {
		return false
	}
	before := s.members
	s.members = members
	for i := range members.All {
		vm := &members.All[i]
		if old := before.Find(vm.Name); old == nil || *old != *vm {
			s.Log.Info("member_changed", "member", string(vm.Name), "state", vm.State.String(), "member_incarnation", uint64(vm.Incarnation),
				"address", vm.PeerAddress)
		}
	}
	return true
}

// pollList reads the VM list of the platform periodically.
func (s *service) pollList() {
	random := s.Random.Generator()
	for {
		wait := s.readList()
		// Half of the wait is random, so that VMs that start together do not read at the same time.
		timer := time.NewTimer(wait/2 + time.Duration(random.Int64N(int64(wait/2)+1)))
		select {
		case <-timer.C:
		case <-s.base.Done():
			timer.Stop()
			return
		}
	}
}

// readList reads the list once and returns the time until the next read.
func (s *service) readList() time.Duration {
	listed, err := s.Platform.VMs(s.base)
	if err != nil {
		s.Log.Debug("vm_list_unavailable", "error", err.Error())
		// The platform client limits the rate of calls after failures.
		return min(s.settings.period(), milliseconds(s.settings.ListIntervalMS))
	}
	vms := make([]core.VM, len(listed))
	for i, entry := range listed {
		vms[i] = core.VM{Name: entry.Name, Domain: entry.Domain, PeerAddress: entry.PeerAddress}
		if entry.Leaving {
			vms[i].State = core.VMLeaving
		}
	}
	s.post(s.base, func(now time.Time) ownership.Actions { return s.agent.ReplaceList(now, vms) })
	return milliseconds(s.settings.ListIntervalMS) + time.Duration(len(listed))*listPerMember
}

// Leave implements kinds.Membership. It returns when each upstream is held by another VM, when ctx ends, or after the
// leave timeout.
func (s *service) Leave(ctx context.Context) error {
	var err error
	s.leave.Do(func() { err = s.handOver(ctx) })
	return err
}

func (s *service) handOver(ctx context.Context) error {
	leaveCtx, cancel := context.WithTimeout(ctx, milliseconds(s.settings.LeaveTimeoutMS))
	defer cancel()
	if !s.post(leaveCtx, func(now time.Time) ownership.Actions {
		s.leaving = true
		return s.agent.Leave(now)
	}) {
		return leaveCtx.Err()
	}
	err := s.await(leaveCtx, func(time.Time) bool { return s.agent.Machine().Idle() })
	if err != nil {
		s.Log.Warn("hand_over_incomplete", "error", err.Error())
		s.post(ctx, func(time.Time) ownership.Actions { return s.agent.Machine().ReleaseAll() })
	}
	s.post(ctx, s.agent.Farewell)
	// A member that has not answered within the fence time is in the state gone, so no answer is expected from it.
	farewellCtx, cancelFarewell := context.WithTimeout(ctx, milliseconds(s.settings.FenceAfterMS))
	defer cancelFarewell()
	if s.await(farewellCtx, s.agent.FarewellDone) != nil {
		s.Log.Info("farewell_unanswered")
	}
	s.linger(ctx)
	return errors.Join(err, ctx.Err())
}

// await evaluates a condition on the event loop until it holds.
func (s *service) await(ctx context.Context, condition func(now time.Time) bool) error {
	for {
		answer := make(chan bool, 1)
		posted := s.post(ctx, func(now time.Time) ownership.Actions {
			answer <- condition(now)
			return ownership.Actions{}
		})
		if !posted {
			return ctx.Err()
		}
		select {
		case ok := <-answer:
			if ok {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		timer := time.NewTimer(s.settings.period() / ticksPerPeriod)
		select {
		case <-s.agentChanged:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// linger keeps serving sub-requests of VMs that loaded their view before the farewell.
func (s *service) linger(ctx context.Context) {
	timer := time.NewTimer(milliseconds(s.settings.LingerMS))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
