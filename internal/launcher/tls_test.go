package launcher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelrill/dotterelrill/certifier"
	"github.com/dotterelrill/dotterelrill/internal/commander"
	"github.com/dotterelrill/dotterelrill/internal/issuer"
	"github.com/dotterelrill/dotterelrill/internal/launcher"
	"github.com/dotterelrill/dotterelrill/internal/logger"
	"github.com/dotterelrill/dotterelrill/keyer"
	"github.com/dotterelrill/dotterelrill/messenger"
	"github.com/dotterelrill/dotterelrill/workerserver"
)

const (
	certificateValidity = time.Hour
	tlsTimeout          = 30 * time.Second
)

// tlsFixture is a fleet that uses TLS on all connections.
type tlsFixture struct {
	c      *qt.C
	fleet  *launcher.Fleet
	issuer *issuer.Issuer
	folder string
	files  certifier.Files
}

func startTLSFixture(t *testing.T) *tlsFixture {
	c := qt.New(t)
	authority, err := issuer.New("fleet")
	c.Assert(err, qt.IsNil)
	tlsFixture := &tlsFixture{c: c, issuer: authority, folder: t.TempDir()}
	tlsFixture.rotate()
	section := fmt.Sprintf("[TLS]\nCertificateFile = %s\nKeyFile = %s\nAuthorityFile = %s\n", tlsFixture.files.CertificateFile, tlsFixture.files.KeyFile, tlsFixture.files.AuthorityFile)
	tlsFixture.fleet, err = launcher.Start(launcher.Config{
		Folder: t.TempDir(), Programs: programs, Cells: 3, Entries: 2, TLS: section,
		Workers: []launcher.Worker{{Name: "worker-1", DataCentre: "dc1", Rack: "r1"}},
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(tlsFixture.fleet.Kill)
	ctx, cancel := context.WithTimeout(context.Background(), tlsTimeout)
	defer cancel()
	c.Assert(tlsFixture.fleet.AwaitReady(ctx), qt.IsNil)
	return tlsFixture
}

func (tlsFixture *tlsFixture) rotate() {
	files, err := tlsFixture.issuer.Issue(tlsFixture.folder, time.Now().Add(-certificateValidity), time.Now().Add(certificateValidity))
	tlsFixture.c.Assert(err, qt.IsNil)
	tlsFixture.files = files
}

// runControl runs dotterelctl and returns its exit status and output.
func (tlsFixture *tlsFixture) runControl(key string, arguments ...string) (int, string) {
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), tlsTimeout)
	defer cancel()
	common := []string{"-entries", strings.Join(tlsFixture.fleet.EntryAddress, ","), "-key", key, "-authority", tlsFixture.files.AuthorityFile}
	status := commander.Main(ctx, append(common, arguments...), &out, &out)
	return status, out.String()
}

// runJob submits a job and waits for its success.
func (tlsFixture *tlsFixture) runJob(key string) {
	status, text := tlsFixture.runControl(key, "submit", "desk", "swap")
	tlsFixture.c.Assert(status, qt.Equals, 0, qt.Commentf("%s", text))
	var job int
	for _, word := range strings.Fields(text) {
		if _, err := fmt.Sscanf(word, "%d", &job); err == nil {
			break
		}
	}
	status, text = tlsFixture.runControl(key, "job", "show", "-wait", "20s", fmt.Sprint(job))
	tlsFixture.c.Assert(status, qt.Equals, 0, qt.Commentf("%s", text))
	tlsFixture.c.Assert(text, qt.Contains, "Succeeded")
}

func (tlsFixture *tlsFixture) applyDeskTemplate(key string) {
	source := strings.Replace(deskTemplate, "[Queue.swap]", "KeyHashes = "+string(keyer.Hash(key))+"\n[Queue.swap]", 1)
	path := filepath.Join(tlsFixture.folder, "desk.ini")
	tlsFixture.c.Assert(os.WriteFile(path, []byte(source), 0o600), qt.IsNil)
	status, text := tlsFixture.runControl(tlsFixture.fleet.OperatorKey, "template", "apply", path)
	tlsFixture.c.Assert(status, qt.Equals, 0, qt.Commentf("%s", text))
}

func TestAllConnectionsOverTLS(t *testing.T) {
	tlsFixture := startTLSFixture(t)
	key := keyer.Generate()
	tlsFixture.applyDeskTemplate(key)
	tlsFixture.runJob(key)
	tlsFixture.rotate()
	tlsFixture.awaitLogMessage("certificates taken up", 6)
	// A restarted replica must present the rotated certificate.
	leader, err := tlsFixture.fleet.Leader(t.Context())
	tlsFixture.c.Assert(err, qt.IsNil)
	leader.Kill()
	tlsFixture.c.Assert(leader.Start(), qt.IsNil)
	tlsFixture.runJob(key)
	tlsFixture.checkForeignCertificatesRefused()
	tlsFixture.checkKeysNotExposed(key)
}

// awaitLogMessage waits until count processes have logged the message.
func (tlsFixture *tlsFixture) awaitLogMessage(message string, count int) {
	deadline := time.Now().Add(tlsTimeout)
	for {
		found := 0
		for _, text := range tlsFixture.logs() {
			if strings.Contains(text, message) {
				found++
			}
		}
		if found >= count {
			return
		}
		tlsFixture.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d of %d processes logged %q", found, count, message))
		time.Sleep(50 * time.Millisecond)
	}
}

func (tlsFixture *tlsFixture) logs() []string {
	var texts []string
	for _, processes := range [][]*launcher.Process{tlsFixture.fleet.Cells, tlsFixture.fleet.Entries, tlsFixture.fleet.Workers} {
		for _, process := range processes {
			data, err := os.ReadFile(process.LogFile())
			tlsFixture.c.Assert(err, qt.IsNil)
			texts = append(texts, string(data))
		}
	}
	return texts
}

// checkForeignCertificatesRefused calls a replica with a certificate of another
// authority and with none, and sends a heartbeat without a certificate. All of
// them must be refused.
func (tlsFixture *tlsFixture) checkForeignCertificatesRefused() {
	c := tlsFixture.c
	other, err := issuer.New("foreign")
	c.Assert(err, qt.IsNil)
	files, err := other.Issue(c.TempDir(), time.Now().Add(-certificateValidity), time.Now().Add(certificateValidity))
	c.Assert(err, qt.IsNil)
	foreign := certifier.New(certifier.Config{Files: files, Logger: logger.New(io.Discard, "foreign")})
	c.Assert(foreign.Load(), qt.IsNil)
	for _, transport := range []*certifier.Certifier{foreign, certifier.New(certifier.Config{})} {
		connection, err := messenger.Dial(tlsFixture.fleet.CellAddress[0], transport.TransportCredentials())
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err = messenger.ReplicaClient{Connection: connection}.Identify(ctx, &messenger.IdentifyRequest{Cell: "demo"})
		cancel()
		_ = connection.Close()
		c.Assert(err, qt.IsNotNil)
	}
	status, text := tlsFixture.heartbeatWithoutCertificate()
	c.Assert(status, qt.Equals, http.StatusForbidden)
	c.Assert(text, qt.Contains, "BadCertificate")
}

func (tlsFixture *tlsFixture) heartbeatWithoutCertificate() (int, string) {
	c := tlsFixture.c
	transport := http.DefaultTransport.(*http.Transport).Clone()
	tlsConfig, err := commander.ClientTLSConfig(tlsFixture.files.AuthorityFile)
	c.Assert(err, qt.IsNil)
	transport.TLSClientConfig = tlsConfig
	client := &http.Client{Transport: transport, Timeout: tlsTimeout}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "https://"+tlsFixture.fleet.EntryAddress[0]+workerserver.HeartbeatPath, strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	response, err := client.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, string(data)
}

// checkKeysNotExposed checks that no key or key hash is in the logs or metrics
// of any process.
func (tlsFixture *tlsFixture) checkKeysNotExposed(key string) {
	c := tlsFixture.c
	privateKey, err := os.ReadFile(tlsFixture.files.KeyFile)
	c.Assert(err, qt.IsNil)
	texts := tlsFixture.logs()
	for _, process := range append(tlsFixture.fleet.Cells, tlsFixture.fleet.Entries...) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+tlsFixture.fleet.MetricsAddress(process)+"/metrics", http.NoBody)
		c.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.Assert(err, qt.IsNil)
		texts = append(texts, string(data))
	}
	for _, secret := range []string{key, tlsFixture.fleet.OperatorKey, string(keyer.Hash(key)), strings.Split(string(privateKey), "\n")[1]} {
		for _, text := range texts {
			c.Assert(strings.Contains(text, secret), qt.IsFalse)
		}
	}
}
