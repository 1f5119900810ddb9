// Package catalog decides which registered upstreams may get work, from entries that arrive late, twice, out of order or
// damaged.
package catalog

import (
	"slices"
	"strings"
	"time"

	"gooseberrylane.example/core"
)

// Entry is what the store holds of one upstream.
type Entry struct {
	ID core.UpstreamID
	// Revision orders the changes of one entry.
	Revision uint64
	// Deleted is true when the store removed the entry.
	Deleted bool
	// Damaged tells why the entry names no upstream to use; empty for a good one.
	Damaged string

	Service core.ServiceName
	Address string
	Domain  core.FailureDomain
	Slots   int
	// Draining is true when the upstream takes no new work.
	Draining bool
	// ColdFor is how much longer the upstream is slow after its start.
	ColdFor time.Duration
	// Sequence counts what one incarnation wrote. Born is the start of the incarnation as a Unix time in milliseconds, 0
	// when the entry does not say.
	Sequence uint64
	Born     int64
}

// supersedes reports whether e may replace old. An upstream that started again under its ID counts from the beginning,
// and a write of its earlier incarnation may arrive after the first of the later one.
func (e *Entry) supersedes(old *Entry) bool {
	if e.Revision < old.Revision {
		return false
	}
	if e.Deleted || e.Damaged != "" || old.Deleted || old.Damaged != "" || e.Born == 0 || old.Born == 0 {
		return true
	}
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	return e.Sequence >= old.Sequence
}

// sameUpstream reports whether two entries describe the same process.
func (e *Entry) sameUpstream(old *Entry) bool {
	return e.Born == old.Born && e.Address == old.Address && e.Service == old.Service
}

type known struct {
	entry     Entry
	coldUntil time.Time
	// missingUntil is set when the entry vanished at a time at which the store may have dropped live entries; it is used
	// until then.
	missingUntil time.Time
}

// Directory holds the entries of all upstreams. It is not safe for concurrent use.
type Directory struct {
	// Grace is how long after the return of the store a vanished entry is kept: live upstreams write theirs again.
	Grace time.Duration

	entries map[core.UpstreamID]*known
	// regained is the end of the grace time after the last return of the store.
	regained time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory(grace time.Duration) *Directory {
	return &Directory{Grace: grace, entries: make(map[core.UpstreamID]*known)}
}

// Regained tells that the store answers again after it did not.
func (d *Directory) Regained(now time.Time) { d.regained = now.Add(d.Grace) }

// Put adds a changed entry and returns whether the usable upstreams may have changed.
func (d *Directory) Put(now time.Time, e Entry) bool {
	old := d.entries[e.ID]
	if old != nil && !e.supersedes(&old.entry) {
		return false
	}
	if e.Deleted {
		return d.remove(now, e.ID, e.Revision)
	}
	next := &known{entry: e, coldUntil: now.Add(e.ColdFor)}
	d.entries[e.ID] = next
	return old == nil || !next.equivalent(old)
}

// equivalent reports whether two states of an entry lead to the same use.
func (k *known) equivalent(old *known) bool {
	a, b := k.entry, old.entry
	return a.sameUpstream(&b) && a.Domain == b.Domain && a.Slots == b.Slots && a.Draining == b.Draining &&
		(a.Damaged == "") == (b.Damaged == "") && old.missingUntil.IsZero() && a.ColdFor == b.ColdFor
}

func (d *Directory) remove(now time.Time, id core.UpstreamID, revision uint64) bool {
	old := d.entries[id]
	if old == nil {
		return false
	}
	if now.Before(d.regained) && !old.entry.Draining {
		if old.missingUntil.IsZero() {
			old.missingUntil = d.regained
		}
		old.entry.Revision = max(old.entry.Revision, revision)
		return false
	}
	delete(d.entries, id)
	return true
}

// Replace adds a complete list of entries: what it lacks was removed.
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

// Expire removes the entries whose grace time is over. It returns whether any was, and when to call it again; zero when
// nothing waits.
func (d *Directory) Expire(now time.Time) (changed bool, next time.Time) {
	for id, k := range d.entries {
		switch {
		case k.missingUntil.IsZero():
		case !now.Before(k.missingUntil):
			delete(d.entries, id)
			changed = true
		case next.IsZero() || k.missingUntil.Before(next):
			next = k.missingUntil
		}
	}
	return changed, next
}

// Usable returns the upstreams that may get work, by service, with the connection limits of a table of routes.
func (d *Directory) Usable(table *core.RouteTable) *core.RegisteredUpstreams {
	groups := make(map[core.ServiceName]*core.Group)
	for _, k := range d.entries {
		e := &k.entry
		if e.Damaged != "" || e.Draining {
			continue
		}
		group := groups[e.Service]
		if group == nil {
			group = &core.Group{Name: core.GroupName(e.Service)}
			groups[e.Service] = group
		}
		upstream := core.Upstream{ID: e.ID, Address: e.Address, Domain: e.Domain, Slots: e.Slots}
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

// Incarnation tells apart the processes that use one ID, for what was observed of them.
type Incarnation struct {
	Address   string
	Born      int64
	ColdUntil time.Time
}

// Incarnation returns the incarnation of a known upstream.
func (d *Directory) Incarnation(id core.UpstreamID) (Incarnation, bool) {
	k := d.entries[id]
	if k == nil {
		return Incarnation{}, false
	}
	return Incarnation{Address: k.entry.Address, Born: k.entry.Born, ColdUntil: k.coldUntil}, true
}

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.entries) }
