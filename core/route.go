package core

import (
	"slices"
	"strings"
	"time"
)

type (
	// RouteName names a route.
	RouteName string
	// RoutingTableVersion is the version of a routing table; it only increases.
	RoutingTableVersion uint64
)

// RoutingTable is the operator's routing table at one version: routes, services and caller limits. It is immutable once
// indexed.
type RoutingTable struct {
	Version  RoutingTableVersion
	Routes   []Route
	Services map[ServiceName]RoutedService
	Limits   CallerLimits
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// Route selects requests by host and path prefix and defines their targets and limits.
type Route struct {
	Name RouteName
	// Host is compared without a port and in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Idempotent bool
	// MaxAttempts bounds the upstreams to which one request is sent; on a gathered route, those of each shard.
	MaxAttempts int
	// Timeout bounds the time from the arrival of a request to its answer.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// Priority orders routes; 0 is served first.
	Priority int
	// Targets are the services among which requests are split; empty on a gathered route.
	Targets []Target
	// Gather is set on a route whose answers combine the results of several shards.
	Gather *GatherRule
}

// Target is a service with its share of the requests of a route.
type Target struct {
	Service ServiceName
	// Weight is relative to the sum of the weights on the route.
	Weight float64
}

// GatherRule defines how the results of the shards are combined into one answer.
type GatherRule struct {
	Shards []ServiceName
	// TopRecords is the number of records in the answer; the greatest ones are chosen.
	TopRecords int
	// MinCoverage is the minimum share of shards, between 0 and 1, that an answer must cover.
	MinCoverage float64
}

// RoutedService holds the limits of a service.
type RoutedService struct {
	// MaxConnections bounds the total connections of all VMs to one upstream.
	MaxConnections int
}

// CallerLimits bound the size and the duration of requests from callers.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index builds the lookup tables for Match and returns the table.
func (t *RoutingTable) Index() *RoutingTable {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		route := &t.Routes[i]
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *RoutingTable) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	for _, route := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// normalHost strips the port of a host and converts it to lower case.
func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// RegisteredUpstreams holds the upstreams that registered themselves and accept work, by service. It is immutable once
// published.
type RegisteredUpstreams struct {
	// Groups holds the upstreams of each service as one group of replicas.
	Groups map[ServiceName]*Group
}

// Group returns the upstreams of a service, or nil.
func (r *RegisteredUpstreams) Group(service ServiceName) *Group {
	if r == nil {
		return nil
	}
	return r.Groups[service]
}
