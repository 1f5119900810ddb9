package log

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
)

const (
	// maxConfirmWrites bounds the writes of one confirm when answers of the platform are lost.
	maxConfirmWrites = 4
	// confirmBackoff is the mean wait before the second write; it doubles with each further write.
	confirmBackoff = 50 * time.Millisecond
)

// Plan implements kinds.Operations. It checks the intent against the latest revision on the platform.
func (s *service) Plan(ctx context.Context, intent config.Intent) (config.Plan, error) {
	if err := s.catchUp(ctx); err != nil {
		return config.Plan{}, err
	}
	s.mu.Lock()
	base := s.log.Set()
	s.mu.Unlock()
	plan, err := config.NewPlan(s.nextPlanID(), base, intent, s.now())
	if err != nil {
		return config.Plan{}, err
	}
	raw, err := json.Marshal(plan)
	if err != nil {
		return config.Plan{}, core.Errorf(core.CodeInternal, "%v", err)
	}
	_, err = s.Platform.Create(ctx, planKey(plan.ID), raw)
	if core.CodeOf(err) == core.CodeNotKnownYet {
		_, err = s.GetPlan(ctx, plan.ID)
	}
	if err != nil {
		return config.Plan{}, core.Errorf(planStoreCode(err), "the plan was not stored; create it again: %v", err)
	}
	return plan, nil
}

// planStoreCode returns the code for a plan that could not be stored or read back. A plan has no effect until it is
// confirmed, so a lost plan changed nothing.
func planStoreCode(err error) core.Code {
	if code := core.CodeOf(err); code == core.CodeBodyTooLarge {
		return code
	}
	return core.CodePlatformUnavailable
}

func (s *service) catchUp(ctx context.Context) error {
	if s.isLoaded() {
		return s.refresh(ctx)
	}
	return s.load(ctx)
}

// now returns the time as it is stored: in UTC, without a monotonic reading.
func (s *service) now() time.Time { return s.Clock.Now().Round(0).UTC() }

// nextPlanID returns an ID that is unique across VMs and restarts.
func (s *service) nextPlanID() config.PlanID {
	return config.PlanID(fmt.Sprintf("%s-%x-%d", s.Identity.VM, uint64(s.Identity.Incarnation), s.sequence.Add(1)))
}

// GetPlan implements kinds.Operations.
func (s *service) GetPlan(ctx context.Context, id config.PlanID) (config.Plan, error) {
	if !validPlanID(id) {
		return config.Plan{}, core.Errorf(core.CodePlanNotFound, "%q is not a valid plan ID", id)
	}
	object, err := s.read(ctx, planKey(id))
	if core.CodeOf(err) == core.CodeNotFound {
		return config.Plan{}, core.Errorf(core.CodePlanNotFound, "plan %s", id)
	}
	if err != nil {
		return config.Plan{}, err
	}
	var plan config.Plan
	if err := json.Unmarshal(object.Value, &plan); err != nil || plan.ID != id {
		return config.Plan{}, core.Errorf(core.CodeInternal, "plan %s cannot be read", id)
	}
	return plan, nil
}

// Confirm implements kinds.Operations. A plan can only become the change after its base, so the object of that revision
// shows whether it took effect. Confirm is therefore idempotent at any VM.
func (s *service) Confirm(ctx context.Context, id config.PlanID, operator string) (config.Change, error) {
	if !config.ValidName(operator) {
		return config.Change{}, core.Errorf(core.CodeBadName, "operator %q", operator)
	}
	plan, err := s.GetPlan(ctx, id)
	if err != nil {
		return config.Change{}, err
	}
	now := s.now()
	change, decided, err := s.findDecision(ctx, &plan, plan.Expired(now))
	if decided || err != nil {
		return change, err
	}
	if plan.Expired(now) {
		return config.Change{}, core.Errorf(core.CodePlanExpired, "the plan was made at %s", plan.Created.Format(time.RFC3339))
	}
	return s.write(ctx, &plan, plan.Change(operator, now))
}

// findDecision reports whether a plan is decided: its change is in the log, or another change has its revision. A read
// may be stale, so confirmAbsence makes it check a missing change a second time with a list.
func (s *service) findDecision(ctx context.Context, plan *config.Plan, confirmAbsence bool) (change config.Change, decided bool, err error) {
	s.mu.Lock()
	change, held := s.log.Applied(plan.Target())
	s.mu.Unlock()
	if held {
		return checkDecision(plan, change)
	}
	read := s.Platform.Get
	if confirmAbsence {
		read = s.read
	}
	object, err := read(ctx, changeKey(plan.Target()))
	if core.CodeOf(err) == core.CodeNotFound {
		return config.Change{}, false, nil
	}
	if err != nil {
		return config.Change{}, false, err
	}
	change, err = decodeChange(object.Value)
	if err != nil || change.Revision != plan.Target() {
		return config.Change{}, false, core.Errorf(core.CodeInternal, "change %d cannot be read", plan.Target())
	}
	s.addChanges(sourcePlatform, change)
	return checkDecision(plan, change)
}

func checkDecision(plan *config.Plan, change config.Change) (config.Change, bool, error) {
	if change.Plan == plan.ID {
		return change, true, nil
	}
	return config.Change{}, true, core.Errorf(core.CodeBaseMoved, "the plan is for revision %d, which holds plan %s", plan.Target(), change.Plan)
}

// write creates the change. After a lost answer it reads the key, and writes again if the key is still absent: the same
// plan under the same key cannot take effect twice.
func (s *service) write(ctx context.Context, plan *config.Plan, change config.Change) (config.Change, error) {
	raw, err := encodeChange(&change)
	if err != nil {
		return config.Change{}, core.Errorf(core.CodeInternal, "%v", err)
	}
	random := s.Random.Generator()
	// uncertain is set once a write may have taken effect.
	uncertain := false
	for attempt := range maxConfirmWrites {
		if attempt > 0 && !s.pause(ctx, time.Duration((0.5+random.Float64())*float64(confirmBackoff<<(attempt-1)))) {
			break
		}
		_, err = s.Platform.Create(ctx, changeKey(change.Revision), raw)
		switch core.CodeOf(err) {
		case core.CodeOK:
			s.addChanges(sourceConfirm, change)
			return change, nil
		case core.CodeConflict, core.CodeNotKnownYet:
			uncertain = true
			if found, decided, err := s.findDecision(ctx, plan, true); decided {
				return found, err
			}
		case core.CodePlatformUnavailable:
			if !uncertain {
				return config.Change{}, err
			}
		default:
			return config.Change{}, err
		}
	}
	return config.Change{}, core.Errorf(core.CodeNotKnownYet, "plan %s at revision %d: %v", plan.ID, plan.Target(), err)
}

// pause waits for d. It returns false if ctx ends first.
func (s *service) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// History implements kinds.Operations. It reads only the platform: the log of this VM may lack the latest changes, and
// the answer could not indicate that.
func (s *service) History(ctx context.Context, after core.Revision, limit int) ([]config.Change, error) {
	var changes []config.Change
	for len(changes) < limit {
		pageSize := min(listLimit, limit-len(changes))
		objects, err := s.Platform.List(ctx, changesPrefix, changeKey(after), pageSize)
		if err != nil {
			return nil, err
		}
		page := s.decodeListed(objects)
		if len(page) < len(objects) {
			return nil, core.Errorf(core.CodeInternal, "the change after %d cannot be read", after+core.Revision(len(page)))
		}
		changes = append(changes, page...)
		if len(page) < pageSize {
			break
		}
		after = page[len(page)-1].Revision
	}
	return changes, nil
}
