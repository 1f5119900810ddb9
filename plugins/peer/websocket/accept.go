package websocket

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	"github.com/coder/websocket"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
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
	defer ps.inboundLinks.Add(-1)
	if ps.inboundLinks.Add(1) > ps.settings.MaxLinks {
		http.Error(w, core.CodeOverloaded.String(), http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(ps.base)
	defer cancel()
	timeout := time.Duration(ps.settings.IdleTimeoutMS) * time.Millisecond
	// The VM that opened the link pings it also when it is idle; a link without pings is considered dead.
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
		if err := ps.protectedFrame(r.TLS, frame, &from); err != nil {
			ps.Log.Warn("peer_frame_refused", "peer", string(from.Name), "address", r.RemoteAddr, "error", err.Error())
			// The close frame carries the reason to the sender.
			_ = c.Close(websocket.StatusPolicyViolation, closeReason(err))
			return
		}
	}
}

// protectedFrame is handleFrame and returns a panic of a handler as an error, which ends the link.
func (ps *peers) protectedFrame(tlsState *tls.ConnectionState, frame []byte, from *core.VM) error {
	var err error
	if panicked := kernel.Protect(ps.Log, "frame of another VM", func() { err = ps.handleFrame(tlsState, frame, from) }); panicked != nil {
		return panicked
	}
	return err
}

// handleFrame dispatches the messages of a frame to their handlers. Messages that precede the sender's hello are dropped.
func (ps *peers) handleFrame(tlsState *tls.ConnectionState, frame []byte, from *core.VM) error {
	// A received frame shows that the VM is reachable again, for example after a pause.
	ps.dials.succeeded(from.PeerAddress)
	return ps.decodeFrame(frame, func(h handler, m kinds.Message) error {
		ps.traffic.messagesReceived.Add(1)
		if first, ok := m.(*hello); ok {
			if err := first.validate(tlsState); err != nil {
				return err
			}
			*from = core.VM{Name: first.Name, Incarnation: first.Incarnation, Domain: first.Domain, PeerAddress: first.PeerAddress}
			return nil
		}
		if from.Name != "" {
			h.handle(*from, m)
		}
		return nil
	})
}

// validate refuses a sender whose name is empty or too long, or does not match its certificate.
func (h *hello) validate(tlsState *tls.ConnectionState) error {
	if h.Name == "" || max(len(h.Name), len(h.Domain)) > maxNameBytes || len(h.PeerAddress) > maxAddressBytes {
		return core.Errorf(core.CodeBadName, "the sender's VM name is empty, or its name, failure domain or address is too long")
	}
	if tlsState == nil {
		return nil
	}
	if err := tlsState.PeerCertificates[0].VerifyHostname(string(h.Name)); err != nil {
		return core.Errorf(core.CodeUnauthorized, "the certificate does not belong to VM %s: %v", h.Name, err)
	}
	return nil
}

// closeReason truncates the text of an error to the size of a close frame.
func closeReason(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxReasonBytes)], "")
}
