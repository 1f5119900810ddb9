package config

import (
	"maps"
	"slices"

	"gooseberrylane.example/core"
)

// ChangesPerCheckpoint is the number of changes between two checkpoints.
const ChangesPerCheckpoint = 64

// maxPending bounds the changes that are buffered behind a gap. Changes beyond it are dropped and fetched again later.
const maxPending = 4096

// Log accepts changes in any order, with duplicates and gaps, and applies them in order and without gaps. Its revision
// never decreases. It is not safe for concurrent use.
type Log struct {
	set *core.ConfigSet
	// retain is the minimum number of applied changes that are retained for peers; up to twice as many are retained.
	retain  int
	applied map[core.Revision]Change
	pending map[core.Revision]Change
	digests digester
}

// AppliedChange is a change with the digest of the set after it.
type AppliedChange struct {
	Change Change
	// Digest identifies the content of the set after the change; equal sets have equal digests.
	Digest uint64
}

// NewLog returns a log at revision 0 that retains at least the given number of the last applied changes.
func NewLog(retain int) *Log {
	return &Log{
		set: (&core.ConfigSet{}).Index(), retain: max(retain, 1),
		applied: make(map[core.Revision]Change), pending: make(map[core.Revision]Change),
	}
}

// Set returns the current set. It is immutable and indexed.
func (l *Log) Set() *core.ConfigSet { return l.set }

// Revision returns the revision of the current set.
func (l *Log) Revision() core.Revision { return l.set.Revision }

// Add accepts changes and returns the changes that it could apply, in order. A change that is already applied or
// pending is ignored. The error is that of the first refused change: a *core.Error with CodeConflict when another plan
// has its revision, or with CodeBadRequest when it lacks a revision or plan. The other changes are accepted nevertheless.
func (l *Log) Add(changes ...Change) ([]AppliedChange, error) {
	var firstErr error
	for i := range changes {
		if err := l.addPending(&changes[i]); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return l.advance(), firstErr
}

func (l *Log) addPending(change *Change) error {
	known, ok := l.applied[change.Revision]
	if !ok {
		known, ok = l.pending[change.Revision]
	}
	switch {
	case change.Revision == 0 || change.Plan == "":
		return core.Errorf(core.CodeBadRequest, "the change has no revision or no plan")
	case ok && known.Plan != change.Plan:
		return core.Errorf(core.CodeConflict, "revision %d holds plan %s, not %s", change.Revision, known.Plan, change.Plan)
	case ok || change.Revision <= l.set.Revision || change.Revision > l.set.Revision+maxPending:
		return nil
	}
	l.pending[change.Revision] = *change
	return nil
}

// advance applies the pending changes that follow the current set without a gap.
func (l *Log) advance() []AppliedChange {
	var applied []AppliedChange
	set := l.set
	for {
		change, ok := l.pending[set.Revision+1]
		if !ok {
			break
		}
		next, err := applyNext(set, change)
		if err != nil {
			break
		}
		delete(l.pending, change.Revision)
		l.applied[change.Revision] = change
		set = next
		applied = append(applied, AppliedChange{Change: change, Digest: l.digests.digest(set)})
	}
	if len(applied) > 0 {
		l.set = set.IndexAfter(l.set)
		l.trim()
	}
	return applied
}

// trim removes old applied changes once there are twice as many as must be retained, so that its cost is spread over many
// changes.
func (l *Log) trim() {
	if len(l.applied) < 2*l.retain {
		return
	}
	oldest := l.set.Revision - core.Revision(l.retain)
	maps.DeleteFunc(l.applied, func(r core.Revision, _ Change) bool { return r <= oldest })
}

// Restore replaces the set by a later one, such as a checkpoint. It returns whether it did and the pending
// changes that it could then apply. An older set is ignored. The log takes ownership of set, which must not be shared.
func (l *Log) Restore(set *core.ConfigSet) (bool, []AppliedChange) {
	if set == nil || set.Revision <= l.set.Revision {
		return false, nil
	}
	l.set = set.Index()
	// The retained changes would have a gap before the set.
	clear(l.applied)
	maps.DeleteFunc(l.pending, func(r core.Revision, _ Change) bool { return r <= set.Revision })
	return true, l.advance()
}

// Digest identifies the content of the current set.
func (l *Log) Digest() uint64 { return l.digests.digest(l.set) }

// Missing returns, in order and at most limit, the revisions without which pending changes cannot be applied.
func (l *Log) Missing(limit int) []core.Revision {
	if len(l.pending) == 0 {
		return nil
	}
	var missing []core.Revision
	last := slices.Max(slices.Collect(maps.Keys(l.pending)))
	for r := l.set.Revision + 1; r < last && len(missing) < limit; r++ {
		if _, ok := l.pending[r]; !ok {
			missing = append(missing, r)
		}
	}
	return missing
}

// Applied returns the applied change of a revision and whether the log retains it.
func (l *Log) Applied(revision core.Revision) (Change, bool) {
	change, ok := l.applied[revision]
	return change, ok
}

// Since returns the applied changes after a revision in order, at most limit. The second result is false when they are
// no longer retained; the caller then needs the whole set.
func (l *Log) Since(after core.Revision, limit int) ([]Change, bool) {
	var changes []Change
	for r := after + 1; r <= l.set.Revision && len(changes) < limit; r++ {
		change, ok := l.applied[r]
		if !ok {
			return nil, false
		}
		changes = append(changes, change)
	}
	return changes, true
}
