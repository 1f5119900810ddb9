package snapshot

import "gooseberrylane.example/core"

// MayRepin reports whether a query may be pinned to another version and run again: no shard is covered yet, so
// versions cannot mix, and a replica reported that it lacks the version. The caller does this at most once.
func MayRepin(answer *core.Answer) bool {
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
