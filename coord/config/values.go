package config

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"gooseberrylane.example/core"
)

// Ranges of the values of a configuration.
const (
	// MaxDeadlineMS is the longest deadline that a rule may allow, in milliseconds.
	MaxDeadlineMS core.Milliseconds = 600_000
	// MaxShardsBound is the highest bound for the shards of one query.
	MaxShardsBound = 100_000
	// MaxPlacementBlock bounds the groups of a placement block.
	MaxPlacementBlock = 1000
	// MaxPercent bounds the shares of hedges and retries.
	MaxPercent = 100
	// MaxRate bounds the rate per caller, in queries per second.
	MaxRate = 1_000_000
	// MaxSlots bounds the slots of one upstream.
	MaxSlots = 10_000
	// MaxConnections bounds the connections of one upstream.
	MaxConnections = 100_000
	// MaxOpenCostMS bounds the time to open a connection, in milliseconds.
	MaxOpenCostMS core.Milliseconds = 60_000
)

const maxPort = 65_535

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// ValidName reports whether a text is a valid name for a service, group, shard, upstream, failure domain, operator or
// plan.
func ValidName(text string) bool { return namePattern.MatchString(text) }

func (c *checker) checkName(path, text string) {
	if !ValidName(text) {
		c.add(path, "must have 1 to 128 letters, digits or ._:-")
	}
}

func (c *checker) checkRule(path string, rule *core.Rule) {
	c.checkRange(path+".class", int64(rule.Class), 0, int64(core.MaxClass))
	c.checkRange(path+".max_deadline_ms", int64(rule.MaxDeadlineMS), 1, int64(MaxDeadlineMS))
	c.checkRange(path+".default_deadline_ms", int64(rule.DefaultDeadlineMS), 1, int64(min(max(rule.MaxDeadlineMS, 1), MaxDeadlineMS)))
	if rule.VersionRule != core.VersionNewest && rule.VersionRule != core.VersionBestCovered {
		c.add(path+".version_rule", "must be %q or %q, got %q", core.VersionNewest, core.VersionBestCovered, rule.VersionRule)
	}
	c.checkRange(path+".max_shards", int64(rule.MaxShards), 0, MaxShardsBound)
	c.checkRange(path+".placement_block", int64(rule.PlacementBlock), 0, MaxPlacementBlock)
	c.checkFloat(path+".hedge_percent", rule.HedgePercent, MaxPercent)
	c.checkFloat(path+".retry_percent", rule.RetryPercent, MaxPercent)
	c.checkFloat(path+".rate_per_caller", rule.RatePerCaller, MaxRate)
	seen := make(map[core.FailureDomain]bool)
	for i, domain := range rule.Domains {
		domainPath := fmt.Sprintf("%s.domains[%d]", path, i)
		c.checkName(domainPath, string(domain))
		if seen[domain] {
			c.add(domainPath, "failure domain %q is listed twice", domain)
		}
		seen[domain] = true
	}
}

func (c *checker) checkRange(path string, value, low, high int64) {
	if value < low || value > high {
		c.add(path, "must be %d to %d, got %d", low, high, value)
	}
}

// checkFloat checks that a value is in [0, high]; NaN is out of range.
func (c *checker) checkFloat(path string, value, high float64) {
	if math.IsNaN(value) || value < 0 || value > high {
		c.add(path, "must be 0 to %g, got %g", high, value)
	}
}

func (c *checker) checkGroup(path string, group *core.Group) {
	c.checkName(path+".name", string(group.Name))
	seen := make(map[core.UpstreamID]bool)
	for u := range group.Upstreams {
		upstream := &group.Upstreams[u]
		upstreamPath := fmt.Sprintf("%s.upstreams[%d]", path, u)
		if seen[upstream.ID] {
			c.add(upstreamPath+".id", "upstream %q is listed twice", upstream.ID)
		}
		seen[upstream.ID] = true
		c.checkUpstream(upstreamPath, upstream)
	}
}

func (c *checker) checkUpstream(path string, upstream *core.Upstream) {
	c.checkName(path+".id", string(upstream.ID))
	c.checkName(path+".domain", string(upstream.Domain))
	if !validAddress(upstream.Address) {
		c.add(path+".address", "must be host:port, got %q", upstream.Address)
	}
	c.checkRange(path+".slots", int64(upstream.Slots), 1, MaxSlots)
	c.checkRange(path+".connections", int64(upstream.Connections), 1, MaxConnections)
	c.checkRange(path+".open_cost_ms", int64(upstream.OpenCostMS), 0, int64(MaxOpenCostMS))
}

func validAddress(address string) bool {
	colon := strings.LastIndexByte(address, ':')
	if colon <= 0 || strings.ContainsAny(address, " \t\r\n/") {
		return false
	}
	port, err := strconv.Atoi(address[colon+1:])
	return err == nil && port >= 1 && port <= maxPort
}

// checkLayout checks one layout; last is the first version of the preceding layout.
func (c *checker) checkLayout(path string, layout *core.Layout, last core.IndexVersion) {
	if layout.FirstVersion <= last {
		c.add(path+".first_version", "must be more than %d, got %d", last, layout.FirstVersion)
	}
	if len(layout.Shards) == 0 {
		c.add(path+".shards", "must have at least one shard")
	}
	seen := make(map[core.ShardName]bool)
	for s := range layout.Shards {
		shard := &layout.Shards[s]
		shardPath := fmt.Sprintf("%s.shards[%d]", path, s)
		c.checkName(shardPath+".name", string(shard.Name))
		if seen[shard.Name] {
			c.add(shardPath+".name", "shard %q is listed twice", shard.Name)
		}
		seen[shard.Name] = true
	}
}
