// Package capacity measures how the state and the control work of one VM grow with the numbers of upstreams and
// members, without processes or sockets.
package capacity

import (
	"context"
	"fmt"
	"io"
)

// Domains is the number of failure domains at the large size of the design page.
const Domains = 27

var (
	upstreamSizes = []int{1000, 10_000, 30_000, 90_000}
	// domainSizes are members of one failure domain; the last is the large size.
	domainSizes = []int{20, 80, 160, 278}
	// memberSizes are members of all failure domains.
	memberSizes = []int{20, 1000, 3000, 7500}
)

// Sizes are the points of the measurements.
type Sizes struct {
	Upstreams, DomainMembers, Members []int
}

// LargeSizes returns the points up to the large size of the design page.
func LargeSizes() Sizes {
	return Sizes{Upstreams: upstreamSizes, DomainMembers: domainSizes, Members: memberSizes}
}

// Run measures all series and fits lines to them. It writes one line to progress for each point.
func Run(ctx context.Context, sizes Sizes, seed uint64, progress io.Writer) ([]*Experiment, error) {
	var done []*Experiment
	for _, s := range []struct {
		name, x string
		sizes   []int
		measure func(n int, seed uint64) (map[string]float64, error)
	}{
		{"configuration", "upstreams", sizes.Upstreams, configurationAt},
		{"view", "upstreams", sizes.Upstreams, viewAt},
		{"ownership", "members of the failure domain, with the upstreams of the large size", sizes.DomainMembers, ownershipAt},
		{"heartbeat", "members of the failure domain", sizes.DomainMembers, heartbeatAt},
		{"members", "members of all failure domains", sizes.Members, membersAt},
	} {
		e := &Experiment{Name: s.name, X: s.x}
		for _, n := range s.sizes {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			figures, err := s.measure(n, seed)
			if err != nil {
				return nil, fmt.Errorf("%s at %d: %w", s.name, n, err)
			}
			fmt.Fprintf(progress, "capacity: %s at %d\n", s.name, n)
			e.add(n, figures)
		}
		e.fit()
		done = append(done, e)
	}
	return done, nil
}
