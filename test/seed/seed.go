// Package seed fixes the seed of property tests. Import it for its effect; -rapid.seed on the command line overrides it.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

// value is the seed. It is printed by rapid when a property fails.
const value = "20261204"

func init() {
	if err := flag.Set("rapid.seed", value); err != nil {
		panic(err)
	}
}
