// Package catalog decides which registered upstreams may receive work, from entries that may arrive late, twice, out of
// order or damaged.
package catalog

import (
	"slices"
	"strings"
	"time"

	"gooseberrylane.example/core"
)

// Entry is the store's entry of one upstream.
type Entry struct {
	ID core.UpstreamID
	// Revision orders the changes of one entry.
	Revision uint64
	// Deleted is true when the store removed the entry.
	Deleted bool
	// DamageReason is the reason why the entry cannot be used; empty for a valid entry.
	DamageReason string

	Service core.ServiceName
	Address string
	Domain  core.FailureDomain
	Slots   int
	// Draining is true when the upstream accepts no new work.
	Draining bool
	// ColdFor is the remaining time during which the upstream is slow after its start.
	ColdFor time.Duration
	// Sequence counts the writes of one incarnation.
	Sequence uint64
	// StartedMS is the start of the incarnation as a Unix time in milliseconds; 0 when the entry does not contain it.
	StartedMS int64
}

// supersedes reports whether e may replace old. An upstream that restarts under its ID also restarts its sequence, and a
// write of its earlier incarnation may arrive after the first write of the later one.
func (e *Entry) supersedes(old *Entry) bool {
	if e.DamageReason != "" && e.Revision == 0 {
		// Not even the revision can be read.
		return true
	}
	if e.Revision < old.Revision {
		return false
	}
	if e.Deleted || e.DamageReason != "" || old.Deleted || old.DamageReason != "" || e.StartedMS == 0 || old.StartedMS == 0 {
		return true
	}
	if e.StartedMS != old.StartedMS {
		return e.StartedMS > old.StartedMS
	}
	return e.Sequence >= old.Sequence
}

// sameUpstream reports whether two entries describe the same process.
func (e *Entry) sameUpstream(old *Entry) bool {
	return e.StartedMS == old.StartedMS && e.Address == old.Address && e.Service == old.Service
}

// directoryEntry is an entry with the times that apply to it on this VM.
type directoryEntry struct {
	entry     Entry
	coldUntil time.Time
	// graceUntil is set when the entry was removed within the grace time after a recovery of the store, because the store
	// may have lost entries of live upstreams. The entry is used until then.
	graceUntil time.Time
}

// Directory holds the entries of all upstreams. It is not safe for concurrent use.
type Directory struct {
	// Grace is how long after a recovery of the store a removed entry is kept, so that live upstreams can register again.
	Grace time.Duration

	entries map[core.UpstreamID]*directoryEntry
	// graceEnd is the end of the grace time after the last recovery of the store.
	graceEnd time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory(grace time.Duration) *Directory {
	return &Directory{Grace: grace, entries: make(map[core.UpstreamID]*directoryEntry)}
}

// StoreRecovered starts the grace time after the store has become available again.
func (d *Directory) StoreRecovered(now time.Time) { d.graceEnd = now.Add(d.Grace) }

// maxClockSkew bounds how far the start of a process may lie in the future. An entry with a later start would replace those of
// the real process for good.
const maxClockSkew = time.Hour

// Put adds a changed entry and returns whether the usable upstreams may have changed.
func (d *Directory) Put(now time.Time, e Entry) bool {
	if e.StartedMS > now.Add(maxClockSkew).UnixMilli() {
		e.DamageReason = "the start of the process is in the future"
	}
	old := d.entries[e.ID]
	if old != nil && !e.supersedes(&old.entry) {
		return false
	}
	if e.Deleted {
		return d.remove(now, e.ID, e.Revision)
	}
	if old != nil {
		e.Revision = max(e.Revision, old.entry.Revision)
	}
	next := &directoryEntry{entry: e, coldUntil: now.Add(e.ColdFor)}
	d.entries[e.ID] = next
	return old == nil || !next.equivalent(old)
}

// equivalent reports whether two states of an entry have the same effect on the usable upstreams.
func (d *directoryEntry) equivalent(old *directoryEntry) bool {
	a, b := d.entry, old.entry
	return a.sameUpstream(&b) && a.Domain == b.Domain && a.Slots == b.Slots && a.Draining == b.Draining &&
		(a.DamageReason == "") == (b.DamageReason == "") && old.graceUntil.IsZero() && a.ColdFor == b.ColdFor
}

func (d *Directory) remove(now time.Time, id core.UpstreamID, revision uint64) bool {
	old := d.entries[id]
	if old == nil {
		return false
	}
	if now.Before(d.graceEnd) && !old.entry.Draining {
		if old.graceUntil.IsZero() {
			old.graceUntil = d.graceEnd
		}
		old.entry.Revision = max(old.entry.Revision, revision)
		return false
	}
	delete(d.entries, id)
	return true
}

// Replace applies a complete list of entries; those that it lacks were removed. It returns whether the usable upstreams
// may have changed.
func (d *Directory) Replace(now time.Time, list []Entry) bool {
	changed := false
	listed := make(map[core.UpstreamID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
		changed = d.Put(now, list[i]) || changed
	}
	for id := range d.entries {
		if !listed[id] {
			changed = d.remove(now, id, 0) || changed
		}
	}
	return changed
}

// Expire removes the entries whose grace time is over. It returns whether there were any, and the time of the next call;
// zero when no entry is in its grace time.
func (d *Directory) Expire(now time.Time) (changed bool, next time.Time) {
	for id, held := range d.entries {
		switch {
		case held.graceUntil.IsZero():
		case !now.Before(held.graceUntil):
			delete(d.entries, id)
			changed = true
		case next.IsZero() || held.graceUntil.Before(next):
			next = held.graceUntil
		}
	}
	return changed, next
}

// Usable returns the upstreams that may receive work, by service, with the connection limits of a routing table.
func (d *Directory) Usable(table *core.RoutingTable) *core.RegisteredUpstreams {
	groups := make(map[core.ServiceName]*core.Group)
	for _, held := range d.entries {
		e := &held.entry
		if e.DamageReason != "" || e.Draining {
			continue
		}
		group := groups[e.Service]
		if group == nil {
			group = &core.Group{Name: core.GroupName(e.Service)}
			groups[e.Service] = group
		}
		upstream := core.Upstream{ID: e.ID, Address: e.Address, Domain: e.Domain, Slots: e.Slots, StartedMS: e.StartedMS}
		if table != nil {
			upstream.Connections = table.Services[e.Service].MaxConnections
		}
		group.Upstreams = append(group.Upstreams, upstream)
	}
	for _, group := range groups {
		slices.SortFunc(group.Upstreams, func(a, b core.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return &core.RegisteredUpstreams{Groups: groups}
}

// Incarnation distinguishes the processes that use one ID, so that observations of one are not applied to another.
type Incarnation struct {
	Address   string
	StartedMS int64
	ColdUntil time.Time
}

// SameProcess reports whether two incarnations are the same process.
func (i Incarnation) SameProcess(other Incarnation) bool {
	return i.Address == other.Address && i.StartedMS == other.StartedMS
}

// Incarnation returns the incarnation of an upstream and whether the directory holds it.
func (d *Directory) Incarnation(id core.UpstreamID) (Incarnation, bool) {
	held := d.entries[id]
	if held == nil {
		return Incarnation{}, false
	}
	return Incarnation{Address: held.entry.Address, StartedMS: held.entry.StartedMS, ColdUntil: held.coldUntil}, true
}

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.entries) }
