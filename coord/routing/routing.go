// Package routing chooses the service for a request on a route with several services.
package routing

import (
	"math/rand/v2"

	"gooseberrylane.example/core"
)

// Pick returns the service of a random target, with probabilities in proportion to the weights. Each request is an
// independent draw, so a request that a service cannot take is refused and not moved to another service. The second
// value is false when no target has a weight.
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
	var chosen core.ServiceName
	for _, t := range targets {
		if t.Weight <= 0 {
			continue
		}
		// By rounding, x may stay above zero to the end.
		chosen = t.Service
		if x -= t.Weight; x < 0 {
			break
		}
	}
	return chosen, true
}
