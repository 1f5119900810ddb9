package peers

import (
	"context"
	"sync"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// taskKey names a request of another VM.
type taskKey struct {
	from     core.VMName
	started  core.Incarnation
	sequence uint64
}

// task is a request of another VM.
type task struct {
	cancel    context.CancelFunc
	confirmed chan struct{}
	confirm   sync.Once
}

// gather runs a request of another VM.
func (d *delegate) gather(from core.VM, m kinds.Message) {
	g := m.(*gatherMessage)
	view := d.State.Load()
	if code := d.refuses(view, g); code != core.CodeOK {
		d.answer(from, g, answerMessage{Declined: code})
		return
	}
	d.gathered.Add(1)
	key := taskKey{from.Name, g.Started, g.Sequence}
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{cancel: cancel, confirmed: make(chan struct{})}
	d.gathering.Store(key, t)
	go func() {
		defer cancel()
		defer d.gathering.Delete(key)
		d.reply(from, acceptMessage{Sequence: g.Sequence, Started: g.Started})
		request := kinds.DelegatedRequest{Request: g.request(d.Clock.Now()), View: view, Confirmed: t.confirmed}
		d.answer(from, g, newAnswerMessage(d.run(ctx, request)))
	}()
}

// refuses returns why this VM does not run a request. Another table of routes could send it where the VM that asks must
// not send it.
func (d *delegate) refuses(view *core.View, g *gatherMessage) core.Code {
	switch {
	case !view.Ready || d.run == nil:
		return core.CodeNotReady
	case view.Routes.Version != g.Table:
		return core.CodeVersionMissing
	default:
		return core.CodeOK
	}
}

func (d *delegate) answer(to core.VM, g *gatherMessage, a answerMessage) {
	a.Sequence, a.Started = g.Sequence, g.Started
	d.reply(to, a)
}

func (d *delegate) reply(to core.VM, m kinds.Message) {
	// A VM that gets no answer runs the request itself.
	if err := d.Peers.Send(context.Background(), to, m); err != nil {
		d.Log.Info("gather_reply_undelivered", "peer", string(to.Name), "message", m.MessageName(), "error", err.Error())
	}
}

// abandoned stops the work on a request of another VM.
func (d *delegate) abandoned(from core.VM, m kinds.Message) {
	a := m.(*abandonMessage)
	if t, ok := d.gathering.Load(taskKey{from.Name, a.Started, a.Sequence}); ok {
		t.(*task).cancel()
	}
}

// confirmed lets a request of another VM use all attempts of its route.
func (d *delegate) confirmed(from core.VM, m kinds.Message) {
	c := m.(*confirmMessage)
	if found, ok := d.gathering.Load(taskKey{from.Name, c.Started, c.Sequence}); ok {
		t := found.(*task)
		t.confirm.Do(func() { close(t.confirmed) })
	}
}
