// Package hedge decides when a sub-request that is still unanswered is also sent to another replica.
package hedge

import (
	"sync"
	"time"

	"gooseberrylane.example/coord/budget"
	"gooseberrylane.example/core"
)

// maxBurst limits the hedges that a service can save up. A new budget is empty: with many VMs and services, even a few
// hedges for each would exceed the allowed share in the first minutes.
const maxBurst = 100

// Settings of a Policy.
type Settings struct {
	// BudgetShare is the share of a service's hedge_percent that the learned delay targets; the rest is reserved for
	// latency changes and bursts of stragglers. Default 0.6.
	BudgetShare float64 `json:"budget_share" validate:"gt=0,lte=1"`
	// MinDelayMS is the minimum delay before a hedge, in milliseconds. Default 1.
	MinDelayMS float64 `json:"min_delay_ms" validate:"gte=0,lte=10000"`
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{BudgetShare: 0.6, MinDelayMS: 1} }

// allGroups is the key of the estimate over all groups of a service; no group has this name.
const allGroups core.GroupName = ""

type groupKey struct {
	service core.ServiceName
	group   core.GroupName
}

// Policy implements query.Hedger. It is safe for concurrent use.
type Policy struct {
	settings Settings
	// quantiles maps groupKey to *Quantile, budgets maps core.ServiceName to *budget.Bucket.
	quantiles sync.Map
	budgets   sync.Map
}

// New returns a policy.
func New(settings Settings) *Policy { return &Policy{settings: settings} }

func (p *Policy) quantile(service core.ServiceName, group core.GroupName) *Quantile {
	key := groupKey{service, group}
	if q, ok := p.quantiles.Load(key); ok {
		return q.(*Quantile)
	}
	q, _ := p.quantiles.LoadOrStore(key, new(Quantile))
	return q.(*Quantile)
}

func (p *Policy) budget(service core.ServiceName) *budget.Bucket {
	if b, ok := p.budgets.Load(service); ok {
		return b.(*budget.Bucket)
	}
	b, _ := p.budgets.LoadOrStore(service, budget.New(0, maxBurst))
	return b.(*budget.Bucket)
}

// targetQuantile is the latency quantile after which hedges use BudgetShare of the allowed load.
func (p *Policy) targetQuantile(service *core.Service) float64 {
	return max(1-p.settings.BudgetShare*service.Rule.HedgePercent/100, 0.5)
}

// Delay implements query.Hedger.
func (p *Policy) Delay(service *core.Service, group core.GroupName) (time.Duration, bool) {
	if service.Rule.HedgePercent <= 0 {
		return 0, false
	}
	estimate := p.quantile(service.Name, group)
	if estimate.Observations() < settledObservations {
		// A VM sends few sub-requests to one group. Until their estimate has settled, that of the whole service is better.
		estimate = p.quantile(service.Name, allGroups)
	}
	value, ok := estimate.Value()
	return max(value, time.Duration(p.settings.MinDelayMS*float64(time.Millisecond))), ok
}

// Allow implements query.Hedger.
func (p *Policy) Allow(_ time.Time, service *core.Service) bool {
	return p.budget(service.Name).Spend()
}

// ObserveFirstAttempt implements query.Hedger.
func (p *Policy) ObserveFirstAttempt(_ time.Time, service *core.Service) {
	p.budget(service.Name).Earn(service.Rule.HedgePercent)
}

// ObserveLatency implements query.Hedger.
func (p *Policy) ObserveLatency(service *core.Service, group core.GroupName, took time.Duration) {
	p.quantile(service.Name, group).Observe(p.targetQuantile(service), took)
	p.quantile(service.Name, allGroups).Observe(p.targetQuantile(service), took)
}

// ObserveCancelled implements query.Hedger. Without it, the estimate would include only attempts that were answered first.
func (p *Policy) ObserveCancelled(service *core.Service, group core.GroupName, after time.Duration) {
	p.quantile(service.Name, group).ObserveAtLeast(p.targetQuantile(service), after)
	p.quantile(service.Name, allGroups).ObserveAtLeast(p.targetQuantile(service), after)
}
