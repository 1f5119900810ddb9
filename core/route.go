package core

import (
	"slices"
	"strings"
	"time"
)

type (
	// RouteName names a route.
	RouteName string
	// TableVersion orders the tables of routes that an operator writes; it only grows.
	TableVersion uint64
)

// RouteTable is the operator's routes, services and limits for callers at one version. It is immutable once indexed.
type RouteTable struct {
	Version  TableVersion
	Routes   []Route
	Services map[ServiceName]RoutedService
	Limits   CallerLimits
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// Route says which requests belong together, where they go and how long they may take.
type Route struct {
	Name RouteName
	// Host is compared without a port and in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Idempotent bool
	// MaxAttempts bounds the upstreams that get one request, for a gathered route those of each shard.
	MaxAttempts int
	// Timeout bounds the time that a caller waits.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// Priority is the rank of the route; 0 is served first.
	Priority int
	// Targets are the services that share the requests; it is empty on a gathered route.
	Targets []Target
	// Gather is set on a route whose answers are put together from many shards.
	Gather *GatherRule
}

// Target is a service with its share of the requests of a route.
type Target struct {
	Service ServiceName
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// GatherRule says how the parts of the shards become one answer.
type GatherRule struct {
	Shards []ServiceName
	// TopRecords is the number of greatest records in the answer.
	TopRecords int
	// MinCoverage is the share of the shards, between 0 and 1, without which there is no answer.
	MinCoverage float64
}

// RoutedService is what the operator says of a service.
type RoutedService struct {
	// MaxConnections bounds the connections of all VMs together to one upstream.
	MaxConnections int
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Index prepares Match and returns the table.
func (t *RouteTable) Index() *RouteTable {
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

// Match returns the route of a host whose prefix is the longest that begins the path, or nil.
func (t *RouteTable) Match(host, path string) *Route {
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

// normalHost drops the port and the case of a host.
func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// RegisteredUpstreams are the upstreams that registered themselves and take work, by service. It is immutable once
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
