package peers

import (
	"context"
	"net/http"
	"sync"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// taskKey identifies a request of another VM.
type taskKey struct {
	from        core.VMName
	incarnation core.Incarnation
	sequence    uint64
}

// task is a request that this VM runs for another VM.
type task struct {
	cancel      context.CancelFunc
	confirmed   chan struct{}
	confirmOnce sync.Once
}

// handleGather accepts or declines a request of another VM, and runs it.
func (d *delegate) handleGather(from core.VM, m kinds.Message) {
	g := m.(*gatherMessage)
	view := d.State.Load()
	if code := d.declineCode(view, g); code != core.CodeOK {
		d.sendAnswer(from, g, answerMessage{Declined: code})
		return
	}
	release, ok := d.Intake.Acquire(int64(len(g.Body)))
	if !ok {
		d.sendAnswer(from, g, answerMessage{Declined: core.CodeOverloaded})
		return
	}
	key := taskKey{from.Name, g.Incarnation, g.Sequence}
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{cancel: cancel, confirmed: make(chan struct{})}
	d.gathering.Store(key, t)
	started := d.work.Go(func() {
		defer release()
		defer cancel()
		defer d.gathering.Delete(key)
		d.send(from, acceptMessage{Sequence: g.Sequence, Incarnation: g.Incarnation})
		request := kinds.DelegatedRequest{Request: g.request(d.Clock.Now()), View: view, Confirmed: t.confirmed}
		answer := kinds.RoutedAnswer{Status: http.StatusInternalServerError, Error: core.Errorf(core.CodeInternal, "the request may have run")}
		// After a panic, the requesting VM gets the error at once instead of waiting for its deadline.
		_ = kernel.Protect(d.Log, "gathered request", func() { answer = d.run(ctx, request) })
		if len(answer.Leaving) > 0 {
			d.send(from, newLeavingMessage(answer.Leaving))
		}
		d.sendAnswer(from, g, newAnswerMessage(answer))
	})
	if !started {
		release()
		cancel()
		d.gathering.Delete(key)
		d.sendAnswer(from, g, answerMessage{Declined: core.CodeNotReady})
		return
	}
	d.gathered.Add(1)
}

// declineCode returns why this VM declines a request, CodeOK if it does not. With another version of the routing table, it
// could send the request to upstreams that the requesting VM must not use.
func (d *delegate) declineCode(view *core.View, g *gatherMessage) core.Code {
	switch {
	case !view.Ready || d.run == nil:
		return core.CodeNotReady
	case view.Routes.Version != g.TableVersion:
		return core.CodeVersionMissing
	default:
		return core.CodeOK
	}
}

func (d *delegate) sendAnswer(to core.VM, g *gatherMessage, a answerMessage) {
	a.Sequence, a.Incarnation = g.Sequence, g.Incarnation
	d.send(to, a)
}

func (d *delegate) send(to core.VM, m kinds.Message) {
	// If the message is lost, the requesting VM times out.
	if err := d.Peers.Send(context.Background(), to, m); err != nil {
		d.Log.Info("gather_reply_undelivered", "peer", string(to.Name), "message", m.MessageName(), "error", err.Error())
	}
}

// handleLeaving records the upstreams whose announcements the answer of a gatherer contains. The time counts from the receipt,
// which precedes the answer to the caller.
func (d *delegate) handleLeaving(_ core.VM, m kinds.Message) {
	now := d.Clock.Now()
	for _, u := range m.(*leavingMessage).Upstreams {
		d.Catalog.ReportLeaving(core.Upstream{ID: u.ID, Address: u.Address, StartedMS: u.StartedMS}, now)
	}
}

// handleAbandon cancels a request of another VM.
func (d *delegate) handleAbandon(from core.VM, m kinds.Message) {
	a := m.(*abandonMessage)
	if t, ok := d.gathering.Load(taskKey{from.Name, a.Incarnation, a.Sequence}); ok {
		t.(*task).cancel()
	}
}

// handleConfirm lets a request of another VM use all attempts of its route.
func (d *delegate) handleConfirm(from core.VM, m kinds.Message) {
	c := m.(*confirmMessage)
	if found, ok := d.gathering.Load(taskKey{from.Name, c.Incarnation, c.Sequence}); ok {
		t := found.(*task)
		t.confirmOnce.Do(func() { close(t.confirmed) })
	}
}
