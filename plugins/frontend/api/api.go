// Package api defines the JSON bodies of the operator interface, for the front end that serves it and for programs that
// call it.
package api

import (
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
)

// ErrorBody is the body of every refused request.
type ErrorBody struct {
	Code         core.Code      `json:"code"`
	Name         string         `json:"name"`
	Meaning      string         `json:"meaning"`
	Detail       string         `json:"detail,omitempty"`
	Problems     []core.Problem `json:"problems,omitempty"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
}

// ConfirmRequest is the body of POST /v1/plans/{id}/confirm.
type ConfirmRequest struct {
	// Operator is the name of the operator who confirms the plan.
	Operator string `json:"operator"`
}

// History is the answer to GET /v1/history.
type History struct {
	Changes []config.Change `json:"changes"`
	// Next is the value of after for the next page; 0 when the VM has no later change.
	Next core.Revision `json:"next"`
}

// Status is the answer to GET /v1/status: the state of one VM at one moment.
type Status struct {
	VM          core.VMName        `json:"vm"`
	Incarnation core.Incarnation   `json:"incarnation"`
	Domain      core.FailureDomain `json:"failure_domain"`
	Ready       bool               `json:"ready"`
	// Stale is true while the platform is unreachable, so that the configuration may be outdated.
	Stale bool `json:"stale"`
	// PlatformAgeMS is the time since the last contact with the platform, in milliseconds; null before the first.
	PlatformAgeMS *int64        `json:"platform_age_ms"`
	Revision      core.Revision `json:"revision"`
	Members       []Member      `json:"members"`
	Upstreams     []Upstream    `json:"upstreams"`
}

// Member is one VM in the view of the answering VM.
type Member struct {
	Name        core.VMName        `json:"name"`
	Incarnation core.Incarnation   `json:"incarnation"`
	Domain      core.FailureDomain `json:"failure_domain"`
	PeerAddress string             `json:"peer_address"`
	State       string             `json:"state"`
}

// Upstream is the state of one upstream in the view of the answering VM.
type Upstream struct {
	ID     core.UpstreamID    `json:"id"`
	Domain core.FailureDomain `json:"failure_domain"`
	// Owner is the assumed owner; empty when it is not known.
	Owner core.VMName `json:"owner,omitempty"`
	// Held is true when the answering VM may use the upstream itself.
	Held bool `json:"held"`
	// Draining is true when an operator or the upstream itself marked it as draining.
	Draining bool `json:"draining"`
	// Ejected is true while the upstream is excluded from new work because of its results.
	Ejected  bool   `json:"ejected"`
	InFlight int64  `json:"in_flight"`
	Sent     uint64 `json:"sent"`
	Failed   uint64 `json:"failed"`
	Shed     uint64 `json:"shed"`
	// LatencyUS is the moving average of the latency in microseconds, 0 when nothing was observed.
	LatencyUS int64              `json:"latency_us"`
	Window    core.VersionWindow `json:"window"`
	// FirstUsed is the time of the first attempt after a cold start; null when unused.
	FirstUsed *time.Time `json:"first_used"`
}
