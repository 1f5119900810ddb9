// Package random is the plug-in that selects a random replica among the least tried. It is the baseline for comparisons of
// selection.
package random

import (
	"math/rand/v2"
	"time"

	"go.uber.org/fx"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

func init() {
	kernel.Register(kernel.Plugin{
		Kind: kinds.SelectionKind, Name: "random",
		Options: func(any) fx.Option { return fx.Provide(func() query.Selector { return selector{} }) },
	})
}

type selector struct{}

// Select implements query.Selector. It breaks ties at random, so that the load is spread.
func (selector) Select(_ time.Time, generator *rand.Rand, candidates []query.Candidate) int {
	offset := generator.IntN(len(candidates))
	best := offset
	for i := range candidates {
		k := (offset + i) % len(candidates)
		if candidates[k].Tried < candidates[best].Tried {
			best = k
		}
	}
	return best
}

// ObserveResult implements query.Selector.
func (selector) ObserveResult(time.Time, *core.View, *core.Group, core.UpstreamID, core.Code) {}
