package owner

import (
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// onLinkDown completes the attempts for which no result is expected any more, and resends results that the VM may not
// have received.
func (d *dispatcher) onLinkDown(down kinds.LinkDown) {
	for _, message := range down.Undelivered {
		if m, ok := message.(attemptsMessage); ok {
			d.completeAll(m, core.AttemptResult{Outcome: core.OutcomeNotRun, Code: core.CodeUnreachable})
		}
	}
	if down.Written {
		d.completeSentTo(down.VM)
	}
	for _, list := range [][]kinds.Message{down.Unconfirmed, down.Undelivered} {
		for _, message := range list {
			if m, ok := message.(resultsMessage); ok {
				d.resend(down.VM, m)
			}
		}
	}
}

// completeAll completes the open attempts of a message with a copy of result.
func (d *dispatcher) completeAll(m attemptsMessage, result core.AttemptResult) {
	for i := range m.Attempts {
		if value, open := d.pending.LoadAndDelete(m.Attempts[i].Sequence); open {
			p := value.(*pendingAttempt)
			result.Attempt = p.attempt.ID
			p.deliver(result)
		}
	}
}

// completeSentTo completes the attempts that were written to a VM with an unknown outcome, because they may have run.
func (d *dispatcher) completeSentTo(vm core.VM) {
	d.pending.Range(func(key, value any) bool {
		p := value.(*pendingAttempt)
		if p.vm.Name == vm.Name && p.vm.PeerAddress == vm.PeerAddress {
			if _, open := d.pending.LoadAndDelete(key); open {
				p.deliver(core.AttemptResult{Attempt: p.attempt.ID, Code: core.CodeConnectionLost})
			}
		}
		return true
	})
}

// resend sends results on a new link. The VM ignores results that it has already received.
func (d *dispatcher) resend(to core.VM, m resultsMessage) {
	if current := d.State.Load().Members.Find(to.Name); current != nil {
		to = *current
	}
	d.work.Go(func() {
		// Send fails if the last dial failed; the results are then lost.
		_ = d.Peers.Send(d.base, to, m)
	})
}
