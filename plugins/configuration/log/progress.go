package log

import (
	"context"
	"maps"
	"slices"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// progressReport is the outcome of a progress request to a VM.
type progressReport struct {
	vm       core.VMName
	revision core.Revision
	// linkFailed is set when the link to the VM failed, so no answer can arrive.
	linkFailed bool
}

// maxProgressSends is the number of times that a progress request is sent to a VM when the link to it fails. The first
// failure may be that of a link that was already broken.
const maxProgressSends = 2

// Progress implements kinds.Operations. It waits for the answers of all members until the deadline of ctx, but at most
// ProgressTimeoutMS.
func (s *service) Progress(ctx context.Context, revision core.Revision) (config.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, millis(s.settings.ProgressTimeoutMS))
	defer cancel()
	members := s.State.Load().Members
	id := s.sequence.Add(1)
	// The buffer has room for an answer and the link failures of each member, so that none is dropped and no sender
	// waits.
	answers := make(chan progressReport, (maxProgressSends+1)*len(members.All)+1)
	s.progressCalls.Store(id, answers)
	defer s.progressCalls.Delete(id)
	// sendsLeft has an entry for each VM that has not answered, with the number of sends including the pending one.
	sendsLeft := make(map[core.VMName]int)
	for _, vm := range members.All {
		if vm.Name != s.Identity.VM {
			sendsLeft[vm.Name] = maxProgressSends
			s.requestProgress(ctx, vm, id, answers)
		}
	}
	p := config.Progress{Revision: revision}
	addReport(&p, progressReport{vm: s.Identity.VM, revision: s.Revision()})
	for len(sendsLeft) > 0 && ctx.Err() == nil {
		select {
		case a := <-answers:
			if a.linkFailed && sendsLeft[a.vm] > 1 {
				sendsLeft[a.vm]--
				s.requestProgress(ctx, *members.Find(a.vm), id, answers)
			} else if sendsLeft[a.vm] > 0 {
				delete(sendsLeft, a.vm)
				addReport(&p, a)
			}
		case <-ctx.Done():
		}
	}
	p.Unreachable = slices.AppendSeq(p.Unreachable, maps.Keys(sendsLeft))
	slices.Sort(p.InForce)
	slices.Sort(p.Behind)
	slices.Sort(p.Unreachable)
	return p, nil
}

func (s *service) requestProgress(ctx context.Context, vm core.VM, id uint64, answers chan<- progressReport) {
	if err := s.Peers.Send(ctx, vm, progressRequest{ID: id}); err == nil {
		return
	}
	select {
	case answers <- progressReport{vm: vm.Name, linkFailed: true}:
	default:
	}
}

func addReport(p *config.Progress, a progressReport) {
	switch {
	case a.linkFailed:
		p.Unreachable = append(p.Unreachable, a.vm)
	case a.revision >= p.Revision:
		p.InForce = append(p.InForce, a.vm)
	default:
		p.Behind = append(p.Behind, a.vm)
	}
}

// onLinkDown reports a failed link to all progress calls that wait for answers.
func (s *service) onLinkDown(down kinds.LinkDown) {
	s.progressCalls.Range(func(_, waiting any) bool {
		select {
		case waiting.(chan progressReport) <- progressReport{vm: down.VM.Name, linkFailed: true}:
		default:
		}
		return true
	})
}

func (s *service) onProgressAnswer(from core.VM, message kinds.Message) {
	m := message.(*progressAnswer)
	waiting, ok := s.progressCalls.Load(m.ID)
	if !ok {
		return
	}
	select {
	case waiting.(chan progressReport) <- progressReport{vm: from.Name, revision: m.Revision}:
	default:
	}
}
