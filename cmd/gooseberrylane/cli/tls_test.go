package cli

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/kernel/tlsconf"
	"gooseberrylane.example/kernel/tlsconf/tlstest"
	"gooseberrylane.example/plugins/frontend/api"
)

// TestToolUsesTLS guards against sending the operator key to a VM whose certificate was not verified.
func TestToolUsesTLS(t *testing.T) {
	c := qt.New(t)
	authority := tlstest.New(t)
	settings := authority.Write(c.TempDir(), "a")
	files := tlsconf.New(settings, slog.New(slog.DiscardHandler))
	c.Assert(files.Load(), qt.IsNil)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := plain.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"vm":"a"}`)
	})}
	go func() { _ = server.Serve(files.Listener(plain)) }()
	defer server.Close()

	send := func(ca, name string) error {
		a := &app{Streams: Streams{Err: io.Discard}, timeout: defaultTimeout}
		a.tls = tlsconf.Settings{CAFile: ca, CertificateFile: settings.CertificateFile, KeyFile: settings.KeyFile}
		var status api.Status
		_, err := a.send(context.Background(), target{name: name, address: address}, operatorCall(http.MethodGet, "/v1/status", nil), &status)
		if err != nil {
			return err
		}
		return nil
	}
	c.Check(send(settings.CAFile, "a"), qt.IsNil)
	c.Check(send(settings.CAFile, address), qt.IsNil)
	c.Check(send(settings.CAFile, "b"), qt.ErrorMatches, "connect_failed.*certificate is valid for a, not b.*")
	foreign := tlstest.New(t).Write(c.TempDir(), "a")
	c.Check(send(foreign.CAFile, "a"), qt.ErrorMatches, "connect_failed.*certificate signed by unknown authority.*")
}
