package log

import (
	"context"
	"time"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

const (
	// sendTimeout bounds the wait for room on a link. The next comparison of revisions makes up for a lost message.
	sendTimeout = 100 * time.Millisecond
	// maxPushBytes bounds the changes that are pushed unrequested. For larger ones only the revision is pushed, because
	// most VMs receive a push several times.
	maxPushBytes = 16 << 10
	// maxChangesBytes and maxChanges bound the changes of one message.
	maxChangesBytes = 1 << 20
	maxChanges      = 256
	// minContactGain is how much older the contact reported by a peer must be than that of this VM for a reply.
	minContactGain = 2 * time.Second
	// requestTimeout is how long a VM waits for requested changes before it requests them from another peer.
	requestTimeout = 500 * time.Millisecond
)

// transfers is the state of transfers from and to peers.
type transfers struct {
	// requested is the revision that was last requested. Until requestEnd it is not requested from another peer.
	requested  core.Revision
	requestEnd time.Time
	// encodedSet caches the set at encodedRevision: when many VMs restart, all of them request the same set.
	encodedSet      []byte
	encodedRevision core.Revision
}

// partnerList holds the partners and duties of this VM for one member list.
type partnerList struct {
	members      *core.Members
	partners     config.Partners
	watcher      bool
	checkpointer bool
}

// currentPartners returns the partners and duties of this VM for the current member list.
func (s *service) currentPartners() *partnerList {
	members := s.State.Load().Members
	if p := s.partners.Load(); p != nil && p.members == members {
		return p
	}
	p := &partnerList{
		members: members, partners: config.NewPartners(members),
		watcher: config.IsWatcher(members), checkpointer: config.IsCheckpointer(members),
	}
	s.partners.Store(p)
	return p
}

// serveInbox handles messages of peers and periodically compares revisions with a peer.
func (s *service) serveInbox() {
	random := s.Random.Generator()
	period := func() time.Duration {
		return time.Duration((0.5 + random.Float64()) * float64(millis(s.settings.CompareIntervalMS)))
	}
	timer := time.NewTimer(period())
	defer timer.Stop()
	for {
		select {
		case in := <-s.inbox:
			// A message that cannot be handled is dropped.
			_ = kernel.Protect(s.Log, "a message of another VM", func() { s.serve(in) })
		case <-timer.C:
			s.compare()
			timer.Reset(period())
		case <-s.base.Done():
			return
		}
	}
}

// compare sends the revision of this VM to a random partner and, if the log has a gap, requests the missing changes.
func (s *service) compare() {
	s.publishContact()
	for _, vm := range s.currentPartners().partners.Random(s.Random.Generator()) {
		s.send(vm, s.newRevisionMessage(false))
		if s.hasGap() {
			s.request(vm, s.logRevision()+1)
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
	switch m := in.message.(type) {
	case *revisionMessage:
		s.onRevision(in.from, m)
	case *changesMessage:
		s.onChanges(in.from, m)
	case *changesRequest:
		s.recordPeerRevision(in.from, m.After)
		s.sendSince(in.from, m.After)
	case *setMessage:
		s.onSet(in.from, m)
	case *progressRequest:
		s.send(in.from, progressAnswer{ID: m.ID, Revision: s.Revision()})
	}
}

// recordPeerRevision records the revision of a peer until the initial set is published.
func (s *service) recordPeerRevision(from core.VM, revision core.Revision) {
	s.mu.Lock()
	if !s.published {
		s.peerRevisions[from.Name] = revision
	}
	s.mu.Unlock()
	select {
	case s.peerReported <- struct{}{}:
	default:
	}
}

func (s *service) onRevision(from core.VM, m *revisionMessage) {
	now := s.Clock.Now()
	contact, known := m.contact(now)
	if known {
		s.recordContact(m.Revision, contact)
	}
	defer s.recordPeerRevision(from, m.Revision)
	held, age := s.logRevision(), s.contactAge()
	switch {
	case m.Reply:
		s.send(from, s.newRevisionMessage(false))
	case m.Revision > held:
		s.request(from, m.Revision)
	case m.Revision < held:
		s.sendSince(from, m.Revision)
	case age >= 0 && (!known || now.Sub(contact) > age+minContactGain):
		s.send(from, s.newRevisionMessage(false))
	}
}

// sendSince sends the changes after a revision, or the whole set if they are no longer retained.
func (s *service) sendSince(to core.VM, after core.Revision) {
	s.mu.Lock()
	head, set := s.log.Revision(), s.log.Set()
	changes, retained := s.log.Since(after, maxChanges)
	s.mu.Unlock()
	if after >= head {
		return
	}
	if retained {
		s.send(to, changesMessage{Head: head, Changes: s.encodeChanges(changes)})
		return
	}
	if s.transfers.encodedRevision != head {
		data, err := encodeSet(set)
		if err != nil {
			s.Log.Error("config_set_not_encoded", "error", err.Error())
			return
		}
		s.transfers.encodedSet, s.transfers.encodedRevision = data, head
	}
	s.send(to, setMessage{Revision: head, Data: s.transfers.encodedSet})
}

// request requests the changes up to a revision from a peer, unless a request for them is pending.
func (s *service) request(from core.VM, target core.Revision) {
	now := s.Clock.Now()
	if target <= s.transfers.requested && now.Before(s.transfers.requestEnd) {
		return
	}
	s.transfers.requested, s.transfers.requestEnd = target, now.Add(requestTimeout)
	s.send(from, changesRequest{After: s.logRevision()})
}

// encodeChanges encodes as many changes as fit into a message, but at least one.
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
	before := s.logRevision()
	applied := s.addChanges(sourcePeer, changes...)
	s.recordPeerRevision(from, m.Head)
	gap := len(changes) > 0 && changes[0].Revision > before+1
	// If no change was applied and there was no gap, another request would return the same refused changes.
	if s.logRevision() < m.Head && (applied || gap) {
		s.transfers.requestEnd = time.Time{}
		s.request(from, m.Head)
	}
}

func (s *service) onSet(from core.VM, m *setMessage) {
	if m.Revision <= s.logRevision() {
		return
	}
	set, err := decodeSet(m.Data)
	if err != nil || set.Revision != m.Revision {
		s.Log.Error("config_set_refused", "peer", string(from.Name), "revision", uint64(m.Revision))
		return
	}
	s.restore(sourcePeerSet, set)
	s.recordPeerRevision(from, m.Revision)
}

// push sends newly applied changes to partners.
func (s *service) push(applied []config.AppliedChange) {
	var m kinds.Message = s.newRevisionMessage(false)
	if changes, total := s.encodePush(applied); total <= maxPushBytes {
		m = changesMessage{Head: s.logRevision(), Changes: changes}
	}
	for _, vm := range s.currentPartners().partners.PushTargets(s.Random.Generator()) {
		s.send(vm, m)
	}
}

func (s *service) encodePush(applied []config.AppliedChange) (encoded [][]byte, total int) {
	for i := range applied {
		raw, err := encodeChange(&applied[i].Change)
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
