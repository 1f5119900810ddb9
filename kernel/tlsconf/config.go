package tlsconf

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// protocol is offered instead of HTTP/2, whose many requests on one connection the bounds on connections do not cover.
const protocol = "http/1.1"

// serverConfig returns the configuration of a listener. Sessions are not resumed, so an authority that is taken away
// has no effect left on new connections.
func (m *material) serverConfig() *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: m.certificates, NextProtos: []string{protocol}, SessionTicketsDisabled: true,
	}
	if m.authorities != nil {
		config.ClientCAs, config.ClientAuth = m.authorities, tls.RequireAndVerifyClientCert
	}
	return config
}

// Listener returns a listener whose new connections use the current certificate. Handshakes run when a connection is
// first read or written.
func (f *Files) Listener(l net.Listener) net.Listener {
	if f == nil {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return f.current.Load().server, nil },
	})
}

// Scheme returns "https" with TLS and "http" without.
func (f *Files) Scheme() string {
	if f == nil {
		return "http"
	}
	return "https"
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial and, with TLS on, makes a handshake that is bounded by ctx
// and timeout (0 means none). The certificate of the server must carry name, or the host of the address if name is
// empty. A failed handshake is reported as a failed dial, because nothing was sent.
func (f *Files) Dial(dial DialFunc, name string, timeout time.Duration) DialFunc {
	if f == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if timeout > 0 {
			limited, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			ctx = limited
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(plain, f.clientConfig(name, address))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Addr: plain.RemoteAddr(), Err: err}
		}
		return secured, nil
	}
}

func (f *Files) clientConfig(name, address string) *tls.Config {
	m := f.current.Load()
	if host, _, err := net.SplitHostPort(address); err == nil && name == "" {
		name = host
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: name, RootCAs: m.authorities, Certificates: m.certificates, NextProtos: []string{protocol},
	}
}
