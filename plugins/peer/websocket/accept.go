package websocket

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// accept serves a link that another VM opened.
func (ps *peers) accept(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerKey)), []byte(ps.settings.Key)) != 1 {
		http.Error(w, core.CodeUnauthorized.String(), http.StatusUnauthorized)
		return
	}
	if to := r.Header.Get(headerTo); to != "" && to != string(ps.Identity.VM) {
		http.Error(w, "another VM listens at this address", http.StatusMisdirectedRequest)
		return
	}
	defer ps.inbound.Add(-1)
	if ps.inbound.Add(1) > ps.settings.MaxLinks {
		http.Error(w, core.CodeOverloaded.String(), http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(ps.base)
	defer cancel()
	timeout := time.Duration(ps.settings.IdleTimeoutMS) * time.Millisecond
	// The VM that opened the link probes it; a link that carries not even probes is dead.
	idle := time.AfterFunc(timeout, cancel)
	defer idle.Stop()
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{OnPingReceived: func(context.Context, []byte) bool {
		idle.Reset(timeout)
		return true
	}})
	if err != nil {
		return
	}
	ps.work.Add(1)
	defer ps.work.Done()
	defer c.CloseNow()
	c.SetReadLimit(ps.settings.MaxFrameBytes)
	var from core.VM
	for {
		_, frame, err := c.Read(ctx)
		if err != nil {
			return
		}
		idle.Reset(timeout)
		ps.traffic.received(len(frame))
		if err := ps.handleFrame(frame, &from); err != nil {
			ps.Log.Warn("peer_frame_refused", "peer", string(from.Name), "error", err.Error())
			return
		}
	}
}

func (ps *peers) handleFrame(frame []byte, from *core.VM) error {
	// A VM that sends is reachable again, for example after a pause.
	ps.dials.succeeded(from.PeerAddress)
	return ps.decodeFrame(frame, func(h handler, m kinds.Message) {
		ps.traffic.messagesReceived.Add(1)
		if first, ok := m.(*hello); ok {
			*from = core.VM{Name: first.Name, Incarnation: first.Incarnation, Domain: first.Domain, PeerAddress: first.PeerAddress}
			return
		}
		if from.Name != "" {
			h.handle(*from, m)
		}
	})
}
