// Package tlstest creates short-lived certificates for tests.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gooseberrylane.example/kernel/tlsconf"
)

const lifetime = time.Hour

// Authority is a certificate authority for one test.
type Authority struct {
	t           testing.TB
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// New returns an authority.
func New(t testing.TB) *Authority {
	a := &Authority{t: t, key: newKey(t)}
	template := template("authority")
	template.IsCA, template.KeyUsage = true, x509.KeyUsageCertSign
	a.certificate = sign(t, template, template, a.key, a.key)
	return a
}

// Write creates a certificate for names and 127.0.0.1, writes it, its key and the certificate of the authority to a
// directory and returns settings for the three files.
func (a *Authority) Write(dir string, names ...string) tlsconf.Settings {
	a.t.Helper()
	key := newKey(a.t)
	leaf := template(names[0])
	leaf.DNSNames, leaf.IPAddresses = names, []net.IP{net.IPv4(127, 0, 0, 1)}
	certificate := sign(a.t, leaf, a.certificate, key, a.key)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	check(a.t, err)
	settings := tlsconf.Defaults()
	settings.CertificateFile = a.file(dir, "cert.pem", "CERTIFICATE", certificate.Raw)
	settings.KeyFile = a.file(dir, "key.pem", "PRIVATE KEY", private)
	settings.CAFile = a.file(dir, "ca.pem", "CERTIFICATE", a.certificate.Raw)
	return settings
}

func (a *Authority) file(dir, name, kind string, content []byte) string {
	path := filepath.Join(dir, name)
	check(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
	return path
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-lifetime), NotAfter: time.Now().Add(lifetime),
	}
}

func sign(t testing.TB, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) *x509.Certificate {
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	check(t, err)
	certificate, err := x509.ParseCertificate(raw)
	check(t, err)
	return certificate
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
