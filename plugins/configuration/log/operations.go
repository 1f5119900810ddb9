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
	// confirmAttempts bounds the writes of one confirm whose answers were lost.
	confirmAttempts = 4
	// confirmBackoff is the mean wait before the second write; it doubles with each further one.
	confirmBackoff = 50 * time.Millisecond
)

// Plan implements kinds.Operations. It checks the intent against the end of the log on the platform.
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
		return config.Plan{}, core.Errorf(notStored(err), "the plan was not stored; plan again: %v", err)
	}
	return plan, nil
}

// notStored returns the code for a plan that could not be stored or read back. A plan has no effect by itself, so a
// lost one changed nothing.
func notStored(err error) core.Code {
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

// now returns the time as it is stored: without a monotonic reading.
func (s *service) now() time.Time { return s.Clock.Now().Round(0).UTC() }

// nextPlanID returns an ID that no other process start issues.
func (s *service) nextPlanID() config.PlanID {
	return config.PlanID(fmt.Sprintf("%s-%x-%d", s.Identity.VM, uint64(s.Identity.Incarnation), s.sequence.Add(1)))
}

// GetPlan implements kinds.Operations.
func (s *service) GetPlan(ctx context.Context, id config.PlanID) (config.Plan, error) {
	if !validPlanID(id) {
		return config.Plan{}, core.Errorf(core.CodePlanNotFound, "%q is no plan ID", id)
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

// Confirm implements kinds.Operations. A plan can only become the change after its base, so the object of that
// revision tells whether it did, whoever asks and however often.
func (s *service) Confirm(ctx context.Context, id config.PlanID, operator string) (config.Change, error) {
	if !config.ValidName(operator) {
		return config.Change{}, core.Errorf(core.CodeBadName, "operator %q", operator)
	}
	plan, err := s.GetPlan(ctx, id)
	if err != nil {
		return config.Change{}, err
	}
	now := s.now()
	change, decided, err := s.lookUp(ctx, &plan, plan.Expired(now))
	if decided || err != nil {
		return change, err
	}
	if plan.Expired(now) {
		return config.Change{}, core.Errorf(core.CodePlanExpired, "the plan was made at %s", plan.Created.Format(time.RFC3339))
	}
	return s.write(ctx, &plan, plan.Change(operator, now))
}

// lookUp finds out whether a plan is decided: its change is in the log, or another change has its place. A read may be
// stale; thorough looks a second time before it reports that the place is free.
func (s *service) lookUp(ctx context.Context, plan *config.Plan, thorough bool) (change config.Change, decided bool, err error) {
	s.mu.Lock()
	change, held := s.log.Applied(plan.Target())
	s.mu.Unlock()
	if held {
		return judge(plan, change)
	}
	read := s.Platform.Get
	if thorough {
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
	s.take(sourcePlatform, change)
	return judge(plan, change)
}

func judge(plan *config.Plan, change config.Change) (config.Change, bool, error) {
	if change.Plan == plan.ID {
		return change, true, nil
	}
	return config.Change{}, true, core.Errorf(core.CodeBaseMoved, "the plan is for revision %d, which holds plan %s", plan.Target(), change.Plan)
}

// write creates the change. After a lost answer it reads back, and writes again if the place is still free: the same
// plan under the same key cannot take effect twice.
func (s *service) write(ctx context.Context, plan *config.Plan, change config.Change) (config.Change, error) {
	raw, err := encodeChange(&change)
	if err != nil {
		return config.Change{}, core.Errorf(core.CodeInternal, "%v", err)
	}
	random := s.Random.Generator()
	// unsure is set once a write may have taken effect.
	unsure := false
	for attempt := range confirmAttempts {
		if attempt > 0 && !s.pause(ctx, time.Duration((0.5+random.Float64())*float64(confirmBackoff<<(attempt-1)))) {
			break
		}
		_, err = s.Platform.Create(ctx, changeKey(change.Revision), raw)
		switch core.CodeOf(err) {
		case core.CodeOK:
			s.take(sourceConfirm, change)
			return change, nil
		case core.CodeConflict, core.CodeNotKnownYet:
			unsure = true
			if found, decided, err := s.lookUp(ctx, plan, true); decided {
				return found, err
			}
		case core.CodePlatformUnavailable:
			if !unsure {
				return config.Change{}, err
			}
		default:
			return config.Change{}, err
		}
	}
	return config.Change{}, core.Errorf(core.CodeNotKnownYet, "plan %s at revision %d: %v", plan.ID, plan.Target(), err)
}

// pause waits and reports whether ctx still runs.
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

// History implements kinds.Operations. It reads the platform only: what this VM keeps may lack the last changes, and the
// answer could not say so.
func (s *service) History(ctx context.Context, after core.Revision, limit int) ([]config.Change, error) {
	var changes []config.Change
	for len(changes) < limit {
		want := min(listLimit, limit-len(changes))
		objects, err := s.Platform.List(ctx, changesPrefix, changeKey(after), want)
		if err != nil {
			return nil, err
		}
		page := s.decodeListed(objects)
		if len(page) < len(objects) {
			return nil, core.Errorf(core.CodeInternal, "the change after %d cannot be read", after+core.Revision(len(page)))
		}
		changes = append(changes, page...)
		if len(page) < want {
			break
		}
		after = page[len(page)-1].Revision
	}
	return changes, nil
}
