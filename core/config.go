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
	// groups indexes the groups of each service by name; built by Index.
	groups map[ServiceName]map[GroupName]*Group
}

// Service is a set of shards that callers query under one name.
type Service struct {
	Name    ServiceName `json:"name"`
	Rule    Rule        `json:"rule"`
	Groups  []Group     `json:"groups"`
	Layouts []Layout    `json:"layouts"`
}

// Rule holds the limits and defaults for queries of a service.
type Rule struct {
	// Class is the admission class, 0 to MaxClass; a lower number is served first.
	Class Class `json:"class"`
	// DefaultDeadlineMS applies to queries without a deadline.
	DefaultDeadlineMS Milliseconds `json:"default_deadline_ms"`
	// MaxDeadlineMS is the longest deadline a query may request.
	MaxDeadlineMS Milliseconds `json:"max_deadline_ms"`
	// VersionRule selects how the index version of an answer is chosen.
	VersionRule VersionRule `json:"version_rule"`
	// MaxShards bounds the shards of one query; 0 means no bound.
	MaxShards int `json:"max_shards"`
	// Domains lists the failure domains that queries may reach; empty means all.
	Domains []FailureDomain `json:"domains,omitempty"`
	// HedgePercent bounds hedges, in percent of sub-requests.
	HedgePercent float64 `json:"hedge_percent"`
	// RetryPercent bounds retries, in percent of sub-requests.
	RetryPercent float64 `json:"retry_percent"`
	// RatePerCaller bounds the queries per second of one caller across all VMs; 0 means no bound.
	RatePerCaller float64 `json:"rate_per_caller"`
	// PlacementBlock is the number of consecutive groups of the service whose upstreams in one failure domain have the
	// same owner. With a larger block a query involves fewer VMs, but the upstreams are spread less evenly. 0 means 1:
	// each upstream is placed separately.
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
	// Slots is the number of requests the upstream runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections the upstream accepts.
	Connections int `json:"connections"`
	// OpenCostMS is the time to open a connection.
	OpenCostMS Milliseconds `json:"open_cost_ms"`
	// Draining marks an upstream that an operator is removing; it gets no new work.
	Draining bool `json:"draining,omitempty"`
	// StartedMS is the start of the process of a registered upstream as a Unix time in milliseconds; 0 when not known.
	StartedMS int64 `json:"-"`
}

// Layout is the list of shards in force from FirstVersion on.
type Layout struct {
	FirstVersion IndexVersion `json:"first_version"`
	Shards       []Shard      `json:"shards"`
}

// Shard is one partition of a service's index, held by one group.
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
