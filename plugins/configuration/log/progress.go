package log

import (
	"context"
	"maps"
	"slices"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// told is the answer of a VM about its revision.
type told struct {
	vm       core.VMName
	revision core.Revision
	// lost is set when the link to the VM failed, so that no answer can be expected.
	lost bool
}

// askAttempts is the number of times that a VM is asked when the link to it fails. The first failure may be that of a
// link which was broken before.
const askAttempts = 2

// Progress implements kinds.Operations. It waits for the answers of all members until the deadline of ctx or the
// progress time of the settings, whichever is earlier.
func (s *service) Progress(ctx context.Context, revision core.Revision) (config.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, millis(s.settings.ProgressMS))
	defer cancel()
	members := s.State.Load().Members
	id := s.sequence.Add(1)
	// The buffer holds an answer and the failures of each member, so that none is displaced and no sender waits.
	answers := make(chan told, (askAttempts+1)*len(members.All)+1)
	s.asks.Store(id, answers)
	defer s.asks.Delete(id)
	silent := make(map[core.VMName]int)
	for _, vm := range members.All {
		if vm.Name != s.Identity.VM {
			silent[vm.Name] = askAttempts
			s.ask(ctx, vm, id, answers)
		}
	}
	p := config.Progress{Revision: revision}
	sortAnswer(&p, told{vm: s.Identity.VM, revision: s.Revision()})
	for len(silent) > 0 && ctx.Err() == nil {
		select {
		case a := <-answers:
			if a.lost && silent[a.vm] > 1 {
				silent[a.vm]--
				s.ask(ctx, *members.Find(a.vm), id, answers)
			} else if silent[a.vm] > 0 {
				delete(silent, a.vm)
				sortAnswer(&p, a)
			}
		case <-ctx.Done():
		}
	}
	p.Unreachable = slices.AppendSeq(p.Unreachable, maps.Keys(silent))
	slices.Sort(p.InForce)
	slices.Sort(p.Behind)
	slices.Sort(p.Unreachable)
	return p, nil
}

func (s *service) ask(ctx context.Context, vm core.VM, id uint64, answers chan<- told) {
	if err := s.Peers.Send(ctx, vm, progressRequest{ID: id}); err == nil {
		return
	}
	select {
	case answers <- told{vm: vm.Name, lost: true}:
	default:
	}
}

func sortAnswer(p *config.Progress, a told) {
	switch {
	case a.lost:
		p.Unreachable = append(p.Unreachable, a.vm)
	case a.revision >= p.Revision:
		p.InForce = append(p.InForce, a.vm)
	default:
		p.Behind = append(p.Behind, a.vm)
	}
}

// onLinkDown ends the wait for the answer of a VM.
func (s *service) onLinkDown(down kinds.LinkDown) {
	s.asks.Range(func(_, waiting any) bool {
		select {
		case waiting.(chan told) <- told{vm: down.VM.Name, lost: true}:
		default:
		}
		return true
	})
}

func (s *service) onProgressAnswer(from core.VM, message kinds.Message) {
	m := message.(*progressAnswer)
	waiting, ok := s.asks.Load(m.ID)
	if !ok {
		return
	}
	select {
	case waiting.(chan told) <- told{vm: from.Name, revision: m.Revision}:
	default:
	}
}
