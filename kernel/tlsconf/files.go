package tlsconf

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

// maxFileBytes bounds one file.
const maxFileBytes = 1 << 20

// Files are the certificates of one use of TLS. A nil *Files stands for plain text; all methods accept it.
type Files struct {
	settings Settings
	log      *slog.Logger
	// name is a name that the own certificate must carry; empty allows any.
	name string
	// current is replaced as a whole; handshakes load it without a lock.
	current atomic.Pointer[material]
	// reloading orders reloads; handshakes never take it.
	reloading sync.Mutex
	refused   string
	stop      chan struct{}
	work      sync.WaitGroup
}

// material is what one state of the files holds. It never changes.
type material struct {
	content [3][]byte
	// certificates holds the own certificate, or nothing.
	certificates []tls.Certificate
	// authorities is nil without a file of authorities.
	authorities *x509.CertPool
	server      *tls.Config
}

// New returns the files of settings, or nil when TLS is off. They are read at Start.
func New(settings Settings, log *slog.Logger) *Files {
	if !settings.Enabled() {
		return nil
	}
	return &Files{settings: settings, log: log, stop: make(chan struct{})}
}

// RequireName makes Start and Reload refuse an own certificate that does not carry a name.
func (f *Files) RequireName(name string) {
	if f != nil {
		f.name = name
	}
}

// Start reads the files and looks for changes until Stop. The error is a *core.Error with CodeBadSettings.
func (f *Files) Start(context.Context) error {
	if err := f.Load(); f == nil || err != nil {
		return err
	}
	f.work.Go(f.watch)
	return nil
}

// Load reads the files once, for programs that end soon. The error is a *core.Error with CodeBadSettings.
func (f *Files) Load() error {
	if f == nil {
		return nil
	}
	first, err := f.read()
	if err != nil {
		return core.Errorf(core.CodeBadSettings, "TLS: %v", err)
	}
	f.current.Store(first)
	return nil
}

// Stop ends the look for changes.
func (f *Files) Stop(context.Context) error {
	if f == nil {
		return nil
	}
	close(f.stop)
	f.work.Wait()
	return nil
}

func (f *Files) watch() {
	ticker := time.NewTicker(time.Duration(f.settings.ReloadMS) * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.Reload()
		case <-f.stop:
			return
		}
	}
}

// Reload reads the files and publishes them if they changed. Files that cannot be used leave the old certificate in
// place. It reports whether a new state was published.
func (f *Files) Reload() bool {
	f.reloading.Lock()
	defer f.reloading.Unlock()
	next, err := f.read()
	if err != nil {
		// A fault that lasts is logged once, not at each look.
		if f.refused != err.Error() {
			f.refused = err.Error()
			f.log.Error("tls_files_refused", "certificate_file", f.settings.CertificateFile, "ca_file", f.settings.CAFile, "error", err.Error())
		}
		return false
	}
	f.refused = ""
	if next.equal(f.current.Load()) {
		return false
	}
	f.current.Store(next)
	f.log.Info("tls_files_reloaded", "certificate_file", f.settings.CertificateFile, "ca_file", f.settings.CAFile, "not_after", next.notAfter())
	return true
}

func (m *material) equal(other *material) bool {
	for i := range m.content {
		if !bytes.Equal(m.content[i], other.content[i]) {
			return false
		}
	}
	return true
}

// notAfter returns when the own certificate ends, or the zero time without one.
func (m *material) notAfter() time.Time {
	if len(m.certificates) == 0 {
		return time.Time{}
	}
	return m.certificates[0].Leaf.NotAfter
}

func (f *Files) read() (*material, error) {
	m := &material{}
	for i, path := range []string{f.settings.CertificateFile, f.settings.KeyFile, f.settings.CAFile} {
		if path == "" {
			continue
		}
		content, err := readFile(path)
		if err != nil {
			return nil, err
		}
		m.content[i] = content
	}
	if f.settings.CertificateFile != "" {
		if err := m.addCertificate(f.settings.CertificateFile, f.name); err != nil {
			return nil, err
		}
	}
	if f.settings.CAFile != "" {
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(m.content[2]) {
			return nil, fmt.Errorf("%s holds no certificate", f.settings.CAFile)
		}
	}
	m.server = m.serverConfig()
	return m, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s is larger than %d bytes", path, maxFileBytes)
	}
	return os.ReadFile(path)
}

// addCertificate checks the own certificate. A certificate and a key of two states of the files do not match, so a
// rotation that is caught half way is refused and read again later.
func (m *material) addCertificate(path, name string) error {
	certificate, err := tls.X509KeyPair(m.content[0], m.content[1])
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if now := time.Now(); now.After(certificate.Leaf.NotAfter) {
		return fmt.Errorf("%s ended at %s", path, certificate.Leaf.NotAfter.Format(time.RFC3339))
	}
	if name != "" {
		if err := certificate.Leaf.VerifyHostname(name); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	m.certificates = []tls.Certificate{certificate}
	return nil
}
