// Package retry decides whether and when a failed sub-request is sent again. One budget per service covers the whole
// path of its queries, because only the VM that received a query retries.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrylane.example/coord/budget"
	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
)

// Limits of a budget, in retries. The burst covers the legs of one query whose failure domain is lost at 700 legs.
const (
	initialRetries = 50
	maxBurst       = 500
)

// Settings of a Policy.
type Settings struct {
	// BackoffMS is the mean delay before the second attempt, in milliseconds; it doubles with each attempt. Default 2.
	BackoffMS float64 `json:"backoff_ms" validate:"gte=0,lte=10000"`
	// MaxBackoffMS bounds the mean delay, in milliseconds. Default 100.
	MaxBackoffMS float64 `json:"max_backoff_ms" validate:"gte=0,lte=60000"`
	// MaxAttempts bounds the attempts of one sub-request that cost an upstream something. Default 4.
	MaxAttempts int `json:"max_attempts" validate:"gte=1,lte=100"`
	// MaxFree bounds the retries of one sub-request after refusals that cost no upstream anything. Default 3.
	MaxFree int `json:"max_free" validate:"gte=0,lte=100"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{BackoffMS: 2, MaxBackoffMS: 100, MaxAttempts: 4, MaxFree: 3}
}

// Policy implements query.Retrier. It is safe for concurrent use.
type Policy struct {
	settings Settings
	// budgets maps core.ServiceName to *budget.Bucket.
	budgets sync.Map
}

// New returns a policy.
func New(settings Settings) *Policy { return &Policy{settings: settings} }

func (p *Policy) budget(service core.ServiceName) *budget.Bucket {
	if b, ok := p.budgets.Load(service); ok {
		return b.(*budget.Bucket)
	}
	b, _ := p.budgets.LoadOrStore(service, budget.New(initialRetries, maxBurst))
	return b.(*budget.Bucket)
}

// ObserveLeg implements query.Retrier.
func (p *Policy) ObserveLeg(_ time.Time, service *core.Service) {
	p.budget(service.Name).Earn(service.Rule.RetryPercent)
}

// Allow implements query.Retrier. A refusal that cost no upstream anything is retried at once and free of the budget a
// bounded number of times. Any other retry waits for a jittered delay and spends one token.
func (p *Policy) Allow(_ time.Time, random *rand.Rand, service *core.Service, f query.Failure) (time.Duration, bool, bool) {
	if f.Left <= 0 || service.Rule.RetryPercent <= 0 {
		return 0, false, false
	}
	if isFree(f.Code) && f.Free < p.settings.MaxFree {
		return 0, true, true
	}
	paid := f.Attempts - f.Free
	if paid >= p.settings.MaxAttempts {
		return 0, false, false
	}
	delay := p.delay(random, f.Code, paid)
	if delay >= f.Left || !p.budget(service.Name).Spend() {
		return 0, false, false
	}
	return delay, false, true
}

// delay draws from the whole range between half and one and a half of the mean. A refusal that names no fault of the
// replica's load goes to another replica, but also waits, so that a group under load is not hit by all retries at once.
func (p *Policy) delay(random *rand.Rand, code core.Code, paid int) time.Duration {
	if code == core.CodeVersionMissing {
		return 0
	}
	mean := p.settings.BackoffMS
	for i := 1; i < paid && mean < p.settings.MaxBackoffMS; i++ {
		mean *= 2
	}
	mean = min(mean, p.settings.MaxBackoffMS)
	return time.Duration((0.5 + random.Float64()) * mean * float64(time.Millisecond))
}

// isFree reports whether a refusal reached no upstream, or one that runs no work any more because it is leaving.
func isFree(code core.Code) bool {
	switch code {
	case core.CodeNotOwner, core.CodeConnectFailed, core.CodeUnreachable, core.CodeDraining:
		return true
	default:
		return false
	}
}
