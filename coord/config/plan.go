package config

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gooseberrylane.example/core"
)

// PlanLifetime is how long after its creation a plan can be confirmed.
const PlanLifetime = 15 * time.Minute

// NewPlan checks an intent against a configuration set and returns a plan with its effects. The error is a *core.Error with CodeInvalidIntent
// that lists all problems.
func NewPlan(id PlanID, base *core.ConfigSet, intent Intent, now time.Time) (Plan, error) {
	if problems := Check(base, intent); len(problems) > 0 {
		return Plan{}, &core.Error{Code: core.CodeInvalidIntent, Detail: "the intent is invalid", Problems: problems}
	}
	after, err := applyNext(base, Change{Revision: base.Revision + 1, Intent: intent})
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{ID: id, Base: base.Revision, Intent: intent, Created: now, Warnings: Warnings(base, after)}
	plan.Differences = Differences(base, after)
	plan.Services, plan.Upstreams = affected(plan.Differences)
	if len(plan.Differences) == 0 {
		plan.Warnings = append(plan.Warnings, "the intent changes nothing")
	}
	return plan, nil
}

// affected returns the services and upstreams that occur in differences, ordered by name.
func affected(differences []Difference) ([]core.ServiceName, []core.UpstreamID) {
	services := make(map[core.ServiceName]bool)
	upstreams := make(map[core.UpstreamID]bool)
	for i := range differences {
		parts := strings.Split(differences[i].Name, "/")
		services[core.ServiceName(parts[0])] = true
		if differences[i].Kind == KindUpstream {
			upstreams[core.UpstreamID(parts[len(parts)-1])] = true
		}
	}
	return slices.Sorted(maps.Keys(services)), slices.Sorted(maps.Keys(upstreams))
}

// Expired reports whether a plan is too old to be confirmed.
func (p *Plan) Expired(now time.Time) bool { return now.Sub(p.Created) > PlanLifetime }

// Target returns the only revision at which a plan can become a change.
func (p *Plan) Target() core.Revision { return p.Base + 1 }

// Change returns the change that the plan becomes when it is confirmed.
func (p *Plan) Change(operator string, now time.Time) Change {
	return Change{
		Revision: p.Target(), Plan: p.ID, Intent: p.Intent, Planned: p.Created, Confirmed: now, ConfirmedBy: operator,
	}
}
