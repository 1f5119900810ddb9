// Package snapshot chooses the index version that an answer is pinned to.
package snapshot

import "gooseberrylane.example/core"

// Choose returns the version to pin for groups whose replicas hold the given windows, or 0 when no window is known.
// Unknown windows are ignored.
func Choose(rule core.VersionRule, groups [][]core.VersionWindow) core.IndexVersion {
	if rule == core.VersionNewest {
		return newest(groups)
	}
	return bestCovered(groups)
}

func newest(groups [][]core.VersionWindow) core.IndexVersion {
	var version core.IndexVersion
	for _, windows := range groups {
		for _, w := range windows {
			version = max(version, w.Newest)
		}
	}
	return version
}

// bestCovered returns the highest of the versions that the most groups hold. It tries only the newest version of each
// window: above the newest version of one window and up to that of the next, every window that contains a version also
// contains all higher ones, so the count is highest at the newest version of a window.
func bestCovered(groups [][]core.VersionWindow) core.IndexVersion {
	tried := make(map[core.IndexVersion]bool)
	var best core.IndexVersion
	bestCount := 0
	for _, windows := range groups {
		for _, w := range windows {
			if w.Newest == 0 || tried[w.Newest] {
				continue
			}
			tried[w.Newest] = true
			count := covered(groups, w.Newest)
			if count > bestCount || (count == bestCount && w.Newest > best) {
				best, bestCount = w.Newest, count
			}
		}
	}
	return best
}

// covered returns the number of groups with a replica that holds a version.
func covered(groups [][]core.VersionWindow, version core.IndexVersion) int {
	count := 0
	for _, windows := range groups {
		for _, w := range windows {
			if w.Contains(version) {
				count++
				break
			}
		}
	}
	return count
}
