// Package retry decides whether and when a failed sub-request is retried. One budget per service is enough for the whole
// path of a query, because only the entry VM retries.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"gooseberrylane.example/coord/budget"
	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
)

// Limits of a budget, in retries. The burst covers the retries of one query of 700 sub-requests that loses a failure domain.
const (
	initialRetries = 50
	maxBurst       = 500
)

// Settings of a Policy.
type Settings struct {
	// BackoffMS is the mean delay before the second attempt, in milliseconds. It doubles with each further attempt. Default 2.
	BackoffMS float64 `json:"backoff_ms" validate:"gte=0,lte=10000"`
	// MaxBackoffMS limits the mean delay, in milliseconds. Default 100.
	MaxBackoffMS float64 `json:"max_backoff_ms" validate:"gte=0,lte=60000"`
	// MaxAttempts limits the attempts of one sub-request, not counting free retries. Default 4.
	MaxAttempts int `json:"max_attempts" validate:"gte=1,lte=100"`
	// MaxFreeRetries limits the free retries of one sub-request, which follow refusals that caused no work at an upstream.
	// Default 3.
	MaxFreeRetries int `json:"max_free" validate:"gte=0,lte=100"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{BackoffMS: 2, MaxBackoffMS: 100, MaxAttempts: 4, MaxFreeRetries: 3}
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

// ObserveFirstAttempt implements query.Retrier.
func (p *Policy) ObserveFirstAttempt(_ time.Time, service *core.Service) {
	p.budget(service.Name).Earn(service.Rule.RetryPercent)
}

// Allow implements query.Retrier. A refusal that caused no work at an upstream is retried at once and without charge to the
// budget, up to MaxFreeRetries times. Any other retry spends one token and is sent after a jittered delay.
func (p *Policy) Allow(_ time.Time, random *rand.Rand, service *core.Service, f query.Failure) (time.Duration, bool, bool) {
	if f.TimeLeft <= 0 || service.Rule.RetryPercent <= 0 {
		return 0, false, false
	}
	if isFree(f.Code) && f.FreeRetries < p.settings.MaxFreeRetries {
		return 0, true, true
	}
	charged := f.Attempts - f.FreeRetries
	if charged >= p.settings.MaxAttempts {
		return 0, false, false
	}
	delay := p.delay(random, f.Code, charged)
	if delay >= f.TimeLeft || !p.budget(service.Name).Spend() {
		return 0, false, false
	}
	return delay, false, true
}

// delay returns a random delay between half and one and a half times the mean. Retries go to another replica, but are
// delayed nevertheless, so that a group under load does not receive all of them at once. Only a refusal for a missing
// version, which has nothing to do with load, is retried without delay.
func (p *Policy) delay(random *rand.Rand, code core.Code, charged int) time.Duration {
	if code == core.CodeVersionMissing {
		return 0
	}
	mean := p.settings.BackoffMS
	for i := 1; i < charged && mean < p.settings.MaxBackoffMS; i++ {
		mean *= 2
	}
	mean = min(mean, p.settings.MaxBackoffMS)
	return time.Duration((0.5 + random.Float64()) * mean * float64(time.Millisecond))
}

// isFree reports whether a sub-request reached no upstream, or one that refuses all work because it is draining.
func isFree(code core.Code) bool {
	switch code {
	case core.CodeNotOwner, core.CodeConnectFailed, core.CodeUnreachable, core.CodeDraining:
		return true
	default:
		return false
	}
}
