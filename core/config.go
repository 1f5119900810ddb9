package core

import "time"

type (
	// ServiceName names a service.
	ServiceName string
	// GroupName names a group of replicas within its service.
	GroupName string
	// ShardName names a shard within its service.
	ShardName string
	// UpstreamID identifies an upstream across all services.
	UpstreamID string
	// FailureDomain names a failure domain.
	FailureDomain string
	// Revision is a position in the configuration change log; 0 is the empty configuration.
	Revision uint64
	// IndexVersion is a version of a service's index; 0 means not known.
	IndexVersion uint64
	// Milliseconds is a duration in whole milliseconds, for values that are stored or sent.
	Milliseconds int64
)

// Duration converts to time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// ConfigSet is the configuration at one revision. It is immutable once published.
type ConfigSet struct {
	Revision Revision                 `json:"revision"`
	Services map[ServiceName]*Service `json:"services"`
	// upstreams maps each upstream to its definition; built by Index.
	upstreams Map[UpstreamID, listedUpstream]
	// groups finds a group without a search through all groups of a service.
	groups map[ServiceName]map[GroupName]*Group
}

// Service is a set of shards that callers query under one name.
type Service struct {
	Name    ServiceName `json:"name"`
	Rule    Rule        `json:"rule"`
	Groups  []Group     `json:"groups"`
	Layouts []Layout    `json:"layouts"`
}

// Rule says how far and how fast queries of a service may reach.
type Rule struct {
	// Class orders admission; a lower number is served first. Range 0 to MaxClass.
	Class Class `json:"class"`
	// DefaultDeadlineMS applies when a query names none.
	DefaultDeadlineMS Milliseconds `json:"default_deadline_ms"`
	// MaxDeadlineMS is the longest deadline a query may ask for.
	MaxDeadlineMS Milliseconds `json:"max_deadline_ms"`
	// VersionRule selects how the index version of an answer is chosen.
	VersionRule VersionRule `json:"version_rule"`
	// MaxShards bounds the shards of one query; 0 means no bound.
	MaxShards int `json:"max_shards"`
	// Domains lists the failure domains that queries may reach; empty means all.
	Domains []FailureDomain `json:"domains,omitempty"`
	// HedgePercent bounds second requests, in percent of sub-requests.
	HedgePercent float64 `json:"hedge_percent"`
	// RetryPercent bounds retries, in percent of sub-requests.
	RetryPercent float64 `json:"retry_percent"`
	// RatePerCaller bounds the queries per second of one caller over all VMs; 0 means no bound.
	RatePerCaller float64 `json:"rate_per_caller"`
	// PlacementBlock is the number of neighbouring groups, by their order in the service, whose upstreams of one failure
	// domain have the same owner. A larger block makes a query visit fewer VMs and spreads the upstreams less evenly.
	// 0 means 1: each upstream is placed by itself.
	PlacementBlock int `json:"placement_block,omitempty"`
}

// Class is an admission class. Class 0 is served first.
type Class int

// MaxClass is the last admission class.
const MaxClass Class = 3

// VersionRule selects how the index version of an answer is chosen.
type VersionRule string

// Version rules.
const (
	// VersionNewest takes the highest version that any group published.
	VersionNewest VersionRule = "newest"
	// VersionBestCovered takes the highest version that the most groups hold.
	VersionBestCovered VersionRule = "best_covered"
)

// Group is a set of replicas that hold the same shards.
type Group struct {
	Name      GroupName  `json:"name"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one replica with its limits.
type Upstream struct {
	ID      UpstreamID    `json:"id"`
	Address string        `json:"address"`
	Domain  FailureDomain `json:"domain"`
	// Slots is the number of requests the upstream runs at the same time.
	Slots int `json:"slots"`
	// Connections is the number of connections the upstream accepts.
	Connections int `json:"connections"`
	// OpenCostMS is the time to open a connection.
	OpenCostMS Milliseconds `json:"open_cost_ms"`
	// Draining marks an upstream that an operator is taking out; it gets no new work.
	Draining bool `json:"draining,omitempty"`
}

// Layout is the list of shards in force from an index version on.
type Layout struct {
	FirstVersion IndexVersion `json:"first_version"`
	Shards       []Shard      `json:"shards"`
}

// Shard is one part of a service's index, held by one group.
type Shard struct {
	Name  ShardName `json:"name"`
	Group GroupName `json:"group"`
}

// Group returns the group of a service of the set, or nil. Unlike Service.Group it takes constant time.
func (c *ConfigSet) Group(service ServiceName, name GroupName) *Group {
	if c == nil {
		return nil
	}
	return c.groups[service][name]
}

// Group returns the group with the given name, or nil.
func (s *Service) Group(name GroupName) *Group {
	for i := range s.Groups {
		if s.Groups[i].Name == name {
			return &s.Groups[i]
		}
	}
	return nil
}

// LayoutAt returns the layout in force at an index version, or nil when the service has none at that version.
func (s *Service) LayoutAt(version IndexVersion) *Layout {
	var found *Layout
	for i := range s.Layouts {
		layout := &s.Layouts[i]
		if layout.FirstVersion <= version && (found == nil || layout.FirstVersion > found.FirstVersion) {
			found = layout
		}
	}
	return found
}
