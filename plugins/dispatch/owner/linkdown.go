package owner

import (
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// onLinkDown ends the attempts whose results can no longer be expected from a VM, and sends results again that the VM
// may not have received.
func (d *dispatcher) onLinkDown(down kinds.LinkDown) {
	for _, message := range down.Undelivered {
		if m, ok := message.(legsMessage); ok {
			d.endLegs(m, core.AttemptResult{Outcome: core.OutcomeNotRun, Code: core.CodeUnreachable})
		}
	}
	if down.Written {
		d.endSentTo(down.VM)
	}
	for _, list := range [][]kinds.Message{down.Unconfirmed, down.Undelivered} {
		for _, message := range list {
			if m, ok := message.(resultsMessage); ok {
				d.sendAgain(down.VM, m)
			}
		}
	}
}

func (d *dispatcher) endLegs(m legsMessage, result core.AttemptResult) {
	for i := range m.Legs {
		if value, open := d.pending.LoadAndDelete(m.Legs[i].Sequence); open {
			p := value.(*pending)
			result.Attempt = p.leg.ID
			p.deliver(result)
		}
	}
}

// endSentTo ends the attempts that were written to a VM. They may have run.
func (d *dispatcher) endSentTo(vm core.VM) {
	d.pending.Range(func(key, value any) bool {
		p := value.(*pending)
		if p.vm.Name == vm.Name && p.vm.PeerAddress == vm.PeerAddress {
			if _, open := d.pending.LoadAndDelete(key); open {
				p.deliver(core.AttemptResult{Attempt: p.leg.ID, Code: core.CodeConnectionLost})
			}
		}
		return true
	})
}

// sendAgain sends results on a new link. The VM drops results that it has already.
func (d *dispatcher) sendAgain(to core.VM, m resultsMessage) {
	if now := d.State.Load().Members.Find(to.Name); now != nil {
		to = *now
	}
	d.work.Go(func() {
		// While the last dial failed this is refused, and the result stays lost.
		_ = d.Peers.Send(d.base, to, m)
	})
}
