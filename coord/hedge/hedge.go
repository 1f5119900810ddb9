// Package hedge decides when a sub-request is sent a second time to another replica before the first has ended.
package hedge

import (
	"sync"
	"time"

	"gooseberrylane.example/coord/budget"
	"gooseberrylane.example/core"
)

// maxBurst bounds the second requests that a quiet time saves up. A new budget is empty: with many VMs and services,
// even a few second requests for each break the share in the first minutes.
const maxBurst = 100

// Settings of a Policy.
type Settings struct {
	// BudgetShare is the part of a service's hedge_percent that the learned delay aims to use; the rest covers changes
	// of latency and bursts of stragglers. Default 0.6.
	BudgetShare float64 `json:"budget_share" validate:"gt=0,lte=1"`
	// MinDelayMS is the shortest delay before a second request, in milliseconds. Default 1.
	MinDelayMS float64 `json:"min_delay_ms" validate:"gte=0,lte=10000"`
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{BudgetShare: 0.6, MinDelayMS: 1} }

// wholeService stands for all groups of a service; no group has this name.
const wholeService core.GroupName = ""

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

// target is the quantile of latency at which second requests use BudgetShare of the allowed load.
func (p *Policy) target(service *core.Service) float64 {
	return max(1-p.settings.BudgetShare*service.Rule.HedgePercent/100, 0.5)
}

// Delay implements query.Hedger.
func (p *Policy) Delay(service *core.Service, group core.GroupName) (time.Duration, bool) {
	if service.Rule.HedgePercent <= 0 {
		return 0, false
	}
	learned := p.quantile(service.Name, group)
	if learned.Seen() < settled {
		// A VM sees few legs of one group. Until these are enough, the legs of the whole service tell more.
		learned = p.quantile(service.Name, wholeService)
	}
	value, ok := learned.Value()
	return max(value, time.Duration(p.settings.MinDelayMS*float64(time.Millisecond))), ok
}

// Allow implements query.Hedger.
func (p *Policy) Allow(_ time.Time, service *core.Service) bool {
	return p.budget(service.Name).Spend()
}

// ObserveLeg implements query.Hedger.
func (p *Policy) ObserveLeg(_ time.Time, service *core.Service) {
	p.budget(service.Name).Earn(service.Rule.HedgePercent)
}

// ObserveLatency implements query.Hedger.
func (p *Policy) ObserveLatency(service *core.Service, group core.GroupName, took time.Duration) {
	p.quantile(service.Name, group).Observe(p.target(service), took)
	p.quantile(service.Name, wholeService).Observe(p.target(service), took)
}

// ObserveCancelled implements query.Hedger. Without it, the estimate would see only the attempts that won.
func (p *Policy) ObserveCancelled(service *core.Service, group core.GroupName, after time.Duration) {
	p.quantile(service.Name, group).ObserveAtLeast(p.target(service), after)
	p.quantile(service.Name, wholeService).ObserveAtLeast(p.target(service), after)
}
