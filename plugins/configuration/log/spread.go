package log

import (
	"context"
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

const (
	// sendTimeout bounds the wait for room on a link. A lost message is repaired by comparing.
	sendTimeout = 100 * time.Millisecond
	// maxPushBytes bounds the changes that are pushed unasked. Of larger ones only the revision is pushed, because most
	// VMs hear of a change several times.
	maxPushBytes = 16 << 10
	// maxChangesBytes and maxChanges bound the changes of one message.
	maxChangesBytes = 1 << 20
	maxChanges      = 256
	// contactGain is how much older the contact that a peer reports must be before it is answered with a later one.
	contactGain = 2 * time.Second
	// pullWait is how long a VM waits for requested changes before it asks another peer for the same ones.
	pullWait = 500 * time.Millisecond
)

// transfers is what the goroutine of the inbox remembers about changes under way.
type transfers struct {
	// target is the revision that was last asked for, and until the time up to which no other peer is asked for it.
	target core.Revision
	until  time.Time
	// set is the encoded set of a revision; a restart of many VMs asks for the same one many times.
	set         []byte
	setRevision core.Revision
}

// partnerList is the choice of partners for one member list.
type partnerList struct {
	members  *core.Members
	partners config.Partners
	watcher  bool
	writer   bool
}

// spread returns the partners and duties of this VM under the current member list.
func (s *service) spread() *partnerList {
	members := s.State.Load().Members
	if p := s.partners.Load(); p != nil && p.members == members {
		return p
	}
	p := &partnerList{
		members: members, partners: config.NewPartners(members),
		watcher: config.IsWatcher(members), writer: config.IsCheckpointer(members),
	}
	s.partners.Store(p)
	return p
}

// serveInbox answers messages of peers and compares revisions.
func (s *service) serveInbox() {
	random := s.Random.Generator()
	period := func() time.Duration {
		return time.Duration((0.5 + random.Float64()) * float64(millis(s.settings.CompareMS)))
	}
	timer := time.NewTimer(period())
	defer timer.Stop()
	for {
		select {
		case in := <-s.inbox:
			s.serve(in)
		case <-timer.C:
			s.compare()
			timer.Reset(period())
		case <-s.base.Done():
			return
		}
	}
}

// compare tells one partner the own revision and asks it for changes that are missing.
func (s *service) compare() {
	s.publishContact()
	for _, vm := range s.spread().partners.Random(s.Random.Generator()) {
		s.send(vm, s.ownRevision(false))
		if s.hasGap() {
			s.request(vm, s.held()+1)
		}
	}
}

func (s *service) hasGap() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.log.Missing(1)) > 0
}

func (s *service) send(to core.VM, m kinds.Message) {
	ctx, cancel := context.WithTimeout(s.base, sendTimeout)
	defer cancel()
	_ = s.Peers.Send(ctx, to, m)
}

func (s *service) serve(in inbound) {
	switch m := in.m.(type) {
	case *revisionMessage:
		s.onRevision(in.from, m)
	case *changesMessage:
		s.onChanges(in.from, m)
	case *changesRequest:
		s.note(in.from, m.After)
		s.sendSince(in.from, m.After)
	case *setMessage:
		s.onSet(in.from, m)
	case *progressRequest:
		s.send(in.from, progressAnswer{ID: m.ID, Revision: s.Revision()})
	}
}

// note remembers what a peer has, while the first set is being chosen.
func (s *service) note(from core.VM, revision core.Revision) {
	s.mu.Lock()
	if !s.open {
		s.told[from.Name] = revision
	}
	s.mu.Unlock()
	select {
	case s.heard <- struct{}{}:
	default:
	}
}

func (s *service) onRevision(from core.VM, m *revisionMessage) {
	now := s.Clock.Now()
	contact, known := m.contact(now)
	if known {
		s.freshen(m.Revision, contact)
	}
	defer s.note(from, m.Revision)
	held, age := s.held(), s.contactAge()
	switch {
	case m.Reply:
		s.send(from, s.ownRevision(false))
	case m.Revision > held:
		s.request(from, m.Revision)
	case m.Revision < held:
		s.sendSince(from, m.Revision)
	case age >= 0 && (!known || now.Sub(contact) > age+contactGain):
		s.send(from, s.ownRevision(false))
	}
}

// sendSince sends the changes after a revision, or the whole set when they are no longer kept.
func (s *service) sendSince(to core.VM, after core.Revision) {
	s.mu.Lock()
	head, set := s.log.Revision(), s.log.Set()
	changes, kept := s.log.Since(after, maxChanges)
	s.mu.Unlock()
	if after >= head {
		return
	}
	if kept {
		s.send(to, changesMessage{Head: head, Changes: s.encodeChanges(changes)})
		return
	}
	if s.transfers.setRevision != head {
		data, err := encodeSet(set)
		if err != nil {
			s.Log.Error("config_set_not_encoded", "error", err.Error())
			return
		}
		s.transfers.set, s.transfers.setRevision = data, head
	}
	s.send(to, setMessage{Revision: head, Data: s.transfers.set})
}

// request asks a peer for the changes up to a revision, unless another peer was just asked for them.
func (s *service) request(from core.VM, target core.Revision) {
	now := s.Clock.Now()
	if target <= s.transfers.target && now.Before(s.transfers.until) {
		return
	}
	s.transfers.target, s.transfers.until = target, now.Add(pullWait)
	s.send(from, changesRequest{After: s.held()})
}

// encodeChanges encodes changes up to the bound of a message, and at least one.
func (s *service) encodeChanges(changes []config.Change) [][]byte {
	var encoded [][]byte
	total := 0
	for i := range changes {
		raw, err := encodeChange(&changes[i])
		if err != nil {
			s.Log.Error("config_change_not_encoded", "error", err.Error())
			break
		}
		total += len(raw)
		if len(encoded) > 0 && total > maxChangesBytes {
			break
		}
		encoded = append(encoded, raw)
	}
	return encoded
}

func (s *service) onChanges(from core.VM, m *changesMessage) {
	changes := make([]config.Change, 0, len(m.Changes))
	for _, raw := range m.Changes {
		change, err := decodeChange(raw)
		if err != nil {
			s.Log.Error("config_change_refused", "source", sourcePeer, "peer", string(from.Name), "error", err.Error())
			return
		}
		changes = append(changes, change)
	}
	before := s.held()
	applied := s.take(sourcePeer, changes...)
	s.note(from, m.Head)
	gap := len(changes) > 0 && changes[0].Revision > before+1
	// Without one of the two, asking again would bring the same refused changes.
	if s.held() < m.Head && (applied || gap) {
		s.transfers.until = time.Time{}
		s.request(from, m.Head)
	}
}

func (s *service) onSet(from core.VM, m *setMessage) {
	if m.Revision <= s.held() {
		return
	}
	set, err := decodeSet(m.Data)
	if err != nil || set.Revision != m.Revision {
		s.Log.Error("config_set_refused", "peer", string(from.Name), "revision", uint64(m.Revision))
		return
	}
	s.restore(sourcePeerSet, set)
	s.note(from, m.Revision)
}

// push tells partners about steps that are new to this VM.
func (s *service) push(steps []config.AppliedChange) {
	var m kinds.Message = s.ownRevision(false)
	if changes, total := s.pushable(steps); total <= maxPushBytes {
		m = changesMessage{Head: s.held(), Changes: changes}
	}
	for _, vm := range s.spread().partners.PushTargets(s.Random.Generator()) {
		s.send(vm, m)
	}
}

func (s *service) pushable(steps []config.AppliedChange) (encoded [][]byte, total int) {
	for i := range steps {
		raw, err := encodeChange(&steps[i].Change)
		if err != nil {
			return nil, maxPushBytes + 1
		}
		total += len(raw)
		if total > maxPushBytes {
			return nil, total
		}
		encoded = append(encoded, raw)
	}
	return encoded, total
}
