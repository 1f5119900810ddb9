package websocket

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// maxBatchBytes bounds the messages that are joined into one frame.
const maxBatchBytes = 64 << 10

const headerKey = "X-Peer-Key"

// link sends messages to one VM. It ends at the first failure; the next send opens a new one.
type link struct {
	peers   *peers
	to      core.VMName
	address string
	queue   chan []byte
	down    atomic.Bool
	ended   chan struct{}
}

func newLink(ps *peers, to core.VM) *link {
	return &link{
		peers: ps, to: to.Name, address: to.PeerAddress,
		queue: make(chan []byte, ps.settings.QueueLength), ended: make(chan struct{}),
	}
}

func (l *link) isDown() bool { return l.down.Load() }

func (l *link) enqueue(ctx context.Context, frame []byte) error {
	select {
	case l.queue <- frame:
		l.peers.traffic.messagesSent.Add(1)
		return nil
	default:
	}
	select {
	case l.queue <- frame:
		l.peers.traffic.messagesSent.Add(1)
		return nil
	case <-l.ended:
		return core.Errorf(core.CodeUnreachable, "the link to %s failed", l.to)
	case <-ctx.Done():
		return core.Errorf(core.CodeUnreachable, "the link to %s is full", l.to)
	}
}

func (l *link) run() {
	err := l.serve()
	l.down.Store(true)
	close(l.ended)
	if l.peers.base.Err() == nil {
		l.peers.Log.Warn("peer_link_down", "peer", string(l.to), "error", err.Error())
	}
	l.peers.reportDown(l.to)
}

func (l *link) serve() error {
	ctx, cancel := context.WithCancel(l.peers.base)
	defer cancel()
	c, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer c.CloseNow()
	read := c.CloseRead(ctx)
	failed := make(chan error, 1)
	l.peers.work.Go(func() { failed <- l.keepAlive(read, c) })
	for {
		select {
		case frame := <-l.queue:
			if err := l.write(ctx, c, l.batch(frame)); err != nil {
				return err
			}
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *link) dial(ctx context.Context) (*websocket.Conn, error) {
	timeout, cancel := context.WithTimeout(ctx, 2*l.peers.settings.keepalive())
	defer cancel()
	header := http.Header{headerKey: []string{l.peers.settings.Key}}
	c, _, err := websocket.Dial(timeout, "ws://"+l.address+"/v1/peer", &websocket.DialOptions{HTTPClient: l.peers.client, HTTPHeader: header})
	if err != nil {
		return nil, err
	}
	l.peers.traffic.linksOpened.Add(1)
	self := l.peers.State.Load().Members.Self
	first, err := encodeMessage(hello{Name: self.Name, Incarnation: self.Incarnation, Domain: self.Domain, PeerAddress: self.PeerAddress})
	if err != nil {
		c.CloseNow()
		return nil, err
	}
	return c, l.write(ctx, c, first)
}

// batch joins the messages that are waiting into one frame.
func (l *link) batch(frame []byte) []byte {
	for len(frame) < maxBatchBytes {
		select {
		case more := <-l.queue:
			frame = append(frame, more...)
		default:
			return frame
		}
	}
	return frame
}

func (l *link) write(ctx context.Context, c *websocket.Conn, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, 2*l.peers.settings.keepalive())
	defer cancel()
	l.peers.traffic.sent(len(frame))
	return c.Write(ctx, websocket.MessageBinary, frame)
}

// keepAlive returns when a ping is not answered in time: the link may be silent although new ones would work.
func (l *link) keepAlive(ctx context.Context, c *websocket.Conn) error {
	interval := l.peers.settings.keepalive()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		ping, cancel := context.WithTimeout(ctx, interval)
		err := c.Ping(ping)
		cancel()
		if err != nil {
			return err
		}
	}
}

// accept serves a link that another VM opened.
func (ps *peers) accept(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerKey)), []byte(ps.settings.Key)) != 1 {
		http.Error(w, core.CodeUnauthorized.String(), http.StatusUnauthorized)
		return
	}
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ps.work.Add(1)
	defer ps.work.Done()
	defer c.CloseNow()
	c.SetReadLimit(ps.settings.MaxFrameBytes)
	var from core.VM
	for {
		_, frame, err := c.Read(ps.base)
		if err != nil {
			return
		}
		ps.traffic.received(len(frame))
		err = ps.decodeFrame(frame, func(h handler, m kinds.Message) {
			ps.traffic.messagesReceived.Add(1)
			if first, ok := m.(*hello); ok {
				from = core.VM{Name: first.Name, Incarnation: first.Incarnation, Domain: first.Domain, PeerAddress: first.PeerAddress}
				return
			}
			if from.Name != "" {
				h.handle(from, m)
			}
		})
		if err != nil {
			ps.Log.Warn("peer_frame_refused", "peer", string(from.Name), "error", err.Error())
			return
		}
	}
}
