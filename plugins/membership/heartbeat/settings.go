package heartbeat

import (
	"time"

	"gooseberrylane.example/core"
)

const (
	defaultPeriodMS            = 1000
	defaultSuspectAfterMS      = 3000
	defaultHoldForMS           = 3000
	defaultFenceAfterMS        = 6000
	defaultForgetAfterMS       = 60_000
	defaultCrossDomainContacts = 3
	defaultListIntervalMS      = 10_000
	defaultReadyAfterMS        = 10_000
	defaultLeaveTimeoutMS      = 10_000
	defaultLingerMS            = 100
	// listPerMember lengthens the time between reads of the platform's VM list, because the rate limits of the platform
	// grow more slowly than the fleet.
	listPerMember         = 20 * time.Millisecond
	retryGonePeriods      = 5
	claimRetriesPerPeriod = 2
)

// Settings of the plug-in.
type Settings struct {
	// PeriodMS is the time between heartbeats, in milliseconds. Default 1000.
	PeriodMS int64 `json:"period_ms" validate:"gte=10,lte=60000"`
	// SuspectAfterMS is the silence after which a member is suspect, in milliseconds. Default 3000.
	SuspectAfterMS int64 `json:"suspect_after_ms" validate:"gte=10,lte=600000"`
	// HoldForMS is how long after its last acknowledged heartbeat a VM uses the upstreams that it holds, in milliseconds.
	// A process that did not run for longer counts as paused. Default 3000.
	HoldForMS int64 `json:"hold_for_ms" validate:"gte=10,lte=600000"`
	// FenceAfterMS is the silence after which a member is gone and other VMs take over its upstreams, in
	// milliseconds. All VMs must have the same value. Default 6000.
	FenceAfterMS int64 `json:"fence_after_ms" validate:"gte=10,lte=600000"`
	// ForgetAfterMS is the silence after which a VM that the platform does not list is removed from the member table, in
	// milliseconds. Default 60000.
	ForgetAfterMS int64 `json:"forget_after_ms" validate:"gte=10,lte=86400000"`
	// CrossDomainContacts is the number of VMs of other failure domains contacted in each period. Default 3.
	CrossDomainContacts int `json:"across" validate:"gte=1,lte=1000"`
	// ListIntervalMS is the time between reads of the platform's VM list, in milliseconds; 20 ms are added for each known VM.
	// Default 10000.
	ListIntervalMS int64 `json:"list_ms" validate:"gte=10,lte=3600000"`
	// ReadyAfterMS is the time after which the VM is ready even if it does not hold all upstreams assigned to it, in
	// milliseconds. Default 10000.
	ReadyAfterMS int64 `json:"ready_after_ms" validate:"gte=0,lte=600000"`
	// LeaveTimeoutMS bounds the hand-over of a planned stop, in milliseconds. Default 10000.
	LeaveTimeoutMS int64 `json:"leave_timeout_ms" validate:"gte=0,lte=600000"`
	// LingerMS is how long a VM that has left still answers sub-requests in flight, in milliseconds. Default 100.
	LingerMS int64 `json:"linger_ms" validate:"gte=0,lte=60000"`
	// Members lists VMs that are known before the first platform answer. Default none.
	Members []Member `json:"members" validate:"dive"`
}

// Member is one VM.
type Member struct {
	Name          string `json:"name" validate:"required"`
	FailureDomain string `json:"failure_domain" validate:"required"`
	PeerAddress   string `json:"peer_address" validate:"required,hostname_port"`
}

func defaults() *Settings {
	return &Settings{
		PeriodMS: defaultPeriodMS, SuspectAfterMS: defaultSuspectAfterMS, HoldForMS: defaultHoldForMS,
		FenceAfterMS: defaultFenceAfterMS, ForgetAfterMS: defaultForgetAfterMS, CrossDomainContacts: defaultCrossDomainContacts, ListIntervalMS: defaultListIntervalMS,
		ReadyAfterMS: defaultReadyAfterMS, LeaveTimeoutMS: defaultLeaveTimeoutMS, LingerMS: defaultLingerMS,
	}
}

// Check implements kernel.Checker.
func (s *Settings) Check() []core.Problem {
	var problems []core.Problem
	if s.HoldForMS < 2*s.PeriodMS {
		problems = append(problems, core.Problem{Path: "hold_for_ms", Detail: "must be at least twice period_ms, or one lost heartbeat suspends the VM"})
	}
	if s.FenceAfterMS < 2*s.HoldForMS {
		problems = append(problems, core.Problem{Path: "fence_after_ms", Detail: "must be at least twice hold_for_ms, so that a holder stops before others take over"})
	}
	if s.SuspectAfterMS < 2*s.PeriodMS || s.SuspectAfterMS > s.FenceAfterMS {
		problems = append(problems, core.Problem{Path: "suspect_after_ms", Detail: "must be between twice period_ms and fence_after_ms"})
	}
	return problems
}

func (s *Settings) period() time.Duration { return milliseconds(s.PeriodMS) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *Settings) initialMembers() []core.VM {
	vms := make([]core.VM, len(s.Members))
	for i, m := range s.Members {
		vms[i] = core.VM{Name: core.VMName(m.Name), Domain: core.FailureDomain(m.FailureDomain), PeerAddress: m.PeerAddress}
	}
	return vms
}
