package ownership

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// block is a set of upstreams of one failure domain that have the same candidate.
type block struct {
	key       string
	hash      uint64
	service   core.ServiceName
	domain    core.FailureDomain
	upstreams []core.UpstreamID
	// candidate is the live VM with the highest score, "" when there is none; score is its score.
	candidate core.VMName
	score     uint64
}

// Blocks returns the upstreams of a service that are placed together. Every VM with the same configuration computes the
// same result.
//
// A group is numbered by its position among the groups of the service that have a replica in the failure domain, so
// that blocks are full however the replicas are spread over domains.
func Blocks(service *core.Service) [][]core.UpstreamID {
	blocks := blocksOf(service)
	all := make([][]core.UpstreamID, len(blocks))
	for i := range blocks {
		all[i] = blocks[i].upstreams
	}
	return all
}

func blocksOf(service *core.Service) []*block {
	p := placer{
		service: service, seen: make(map[core.UpstreamID]bool), byKey: make(map[string]*block), groupCount: make(map[core.FailureDomain]int),
	}
	for g := range service.Groups {
		p.addGroup(&service.Groups[g])
	}
	return p.blocks
}

// placer divides the upstreams of one service into blocks.
type placer struct {
	service *core.Service
	blocks  []*block
	byKey   map[string]*block
	// groupCount is the number of groups so far that have a replica in each failure domain.
	groupCount map[core.FailureDomain]int
	seen       map[core.UpstreamID]bool
}

func (p *placer) addGroup(group *core.Group) {
	var domains []core.FailureDomain
	for u := range group.Upstreams {
		upstream := &group.Upstreams[u]
		if p.seen[upstream.ID] {
			continue
		}
		p.seen[upstream.ID] = true
		p.add(p.keyOf(upstream), upstream)
		domains = append(domains, upstream.Domain)
	}
	counted := make(map[core.FailureDomain]bool)
	for _, domain := range domains {
		if !counted[domain] {
			counted[domain] = true
			p.groupCount[domain]++
		}
	}
}

// keyOf returns the key of the block of an upstream. Without blocks the key is the ID of the upstream, so that its
// placement does not change when earlier groups are removed.
func (p *placer) keyOf(upstream *core.Upstream) string {
	size := p.service.Rule.PlacementBlock
	if size <= 1 {
		return string(upstream.ID)
	}
	return fmt.Sprintf("%s/%s/%d", p.service.Name, upstream.Domain, p.groupCount[upstream.Domain]/size)
}

func (p *placer) add(key string, upstream *core.Upstream) {
	b := p.byKey[key]
	if b == nil {
		b = &block{key: key, hash: xxhash.Sum64String(key), service: p.service.Name, domain: upstream.Domain}
		p.byKey[key] = b
		p.blocks = append(p.blocks, b)
	}
	b.upstreams = append(b.upstreams, upstream.ID)
}
