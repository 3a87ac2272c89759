// Package certifier owns the TLS certificates of one process: the settings that
// name their files, their validation, and their renewal while the process runs.
//
// Connections between the system's processes use mutual TLS: both sides present
// a certificate signed by an authority in the authority file. To callers and
// operators the process presents its own certificate. Invalid files are rejected
// at startup. Files that change later are used for new connections if they are
// valid; otherwise the previous certificates stay in use and a log line reports
// why. Established connections are not closed. No error or log line contains any
// part of a private key.
package certifier

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/internal/logger"
)

// pollInterval is how often the files are checked for changes.
const pollInterval = time.Second

// Config configures a Certifier.
type Config struct {
	Files  Files
	Logger log.Logger
	// Now is the clock that the validity period of certificates is checked
	// against; nil means time.Now.
	Now func() time.Time
}

// Certifier holds the current certificates of a process. It is safe for
// concurrent use.
type Certifier struct {
	config  Config
	current atomic.Pointer[certificateSet]
	// lastDigest is the digest of the files at the last check, so that unchanged
	// files are not loaded again and an invalid file is logged only once.
	lastDigest [sha256.Size]byte
}

// certificateSet is the parsed content of the files when they were last valid.
type certificateSet struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New returns a certifier that has not loaded its files yet.
func New(config Config) *Certifier {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Certifier{config: config}
}

// Enabled reports whether the settings name certificate files.
func (certifier *Certifier) Enabled() bool { return certifier.config.Files.enabled() }

// Load reads the files and uses them for new connections, or returns an error if
// they are invalid. It does nothing if the settings name none.
func (certifier *Certifier) Load() error {
	if !certifier.Enabled() {
		return nil
	}
	fileContents, err := certifier.config.Files.read()
	if err != nil {
		return err
	}
	certifier.lastDigest = fileContents.digest()
	return certifier.activate(fileContents)
}

func (certifier *Certifier) activate(fileContents *fileContents) error {
	certificateSet, err := fileContents.parse(certifier.config.Now())
	if err != nil {
		return err
	}
	certifier.current.Store(certificateSet)
	return nil
}

// Run reloads files that change until the context ends.
func (certifier *Certifier) Run(ctx context.Context) {
	if !certifier.Enabled() {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			certifier.reload()
		}
	}
}

func (certifier *Certifier) reload() {
	fileContents, err := certifier.config.Files.read()
	if err == nil {
		digest := fileContents.digest()
		if digest == certifier.lastDigest {
			return
		}
		certifier.lastDigest = digest
		err = certifier.activate(fileContents)
	} else {
		// Without a digest the files are loaded again once they are readable.
		certifier.lastDigest = [sha256.Size]byte{}
	}
	if err != nil {
		logger.Error(certifier.config.Logger, "certificates not taken up, the old ones stay in force", "Error", err.Error())
		return
	}
	leaf := certifier.current.Load().certificate.Leaf
	logger.Info(certifier.config.Logger, "certificates taken up", "Serial", leaf.SerialNumber.String(), "Expires", leaf.NotAfter)
}

// ServerConfig returns the TLS configuration of a server, which presents the
// certificate that is current at each handshake. clientAuth determines whether
// clients must present a certificate.
func (certifier *Certifier) ServerConfig(clientAuth tls.ClientAuthType, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificateSet, err := certifier.loaded()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:             tls.VersionTLS12,
				NextProtos:             protocols,
				Certificates:           []tls.Certificate{certificateSet.certificate},
				ClientAuth:             clientAuth,
				ClientCAs:              certificateSet.authority,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration of one connection to a server.
func (certifier *Certifier) clientConfig() (*tls.Config, error) {
	certificateSet, err := certifier.loaded()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{certificateSet.certificate},
		RootCAs:      certificateSet.authority,
	}, nil
}

func (certifier *Certifier) loaded() (*certificateSet, error) {
	certificateSet := certifier.current.Load()
	if certificateSet == nil {
		return nil, eris.New("no certificate is loaded")
	}
	return certificateSet, nil
}

// Scheme returns the URL scheme of HTTP connections: https if TLS is enabled,
// otherwise http.
func (certifier *Certifier) Scheme() string {
	if certifier.Enabled() {
		return "https"
	}
	return "http"
}

// ConfigureTransport makes an HTTP transport present the current certificate and
// accept only servers whose certificate the authority signed. It does nothing if
// TLS is off.
func (certifier *Certifier) ConfigureTransport(transport *http.Transport) {
	if !certifier.Enabled() {
		return
	}
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		config, err := certifier.clientConfig()
		if err != nil {
			return nil, err
		}
		connection, err := (&tls.Dialer{Config: config}).DialContext(ctx, network, address)
		return connection, eris.Wrapf(err, "connect to %s", address)
	}
}

// Serve runs an HTTP server until it is closed, with TLS if the settings name
// certificates. Clients may present a certificate; one that the authority did
// not sign is rejected.
func (certifier *Certifier) Serve(server *http.Server, listener net.Listener) error {
	if !certifier.Enabled() {
		return server.Serve(listener)
	}
	server.TLSConfig = certifier.ServerConfig(tls.VerifyClientCertIfGiven, "h2", "http/1.1")
	return server.ServeTLS(listener, "", "")
}

// Authenticated reports whether the client of a request presented a certificate
// that the authority signed. It is always true if TLS is off.
func (certifier *Certifier) Authenticated(request *http.Request) bool {
	if !certifier.Enabled() {
		return true
	}
	return request.TLS != nil && len(request.TLS.VerifiedChains) > 0
}

// readFile returns errors that name the file and contain none of its content.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, eris.Wrap(err, "read a file named in section TLS")
}
