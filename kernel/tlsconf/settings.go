// Package tlsconf holds the TLS settings that listeners and clients share, and reloads changed certificate files
// without a restart. It uses TLS 1.3 of the standard library only.
package tlsconf

import "gooseberrylane.example/core"

// DefaultReloadMS is the default interval between two checks of the files, in milliseconds.
const DefaultReloadMS = 10_000

// Settings names the files of one TLS listener or client. TLS is off when no file is named.
type Settings struct {
	// CertificateFile is the PEM file with the own certificate, followed by intermediate certificates. Default empty.
	CertificateFile string `json:"certificate_file"`
	// KeyFile is the PEM file with the private key of the certificate. Default empty.
	KeyFile string `json:"key_file"`
	// CAFile is the PEM file with the CA certificates that the certificate of the other side is verified against. A
	// listener with it refuses clients without such a certificate. Default empty.
	CAFile string `json:"ca_file"`
	// ReloadMS is the interval between two checks of the files for changes, in milliseconds. Default 10000.
	ReloadMS int64 `json:"reload_ms" validate:"gte=100,lte=86400000"`
}

// Defaults returns settings with TLS off.
func Defaults() Settings { return Settings{ReloadMS: DefaultReloadMS} }

// Enabled reports whether TLS is on.
func (s *Settings) Enabled() bool {
	return s.CertificateFile != "" || s.KeyFile != "" || s.CAFile != ""
}

// CheckListener returns the problems of the settings of a listener, which requires a certificate. Paths start with "tls".
func (s *Settings) CheckListener() []core.Problem {
	if s.Enabled() && (s.CertificateFile == "" || s.KeyFile == "") {
		return []core.Problem{{Path: "tls", Detail: "a listener with TLS needs certificate_file and key_file"}}
	}
	return nil
}

// CheckClient returns the problems of the settings of a client, which requires the CA certificates of its servers. Paths
// start with "tls".
func (s *Settings) CheckClient() []core.Problem {
	var problems []core.Problem
	if s.Enabled() && s.CAFile == "" {
		problems = append(problems, core.Problem{Path: "tls.ca_file", Detail: "a client with TLS needs ca_file with the CA certificates of its servers"})
	}
	if (s.CertificateFile == "") != (s.KeyFile == "") {
		problems = append(problems, core.Problem{Path: "tls", Detail: "certificate_file and key_file must be set together"})
	}
	return problems
}

// CheckMutual returns the problems of the settings of mutual TLS, where both sides need a certificate. Paths start with
// "tls".
func (s *Settings) CheckMutual() []core.Problem {
	if s.Enabled() && (s.CertificateFile == "" || s.KeyFile == "" || s.CAFile == "") {
		return []core.Problem{{Path: "tls", Detail: "mutual TLS needs certificate_file, key_file and ca_file"}}
	}
	return nil
}
