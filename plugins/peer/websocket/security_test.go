package websocket

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
	"go.uber.org/fx/fxtest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/kernel/tlsconf"
	"gooseberrylane.example/kernel/tlsconf/tlstest"
)

// vm is a VM with a peer listener, its received messages, its ended links, and its log.
type vm struct {
	*peers
	received chan string
	down     chan kinds.LinkDown
	mu       sync.Mutex
	log      bytes.Buffer
}

func (v *vm) Write(line []byte) (int, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.log.Write(line)
}

func (v *vm) logged() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.log.String()
}

func startVM(t testing.TB, name core.VMName, files tlsconf.Settings) *vm {
	v := &vm{received: make(chan string, 8), down: make(chan kinds.LinkDown, 8)}
	settings := &Settings{
		Listen: "127.0.0.1:0", MaxFrameBytes: 1 << 16, QueueLength: 16, QueueBytes: 1 << 16, MaxLinks: 4, KeepaliveMS: 5000,
		IdleTimeoutMS: 60_000, BackoffMS: 1, MaxBackoffMS: 1, Key: "key", TLS: files,
	}
	lc := fxtest.NewLifecycle(t)
	v.peers = newPeers(lc, params{
		Identity: kernel.Identity{VM: name, Domain: "d", Incarnation: 1}, State: kernel.NewState(), Log: slog.New(slog.NewJSONHandler(v, nil)),
		Clock: kernel.SystemClock{}, Random: kernel.NewRandom(1),
	}, settings)
	v.Handle(note{}, func(_ core.VM, m kinds.Message) { v.received <- m.(*note).Text })
	v.OnLinkDown(func(down kinds.LinkDown) { v.down <- down })
	lc.RequireStart()
	t.Cleanup(lc.RequireStop)
	return v
}

func (v *vm) self() core.VM { return v.State.Load().Members.Self }

// TestForeignCertificatesAreRefused guards against a VM that joins with a certificate of another authority, or with that
// of another VM.
func TestForeignCertificatesAreRefused(t *testing.T) {
	c := qt.New(t)
	authority := tlstest.New(t)
	a := startVM(t, "a", authority.Write(c.TempDir(), "a"))
	b := startVM(t, "b", authority.Write(c.TempDir(), "b"))
	c.Assert(a.Send(context.Background(), b.self(), note{"hello"}), qt.IsNil)
	c.Check(<-b.received, qt.Equals, "hello")

	foreign := startVM(t, "f", tlstest.New(t).Write(c.TempDir(), "f"))
	c.Assert(foreign.Send(context.Background(), b.self(), note{"foreign"}), qt.IsNil)
	c.Check((<-foreign.down).Written, qt.IsFalse)
	c.Check(foreign.logged(), qt.Contains, "certificate signed by unknown authority")

	// This VM trusts the authority of the others, so only they can refuse the link.
	mixed := tlstest.New(t).Write(c.TempDir(), "m")
	mixed.CAFile = authority.Write(c.TempDir(), "m").CAFile
	trusting := startVM(t, "m", mixed)
	c.Assert(trusting.Send(context.Background(), b.self(), note{"foreign"}), qt.IsNil)
	c.Check((<-trusting.down).Written, qt.IsFalse)
	c.Check(trusting.logged(), qt.Contains, "remote error: tls: unknown certificate authority")

	// A certificate of the right authority does not authenticate the name of another VM.
	impostor := startVM(t, "t", authority.Write(c.TempDir(), "t"))
	impostor.State.Update(func(view *core.View) {
		members := *view.Members
		members.Self.Name = "a"
		view.Members = &members
	})
	c.Assert(impostor.Send(context.Background(), b.self(), note{"stolen"}), qt.IsNil)
	<-impostor.down
	c.Check(b.logged(), qt.Contains, "the certificate does not belong to VM a")
	c.Check(len(b.received), qt.Equals, 0)
}

// TestMalformedInputDoesNotStopTheListener guards against a listener that fails after bytes that are not HTTP, a wrong key,
// a malformed message, an oversized frame or half a frame.
func TestMalformedInputDoesNotStopTheListener(t *testing.T) {
	c := qt.New(t)
	b := startVM(t, "b", tlsconf.Settings{})
	url := "ws://" + b.self().PeerAddress + "/v1/peer"
	open := func(key string) (*websocket.Conn, error) {
		conn, _, err := websocket.Dial(context.Background(), url, &websocket.DialOptions{HTTPHeader: http.Header{headerKey: {key}}})
		return conn, err
	}
	raw, err := net.Dial("tcp", b.self().PeerAddress)
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(raw, "\x00\xff garbage\r\n\r\n")
	c.Assert(err, qt.IsNil)
	answer, _ := io.ReadAll(raw)
	c.Check(string(answer), qt.Contains, "400 Bad Request")
	_, err = open("wrong")
	c.Check(err, qt.ErrorMatches, ".*got 401")
	for _, frame := range [][]byte{{0xff, 0x00}, []byte(strings.Repeat("\x81", 1000)), make([]byte, 1<<17)} {
		conn, err := open("key")
		c.Assert(err, qt.IsNil)
		// The listener may refuse a frame before the whole of it is written.
		_ = conn.Write(context.Background(), websocket.MessageBinary, frame)
		_, _, err = conn.Read(context.Background())
		c.Check(err, qt.IsNotNil, qt.Commentf("the link is open after a broken frame"))
	}
	half, err := open("key")
	c.Assert(err, qt.IsNil)
	defer half.CloseNow()
	w, err := half.Writer(context.Background(), websocket.MessageBinary)
	c.Assert(err, qt.IsNil)
	_, err = w.Write([]byte{0x82})
	c.Assert(err, qt.IsNil)
	a := startVM(t, "a", tlsconf.Settings{})
	c.Assert(a.Send(context.Background(), b.self(), note{"still here"}), qt.IsNil)
	c.Check(<-b.received, qt.Equals, "still here")
}

// FuzzFrame guards against a frame that crashes the process, or whose messages are handled before the sender is identified.
func FuzzFrame(f *testing.F) {
	first, _ := encodeMessage(hello{Name: "a", Domain: "d", PeerAddress: "127.0.0.1:1"})
	second, _ := encodeMessage(note{"text"})
	f.Add(first)
	f.Add(append(append([]byte{}, first...), second...))
	f.Add(second)
	f.Add([]byte{0x82, 0x65, 'h', 'e', 'l', 'l', 'o', 0xa0})
	f.Add([]byte{0x9f, 0xff})
	ps := &peers{handlers: make(map[string]handler)}
	ps.Handle(hello{}, func(core.VM, kinds.Message) {})
	f.Fuzz(func(t *testing.T, frame []byte) {
		ps.Handle(note{}, func(from core.VM, _ kinds.Message) {
			if from.Name == "" || len(from.Name) > maxNameBytes {
				t.Fatalf("a message of %q was handled", from.Name)
			}
		})
		var from core.VM
		_ = ps.handleFrame(nil, frame, &from)
	})
}
