package tlsconf

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// alpnProtocol is the only protocol offered. HTTP/2 would carry many requests on one connection, which the connection
// limits do not account for.
const alpnProtocol = "http/1.1"

// serverConfig returns the configuration of a listener. Session resumption is disabled, so that the removal of a CA
// certificate applies to every new connection.
func (s *snapshot) serverConfig() *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: s.certificates, NextProtos: []string{alpnProtocol}, SessionTicketsDisabled: true,
	}
	if s.caPool != nil {
		config.ClientCAs, config.ClientAuth = s.caPool, tls.RequireAndVerifyClientCert
	}
	return config
}

// Listener returns a listener whose new connections use the current certificate. The handshake runs at the first read or
// write of a connection.
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

// Dial returns a function that opens connections with dial and, if TLS is on, performs a handshake bounded by ctx and
// timeout (0 means none). The server certificate must be valid for name, or for the host of the address if name is empty.
// A failed handshake is reported as a failed dial, because no request was sent.
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
	s := f.current.Load()
	if host, _, err := net.SplitHostPort(address); err == nil && name == "" {
		name = host
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: name, RootCAs: s.caPool, Certificates: s.certificates, NextProtos: []string{alpnProtocol},
	}
}
