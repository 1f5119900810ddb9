package snapshot

import "gooseberrylane.example/core"

// WantsRepin reports whether a query may be pinned to another version and run again: nothing is covered yet, so no two
// versions can mix, and a replica said that it lacks the version. The driver does this once at most.
func WantsRepin(answer *core.Answer) bool {
	if len(answer.Covered) > 0 {
		return false
	}
	for _, missing := range answer.Missing {
		if missing.Reason == core.CodeVersionMissing {
			return true
		}
	}
	return false
}
