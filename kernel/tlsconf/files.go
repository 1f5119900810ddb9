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

// maxFileBytes bounds the size of one file.
const maxFileBytes = 1 << 20

// Files holds the certificate files of one TLS listener or client. A nil *Files means plain text; all methods accept it.
type Files struct {
	settings Settings
	log      *slog.Logger
	// name is a host name for which the own certificate must be valid; empty allows any.
	name string
	// current is replaced as a whole; handshakes load it without a lock.
	current atomic.Pointer[snapshot]
	// reloadMu serializes reloads; handshakes never take it.
	reloadMu sync.Mutex
	// loggedError is the last logged reload error, empty after a successful reload.
	loggedError string
	stop        chan struct{}
	work        sync.WaitGroup
}

// snapshot is the content of the files at one time. It is immutable.
type snapshot struct {
	// contents holds the certificate, key and CA files, in this order.
	contents [3][]byte
	// certificates holds the own certificate, if any.
	certificates []tls.Certificate
	// caPool is nil without a CA file.
	caPool *x509.CertPool
	server *tls.Config
}

// New returns the files that settings name, or nil when TLS is off. They are read at Start.
func New(settings Settings, log *slog.Logger) *Files {
	if !settings.Enabled() {
		return nil
	}
	return &Files{settings: settings, log: log, stop: make(chan struct{})}
}

// RequireName makes Start and Reload refuse an own certificate that is not valid for a host name.
func (f *Files) RequireName(name string) {
	if f != nil {
		f.name = name
	}
}

// Start reads the files and polls them for changes until Stop. The error is a *core.Error with CodeBadSettings.
func (f *Files) Start(context.Context) error {
	if err := f.Load(); f == nil || err != nil {
		return err
	}
	f.work.Go(f.watch)
	return nil
}

// Load reads the files once, for short-lived programs. The error is a *core.Error with CodeBadSettings.
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

// Stop stops polling for changes.
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

// Reload reads the files and publishes them if they changed. If they are unusable, the old certificate stays in use. It
// reports whether a new state was published.
func (f *Files) Reload() bool {
	f.reloadMu.Lock()
	defer f.reloadMu.Unlock()
	next, err := f.read()
	if err != nil {
		// A persistent error is logged once, not at each poll.
		if f.loggedError != err.Error() {
			f.loggedError = err.Error()
			f.log.Error("tls_files_refused", "certificate_file", f.settings.CertificateFile, "ca_file", f.settings.CAFile, "error", err.Error())
		}
		return false
	}
	f.loggedError = ""
	if next.equal(f.current.Load()) {
		return false
	}
	f.current.Store(next)
	f.log.Info("tls_files_reloaded", "certificate_file", f.settings.CertificateFile, "ca_file", f.settings.CAFile, "not_after", next.notAfter())
	return true
}

func (s *snapshot) equal(other *snapshot) bool {
	for i := range s.contents {
		if !bytes.Equal(s.contents[i], other.contents[i]) {
			return false
		}
	}
	return true
}

// notAfter returns the expiry of the own certificate, or the zero time without one.
func (s *snapshot) notAfter() time.Time {
	if len(s.certificates) == 0 {
		return time.Time{}
	}
	return s.certificates[0].Leaf.NotAfter
}

func (f *Files) read() (*snapshot, error) {
	s := &snapshot{}
	for i, path := range []string{f.settings.CertificateFile, f.settings.KeyFile, f.settings.CAFile} {
		if path == "" {
			continue
		}
		content, err := readFile(path)
		if err != nil {
			return nil, err
		}
		s.contents[i] = content
	}
	if f.settings.CertificateFile != "" {
		if err := s.addCertificate(f.settings.CertificateFile, f.name); err != nil {
			return nil, err
		}
	}
	if f.settings.CAFile != "" {
		s.caPool = x509.NewCertPool()
		if !s.caPool.AppendCertsFromPEM(s.contents[2]) {
			return nil, fmt.Errorf("%s holds no certificate", f.settings.CAFile)
		}
	}
	s.server = s.serverConfig()
	return s, nil
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

// addCertificate checks the own certificate. If the files are read in the middle of a rotation, the certificate and the
// key do not match; they are then refused and read again at the next poll.
func (s *snapshot) addCertificate(path, name string) error {
	certificate, err := tls.X509KeyPair(s.contents[0], s.contents[1])
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if now := time.Now(); now.After(certificate.Leaf.NotAfter) {
		return fmt.Errorf("%s expired at %s", path, certificate.Leaf.NotAfter.Format(time.RFC3339))
	}
	if name != "" {
		if err := certificate.Leaf.VerifyHostname(name); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	s.certificates = []tls.Certificate{certificate}
	return nil
}
