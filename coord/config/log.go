package config

import (
	"maps"
	"slices"

	"gooseberrylane.example/core"
)

// CheckpointEvery is the number of changes between two checkpoints.
const CheckpointEvery = 64

// maxPending bounds the changes that wait for a missing one. Changes beyond it are fetched again later.
const maxPending = 4096

// Log takes changes in any order, doubled and with gaps, and applies them densely and in order. Its revision never
// decreases. It is not safe for concurrent use.
type Log struct {
	set *core.ConfigSet
	// keep bounds the applied changes that are retained for others.
	keep    int
	applied map[core.Revision]Change
	pending map[core.Revision]Change
	digests digester
}

// Step is one applied change.
type Step struct {
	Change Change
	// Digest identifies the content of the set after the change; equal sets have equal digests.
	Digest uint64
}

// NewLog returns a log at revision 0 that retains at least the last keep applied changes.
func NewLog(keep int) *Log {
	return &Log{
		set: (&core.ConfigSet{}).Index(), keep: max(keep, 1),
		applied: make(map[core.Revision]Change), pending: make(map[core.Revision]Change),
	}
}

// Set returns the current set. It is immutable and indexed.
func (l *Log) Set() *core.ConfigSet { return l.set }

// Revision returns the revision of the current set.
func (l *Log) Revision() core.Revision { return l.set.Revision }

// Add takes changes and returns the steps that they made possible, in order. A change that the log has applied or
// holds already is ignored. The error is a *core.Error with CodeConflict that names the first change that differs from
// the one held under its revision; the other changes are taken nevertheless.
func (l *Log) Add(changes ...Change) ([]Step, error) {
	var refused error
	for i := range changes {
		if err := l.hold(&changes[i]); err != nil && refused == nil {
			refused = err
		}
	}
	return l.advance(), refused
}

func (l *Log) hold(change *Change) error {
	held, ok := l.applied[change.Revision]
	if !ok {
		held, ok = l.pending[change.Revision]
	}
	switch {
	case change.Revision == 0 || change.Plan == "":
		return core.Errorf(core.CodeBadRequest, "a change without revision or plan")
	case ok && held.Plan != change.Plan:
		return core.Errorf(core.CodeConflict, "revision %d holds plan %s, not %s", change.Revision, held.Plan, change.Plan)
	case ok || change.Revision <= l.set.Revision || change.Revision > l.set.Revision+maxPending:
		return nil
	}
	l.pending[change.Revision] = *change
	return nil
}

// advance applies the pending changes that follow the current set without a gap.
func (l *Log) advance() []Step {
	var steps []Step
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
		steps = append(steps, Step{Change: change, Digest: l.digests.digest(set)})
	}
	if len(steps) > 0 {
		l.set = set.IndexAfter(l.set)
		l.trim()
	}
	return steps
}

// trim drops old applied changes once twice the wanted number is held, so that its cost is spread over many changes.
func (l *Log) trim() {
	if len(l.applied) < 2*l.keep {
		return
	}
	oldest := l.set.Revision - core.Revision(l.keep)
	maps.DeleteFunc(l.applied, func(r core.Revision, _ Change) bool { return r <= oldest })
}

// Restore replaces the set by a later one, such as a checkpoint, and returns whether it did, and the steps that became
// possible. An older set is ignored. The log takes over set, which must not be shared.
func (l *Log) Restore(set *core.ConfigSet) (bool, []Step) {
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

// Missing returns the revisions, in order, that keep pending changes from being applied, at most limit.
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
// no longer retained; then only the set itself helps.
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
