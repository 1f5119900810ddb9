package websocket

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/zeebo/errs"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// maxBatchBytes is the maximum size of a frame that joins several messages.
const maxBatchBytes = 64 << 10

// idlePingIntervals is the number of keepalive intervals after which a link is pinged even if no message is unconfirmed.
const idlePingIntervals = 40

// Headers of the request that opens a link.
const (
	headerKey = "X-Peer-Key"
	// headerTo names the intended VM, so that another VM at a reused address refuses the link.
	headerTo = "X-Peer-To"
)

// linkError is the class of the errors that end a link.
var linkError = errs.Class("peer link")

var (
	errReplaced     = linkError.New("the VM was replaced")
	errStopping     = linkError.New("the VM is stopping")
	errSilent       = linkError.New("the VM did not confirm the close of the link")
	errClosedByPeer = linkError.New("the VM closed the link")
	errLinkEnded    = core.Errorf(core.CodeUnreachable, "the link failed")
)

// link sends messages to one VM. It ends at the first failure; the next send opens a new one.
type link struct {
	peers *peers
	to    core.VM
	queue *queue
	// ended is closed after the end of the link was reported.
	ended chan struct{}
	ctx   context.Context
	// stop ends the link with a cause.
	stop context.CancelCauseFunc
	// unconfirmed holds messages that were written after the last answered ping. Only the writer uses it.
	unconfirmed      []*item
	unconfirmedBytes int64
	// pinged is the number of unconfirmed messages that the outstanding ping confirms.
	pinged int
	// unwritten holds messages that were taken from the queue but not written when the link failed.
	unwritten []*item
	// flush is closed to end the link after its queue is written.
	flush chan struct{}
}

func newLink(ps *peers, to core.VM) *link {
	l := &link{peers: ps, to: to, queue: newQueue(ps.settings.QueueLength, ps.settings.QueueBytes), ended: make(chan struct{}), flush: make(chan struct{})}
	l.ctx, l.stop = context.WithCancelCause(ps.base)
	return l
}

// matches reports whether the link can carry messages for a VM entry. An entry with an older incarnation than that of the
// link is from a stale view and means the same VM. A newer incarnation at the same address also matches: a connection does
// not outlive its process, so the VM was only paused.
func (l *link) matches(to core.VM) bool {
	return l.to.PeerAddress == to.PeerAddress || to.Incarnation < l.to.Incarnation
}

func (l *link) isDown() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

func (l *link) enqueue(ctx context.Context, i *item) error {
	for waited := false; ; waited = true {
		switch l.queue.push(i) {
		case pushed:
			l.peers.traffic.messagesSent.Add(1)
			if waited {
				// The space that a batch frees may suffice for more than one sender. A sender that finds the queue full again
				// waits for the next batch.
				notify(l.queue.space)
			}
			return nil
		case queueClosed:
			<-l.ended
			return errLinkEnded
		}
		select {
		case <-l.queue.space:
		case <-l.ended:
			return errLinkEnded
		case <-ctx.Done():
			return core.Errorf(core.CodeUnreachable, "the send queue of the link to %s is full", l.to.Name)
		}
	}
}

// run serves the link, and reports its end and the messages that were not delivered.
func (l *link) run() {
	dialed, err := l.serve()
	l.stop(err)
	down := kinds.LinkDown{VM: l.to, Written: dialed, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	undelivered := append(l.unwritten, l.queue.take()...)
	l.peers.uncount(undelivered...)
	l.peers.uncount(l.unconfirmed...)
	down.Undelivered, down.Unconfirmed = messages(undelivered), messages(l.unconfirmed)
	if l.peers.base.Err() == nil && !errors.Is(err, errStopping) {
		l.peers.Log.Warn("peer_link_down", "peer", string(l.to.Name), "address", l.to.PeerAddress, "dialed", dialed, "error", err.Error())
	}
	if !dialed && l.peers.base.Err() == nil {
		l.peers.dials.failed(l.peers.Clock.Now(), l.to.PeerAddress)
	}
	// Messages queued between this report and the close of the queue are reported separately, so that they do not count
	// as written.
	l.peers.reportDown(down)
	late := l.queue.close()
	l.peers.uncount(late...)
	close(l.ended)
	if len(late) > 0 {
		l.peers.reportDown(kinds.LinkDown{VM: l.to, Undelivered: messages(late)})
	}
}

// serve opens the link and writes queued messages until it fails or is flushed. dialed reports whether messages may have reached the VM.
func (l *link) serve() (dialed bool, err error) {
	c, err := l.dial()
	if err != nil {
		return false, err
	}
	defer c.CloseNow()
	l.peers.dials.succeeded(l.to.PeerAddress)
	readCtx := c.CloseRead(l.ctx)
	pongs := make(chan error, 1)
	ticker := time.NewTicker(l.peers.settings.keepalive())
	defer ticker.Stop()
	pinging, sincePing := false, 0
	for {
		select {
		case <-l.queue.ready:
			if err := l.write(c, l.queue.take()); err != nil {
				return true, err
			}
		case <-ticker.C:
			sincePing++
			if pinging || (len(l.unconfirmed) == 0 && sincePing < idlePingIntervals) {
				continue
			}
			pinging, sincePing, l.pinged = true, 0, len(l.unconfirmed)
			l.peers.work.Go(func() { pongs <- l.ping(readCtx, c) })
		case err := <-pongs:
			if err != nil {
				return true, err
			}
			pinging = false
			l.confirm(l.pinged)
		case <-l.flush:
			return true, l.finish(c)
		case <-readCtx.Done():
			if cause := context.Cause(l.ctx); cause != nil {
				return true, cause
			}
			return true, errClosedByPeer
		}
	}
}

// ping fails if no pong arrives within the keepalive time. An established connection may lose all traffic although a new
// one would work.
func (l *link) ping(ctx context.Context, c *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, l.peers.settings.keepalive())
	defer cancel()
	l.peers.traffic.pingsSent.Add(1)
	return c.Ping(ctx)
}

func (l *link) dial() (*websocket.Conn, error) {
	timeout, cancel := context.WithTimeout(l.ctx, 2*l.peers.settings.keepalive())
	defer cancel()
	header := http.Header{headerKey: []string{l.peers.settings.Key}, headerTo: []string{string(l.to.Name)}}
	client := l.peers.newClient(l.to.Name)
	defer client.CloseIdleConnections()
	address := l.peers.files.Scheme() + "://" + l.to.PeerAddress + "/v1/peer"
	c, _, err := websocket.Dial(timeout, address, &websocket.DialOptions{HTTPClient: client, HTTPHeader: header})
	if err != nil {
		return nil, err
	}
	l.peers.traffic.linksOpened.Add(1)
	self := l.peers.State.Load().Members.Self
	helloFrame, err := encodeMessage(hello{Name: self.Name, Incarnation: self.Incarnation, Domain: self.Domain, PeerAddress: self.PeerAddress})
	if err == nil {
		err = l.writeFrame(c, helloFrame)
	}
	if err != nil {
		c.CloseNow()
		return nil, err
	}
	return c, nil
}

// finish writes the queued messages and closes the link. The closing handshake waits until the VM has read everything, but not for a
// VM that is silent.
func (l *link) finish(c *websocket.Conn) error {
	if err := l.write(c, l.queue.take()); err != nil {
		return err
	}
	silent := time.AfterFunc(2*l.peers.settings.keepalive(), func() { l.stop(errSilent) })
	defer silent.Stop()
	if err := c.Close(websocket.StatusNormalClosure, ""); err != nil {
		return err
	}
	l.peers.uncount(l.unconfirmed...)
	l.unconfirmed = nil
	return errStopping
}

// write sends messages in batches, one frame per batch.
func (l *link) write(c *websocket.Conn, items []*item) error {
	for len(items) > 0 {
		n, frame := batch(items)
		l.unconfirmed = append(l.unconfirmed, items[:n]...)
		l.unconfirmedBytes += int64(len(frame))
		items = items[n:]
		if err := l.writeFrame(c, frame); err != nil {
			l.unwritten = items
			return err
		}
	}
	l.limitUnconfirmed()
	return nil
}

// batch joins messages from the front into one frame.
func batch(items []*item) (n int, frame []byte) {
	frame = items[0].frame
	for n = 1; n < len(items) && len(frame)+len(items[n].frame) <= maxBatchBytes; n++ {
		if n == 1 {
			frame = append(make([]byte, 0, len(frame)+len(items[n].frame)), frame...)
		}
		frame = append(frame, items[n].frame...)
	}
	return n, frame
}

// confirm removes the first n unconfirmed messages, whose receipt an answered ping confirms.
func (l *link) confirm(n int) {
	for _, i := range l.unconfirmed[:n] {
		l.unconfirmedBytes -= int64(len(i.frame))
	}
	l.peers.uncount(l.unconfirmed[:n]...)
	l.unconfirmed = append([]*item(nil), l.unconfirmed[n:]...)
	l.pinged = 0
}

// limitUnconfirmed drops the oldest unconfirmed messages beyond the bounds of the queue.
func (l *link) limitUnconfirmed() {
	for l.unconfirmedBytes > l.queue.maxBytes || int64(len(l.unconfirmed)) > l.queue.maxLength {
		l.unconfirmedBytes -= int64(len(l.unconfirmed[0].frame))
		l.peers.uncount(l.unconfirmed[0])
		l.unconfirmed = l.unconfirmed[1:]
		l.pinged = max(l.pinged-1, 0)
	}
}

func (l *link) writeFrame(c *websocket.Conn, frame []byte) error {
	ctx, cancel := context.WithTimeout(l.ctx, 2*l.peers.settings.keepalive())
	defer cancel()
	l.peers.traffic.sent(len(frame))
	return c.Write(ctx, websocket.MessageBinary, frame)
}
