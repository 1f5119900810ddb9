package config

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gooseberrylane.example/core"
)

// digester computes digests of sets. They can be compared between VMs of one release only. It keeps the digest of each service, so that a change costs only the services
// that it touches.
type digester struct {
	known map[*core.Service]uint64
}

func (d *digester) digest(set *core.ConfigSet) uint64 {
	next := make(map[*core.Service]uint64, len(set.Services))
	var sum uint64
	for _, service := range set.Services {
		value, ok := d.known[service]
		if !ok {
			value = serviceDigest(service)
		}
		next[service] = value
		// Addition does not depend on the order of the services.
		sum += value
	}
	d.known = next
	return sum
}

func serviceDigest(service *core.Service) uint64 {
	var h xxhash.Digest
	h.Reset()
	// Writes to a digest cannot fail. Nil and empty lists must count as equal, so lists are written by element.
	rule := service.Rule
	rule.Domains = nil
	_, _ = fmt.Fprintf(&h, "%q %#v %q\n", service.Name, rule, service.Rule.Domains)
	for g := range service.Groups {
		_, _ = fmt.Fprintf(&h, "group %q\n", service.Groups[g].Name)
		for u := range service.Groups[g].Upstreams {
			_, _ = fmt.Fprintf(&h, "%#v\n", service.Groups[g].Upstreams[u])
		}
	}
	for l := range service.Layouts {
		_, _ = fmt.Fprintf(&h, "layout %d\n", service.Layouts[l].FirstVersion)
		for s := range service.Layouts[l].Shards {
			_, _ = fmt.Fprintf(&h, "%#v\n", service.Layouts[l].Shards[s])
		}
	}
	return h.Sum64()
}
