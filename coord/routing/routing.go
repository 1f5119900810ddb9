// Package routing chooses the service that gets a request of a route with several.
package routing

import (
	"math/rand/v2"

	"gooseberrylane.example/core"
)

// Pick returns one of the targets, each with a probability of its share of all weights. Requests are independent of each
// other, so a request that a service cannot take is refused and not moved to another service. The second value is false
// when there is no target with a weight.
func Pick(random *rand.Rand, targets []core.Target) (core.ServiceName, bool) {
	if len(targets) == 1 {
		return targets[0].Service, true
	}
	total := 0.0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	if total <= 0 {
		return "", false
	}
	x := random.Float64() * total
	for _, t := range targets {
		if x -= max(t.Weight, 0); x < 0 {
			return t.Service, true
		}
	}
	return targets[len(targets)-1].Service, true
}
