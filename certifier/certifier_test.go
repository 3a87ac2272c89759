package certifier_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/grpc/credentials"

	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/internal/issuer"
	"github.com/dotterelrill/dotterelrill/internal/logger"
)

const (
	timeout  = 20 * time.Second
	validity = time.Hour
)

// logBuffer collects log output and can be read while it is written.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (logBuffer *logBuffer) Write(data []byte) (int, error) {
	logBuffer.mutex.Lock()
	defer logBuffer.mutex.Unlock()
	return logBuffer.text.Write(data)
}

func (logBuffer *logBuffer) String() string {
	logBuffer.mutex.Lock()
	defer logBuffer.mutex.Unlock()
	return logBuffer.text.String()
}

// peer is one side of a connection: a certifier with its certificate files.
type peer struct {
	issuer    *issuer.Issuer
	folder    string
	files     certifier.Files
	certifier *certifier.Certifier
	log       *logBuffer
}

func newIssuer(c *quicktest.C) *issuer.Issuer {
	created, err := issuer.New("test")
	c.Assert(err, quicktest.IsNil)
	return created
}

func newPeer(t *testing.T, authority *issuer.Issuer) *peer {
	c := quicktest.New(t)
	peer := &peer{issuer: authority, folder: t.TempDir(), log: &logBuffer{}}
	peer.issue(c, time.Now().Add(-validity), time.Now().Add(validity))
	peer.certifier = certifier.New(certifier.Config{Files: peer.files, Logger: logger.New(peer.log, "test")})
	c.Assert(peer.certifier.Load(), quicktest.IsNil)
	return peer
}

func (peer *peer) issue(c *quicktest.C, from, until time.Time) {
	files, err := peer.issuer.Issue(peer.folder, from, until)
	c.Assert(err, quicktest.IsNil)
	peer.files = files
}

// handshake connects two peers and returns the serial number of the certificate
// that the server presented, and the error of each side.
func handshake(c *quicktest.C, client, server *peer) (serial string, clientErr, serverErr error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = listener.Close() }()
	serverDone := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			_, _, err = server.certifier.TransportCredentials().ServerHandshake(connection)
			_ = connection.Close()
		}
		serverDone <- err
	}()
	connection, err := (&net.Dialer{}).Dial("tcp", listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, info, clientErr := client.certifier.TransportCredentials().ClientHandshake(ctx, listener.Addr().String(), connection)
	if clientErr != nil {
		_ = connection.Close()
	} else {
		serial = info.(credentials.TLSInfo).State.PeerCertificates[0].SerialNumber.String()
	}
	return serial, clientErr, <-serverDone
}

func TestPeersOfOneAuthorityTrustEachOther(t *testing.T) {
	c := quicktest.New(t)
	authority := newIssuer(c)
	_, clientErr, serverErr := handshake(c, newPeer(t, authority), newPeer(t, authority))
	c.Assert(clientErr, quicktest.IsNil)
	c.Assert(serverErr, quicktest.IsNil)
}

func TestPeerOfAnotherAuthorityIsRejectedOnEitherSide(t *testing.T) {
	c := quicktest.New(t)
	authority := newIssuer(c)
	trusted := newPeer(t, authority)
	untrusted := newPeer(t, newIssuer(c))
	_, clientErr, _ := handshake(c, trusted, untrusted)
	c.Assert(clientErr, quicktest.ErrorMatches, ".*unknown authority.*")
	// A client that trusts the server's authority still has no certificate that
	// this authority signed.
	authorityData, err := os.ReadFile(trusted.files.AuthorityFile)
	c.Assert(err, quicktest.IsNil)
	_, _, serverErr := handshake(c, trustAuthority(c, untrusted, authorityData), trusted)
	c.Assert(serverErr, quicktest.ErrorMatches, ".*unknown authority.*")
}

// trustAuthority adds an authority to the authority file of the untrusted peer,
// so that its client side accepts the server, and returns the peer.
func trustAuthority(c *quicktest.C, untrusted *peer, authority []byte) *peer {
	own, err := os.ReadFile(untrusted.files.AuthorityFile)
	c.Assert(err, quicktest.IsNil)
	c.Assert(os.WriteFile(untrusted.files.AuthorityFile, append(own, authority...), 0o600), quicktest.IsNil)
	c.Assert(untrusted.certifier.Load(), quicktest.IsNil)
	return untrusted
}

func TestRotatedCertificatesAreLoadedWithoutRestart(t *testing.T) {
	c := quicktest.New(t)
	authority := newIssuer(c)
	server, client := newPeer(t, authority), newPeer(t, authority)
	go server.certifier.Run(t.Context())
	serialBefore, _, _ := handshake(c, client, server)
	server.issue(c, time.Now().Add(-validity), time.Now().Add(validity))
	waitFor(c, func() bool {
		serial, clientErr, serverErr := handshake(c, client, server)
		c.Assert(clientErr, quicktest.IsNil)
		c.Assert(serverErr, quicktest.IsNil)
		return serial != serialBefore
	})
}

func waitFor(c *quicktest.C, condition func() bool) {
	c.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		c.Assert(time.Now().Before(deadline), quicktest.IsTrue, quicktest.Commentf("waited for %s", timeout))
		time.Sleep(50 * time.Millisecond)
	}
}

func TestInvalidFilesKeepThePreviousCertificates(t *testing.T) {
	c := quicktest.New(t)
	authority := newIssuer(c)
	server, client := newPeer(t, authority), newPeer(t, authority)
	go server.certifier.Run(t.Context())
	serialBefore, _, _ := handshake(c, client, server)
	server.issue(c, time.Now().Add(-2*validity), time.Now().Add(-validity))
	waitFor(c, func() bool { return strings.Contains(server.log.String(), "the old ones stay in force") })
	serialAfter, clientErr, _ := handshake(c, client, server)
	c.Assert(clientErr, quicktest.IsNil)
	c.Assert(serialAfter, quicktest.Equals, serialBefore)
	secret, err := os.ReadFile(server.files.KeyFile)
	c.Assert(err, quicktest.IsNil)
	c.Assert(strings.Contains(server.log.String(), strings.Split(string(secret), "\n")[1]), quicktest.IsFalse)
}

func TestInvalidFilesAreRejectedAtStartup(t *testing.T) {
	for name, test := range map[string]struct {
		corrupt func(c *quicktest.C, peer *peer)
		wantErr string
	}{
		"expired": {func(c *quicktest.C, peer *peer) {
			peer.issue(c, time.Now().Add(-2*validity), time.Now().Add(-validity))
		}, ".*valid only from.*"},
		"not yet valid": {func(c *quicktest.C, peer *peer) { peer.issue(c, time.Now().Add(validity), time.Now().Add(2*validity)) }, ".*valid only from.*"},
		"another's key": {func(c *quicktest.C, peer *peer) {
			replaceFile(c, peer, func(files *certifier.Files) *string { return &files.KeyFile })
		}, ".*load the certificate and its key.*"},
		"another's authority": {func(c *quicktest.C, peer *peer) {
			replaceFile(c, peer, func(files *certifier.Files) *string { return &files.AuthorityFile })
		}, ".*verify the certificate against the authority file.*"},
		"missing file": {func(c *quicktest.C, peer *peer) { c.Assert(os.Remove(peer.files.KeyFile), quicktest.IsNil) }, ".*no such file.*"},
		"no PEM data": {func(c *quicktest.C, peer *peer) {
			c.Assert(os.WriteFile(peer.files.AuthorityFile, []byte("text"), 0o600), quicktest.IsNil)
		}, ".*contains no certificate.*"},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			corrupted := newPeer(t, newIssuer(c))
			test.corrupt(c, corrupted)
			err := certifier.New(certifier.Config{Files: corrupted.files, Logger: logger.New(corrupted.log, "test")}).Load()
			c.Assert(err, quicktest.ErrorMatches, test.wantErr)
		})
	}
}

// replaceFile replaces the content of one of the peer's files by that of a peer
// of another authority.
func replaceFile(c *quicktest.C, peer *peer, choose func(files *certifier.Files) *string) {
	folder := c.TempDir()
	files, err := newIssuer(c).Issue(folder, time.Now().Add(-validity), time.Now().Add(validity))
	c.Assert(err, quicktest.IsNil)
	data, err := os.ReadFile(*choose(&files))
	c.Assert(err, quicktest.IsNil)
	c.Assert(os.WriteFile(*choose(&peer.files), data, 0o600), quicktest.IsNil)
}
