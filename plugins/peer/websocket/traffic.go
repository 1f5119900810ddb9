package websocket

import (
	"net"
	"net/http"
	"sync/atomic"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// maxHeaderBytes bounds the headers of the answer to the request that opens a link.
const maxHeaderBytes = 16 << 10

// traffic counts what the links carry. Bytes are those of the messages, without the framing of WebSocket and TCP.
type traffic struct {
	messagesSent, framesSent, bytesSent             atomic.Uint64
	messagesReceived, framesReceived, bytesReceived atomic.Uint64
	linksOpened, pingsSent                          atomic.Uint64
}

func (t *traffic) sent(bytes int) {
	t.framesSent.Add(1)
	t.bytesSent.Add(uint64(bytes))
}

func (t *traffic) received(bytes int) {
	t.framesReceived.Add(1)
	t.bytesReceived.Add(uint64(bytes))
}

func (t *traffic) metrics() []kinds.Metric {
	metric := func(name string, counter *atomic.Uint64) kinds.Metric {
		return kinds.Metric{Name: name, Value: func() any { return counter.Load() }}
	}
	return []kinds.Metric{
		metric("peer_messages_sent", &t.messagesSent),
		metric("peer_frames_sent", &t.framesSent),
		metric("peer_bytes_sent", &t.bytesSent),
		metric("peer_messages_received", &t.messagesReceived),
		metric("peer_frames_received", &t.framesReceived),
		metric("peer_bytes_received", &t.bytesReceived),
		metric("peer_links_opened", &t.linksOpened),
		metric("peer_pings_sent", &t.pingsSent),
	}
}

// newClient returns the HTTP client for opening one link to a VM.
func (ps *peers) newClient(to core.VMName) *http.Client {
	dialer := &net.Dialer{}
	if ip := net.ParseIP(ps.settings.SourceAddress); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	dial := ps.files.Dial(dialer.DialContext, string(to), 0)
	return &http.Client{Transport: &http.Transport{DialContext: dial, DialTLSContext: dial, MaxResponseHeaderBytes: maxHeaderBytes}}
}
