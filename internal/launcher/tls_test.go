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

// secured is a fleet that uses TLS on all connections.
type secured struct {
	c      *qt.C
	fleet  *launcher.Fleet
	issuer *issuer.Issuer
	folder string
	files  certifier.Files
}

func startSecured(t *testing.T) *secured {
	c := qt.New(t)
	authority, err := issuer.New("fleet")
	c.Assert(err, qt.IsNil)
	secured := &secured{c: c, issuer: authority, folder: t.TempDir()}
	secured.rotate()
	section := fmt.Sprintf("[TLS]\nCertificateFile = %s\nKeyFile = %s\nAuthorityFile = %s\n", secured.files.CertificateFile, secured.files.KeyFile, secured.files.AuthorityFile)
	secured.fleet, err = launcher.Start(launcher.Config{
		Folder: t.TempDir(), Programs: programs, Cells: 3, Entries: 2, TLS: section,
		Workers: []launcher.Worker{{Name: "worker-1", DataCentre: "dc1", Rack: "r1"}},
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(secured.fleet.Kill)
	ctx, cancel := context.WithTimeout(context.Background(), tlsTimeout)
	defer cancel()
	c.Assert(secured.fleet.AwaitReady(ctx), qt.IsNil)
	return secured
}

func (secured *secured) rotate() {
	files, err := secured.issuer.Issue(secured.folder, time.Now().Add(-certificateValidity), time.Now().Add(certificateValidity))
	secured.c.Assert(err, qt.IsNil)
	secured.files = files
}

// runControl runs dotterelctl and returns its exit status and output.
func (secured *secured) runControl(key string, arguments ...string) (int, string) {
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), tlsTimeout)
	defer cancel()
	common := []string{"-entries", strings.Join(secured.fleet.EntryAddress, ","), "-key", key, "-authority", secured.files.AuthorityFile}
	status := commander.Main(ctx, append(common, arguments...), &out, &out)
	return status, out.String()
}

// runJob submits a job and waits for its success.
func (secured *secured) runJob(key string) {
	status, text := secured.runControl(key, "submit", "desk", "swap")
	secured.c.Assert(status, qt.Equals, 0, qt.Commentf("%s", text))
	var job int
	for _, word := range strings.Fields(text) {
		if _, err := fmt.Sscanf(word, "%d", &job); err == nil {
			break
		}
	}
	status, text = secured.runControl(key, "job", "show", "-wait", "20s", fmt.Sprint(job))
	secured.c.Assert(status, qt.Equals, 0, qt.Commentf("%s", text))
	secured.c.Assert(text, qt.Contains, "Succeeded")
}

func (secured *secured) applyDeskTemplate(key string) {
	source := strings.Replace(deskTemplate, "[Queue.swap]", "KeyHashes = "+string(keyer.Hash(key))+"\n[Queue.swap]", 1)
	path := filepath.Join(secured.folder, "desk.ini")
	secured.c.Assert(os.WriteFile(path, []byte(source), 0o600), qt.IsNil)
	status, text := secured.runControl(secured.fleet.OperatorKey, "template", "apply", path)
	secured.c.Assert(status, qt.Equals, 0, qt.Commentf("%s", text))
}

func TestAllConnectionsOverTLS(t *testing.T) {
	secured := startSecured(t)
	key := keyer.Make()
	secured.applyDeskTemplate(key)
	secured.runJob(key)
	secured.rotate()
	secured.awaitLogMessage("certificates taken up", 6)
	// A restarted replica must present the rotated certificate.
	leader, err := secured.fleet.Leader(t.Context())
	secured.c.Assert(err, qt.IsNil)
	leader.Kill()
	secured.c.Assert(leader.Start(), qt.IsNil)
	secured.runJob(key)
	secured.checkForeignCertificatesRefused()
	secured.checkKeysNotExposed(key)
}

// awaitLogMessage waits until count processes have logged the message.
func (secured *secured) awaitLogMessage(message string, count int) {
	deadline := time.Now().Add(tlsTimeout)
	for {
		found := 0
		for _, text := range secured.logs() {
			if strings.Contains(text, message) {
				found++
			}
		}
		if found >= count {
			return
		}
		secured.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d of %d processes logged %q", found, count, message))
		time.Sleep(50 * time.Millisecond)
	}
}

func (secured *secured) logs() []string {
	var texts []string
	for _, processes := range [][]*launcher.Process{secured.fleet.Cells, secured.fleet.Entries, secured.fleet.Workers} {
		for _, process := range processes {
			data, err := os.ReadFile(process.LogFile())
			secured.c.Assert(err, qt.IsNil)
			texts = append(texts, string(data))
		}
	}
	return texts
}

// checkForeignCertificatesRefused calls a replica with a certificate of another
// authority and with none, and sends a heartbeat without a certificate. All of
// them must be refused.
func (secured *secured) checkForeignCertificatesRefused() {
	c := secured.c
	other, err := issuer.New("stranger")
	c.Assert(err, qt.IsNil)
	files, err := other.Issue(c.TempDir(), time.Now().Add(-certificateValidity), time.Now().Add(certificateValidity))
	c.Assert(err, qt.IsNil)
	foreign := certifier.New(certifier.Config{Files: files, Logger: logger.New(io.Discard, "stranger")})
	c.Assert(foreign.Load(), qt.IsNil)
	for _, transport := range []*certifier.Certifier{foreign, certifier.New(certifier.Config{})} {
		connection, err := messenger.Dial(secured.fleet.CellAddress[0], transport.Transport())
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err = messenger.ReplicaClient{Connection: connection}.Identify(ctx, &messenger.IdentifyRequest{Cell: "demo"})
		cancel()
		_ = connection.Close()
		c.Assert(err, qt.IsNotNil)
	}
	status, text := secured.heartbeatWithoutCertificate()
	c.Assert(status, qt.Equals, http.StatusForbidden)
	c.Assert(text, qt.Contains, "BadCertificate")
}

func (secured *secured) heartbeatWithoutCertificate() (int, string) {
	c := secured.c
	transport := http.DefaultTransport.(*http.Transport).Clone()
	tlsConfig, err := commander.Trust(secured.files.AuthorityFile)
	c.Assert(err, qt.IsNil)
	transport.TLSClientConfig = tlsConfig
	client := &http.Client{Transport: transport, Timeout: tlsTimeout}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "https://"+secured.fleet.EntryAddress[0]+workerserver.BeatPath, strings.NewReader("{}"))
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
func (secured *secured) checkKeysNotExposed(key string) {
	c := secured.c
	privateKey, err := os.ReadFile(secured.files.KeyFile)
	c.Assert(err, qt.IsNil)
	texts := secured.logs()
	for _, process := range append(secured.fleet.Cells, secured.fleet.Entries...) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+secured.fleet.MetricsAddress(process)+"/metrics", http.NoBody)
		c.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.Assert(err, qt.IsNil)
		texts = append(texts, string(data))
	}
	for _, secret := range []string{key, secured.fleet.OperatorKey, string(keyer.Hash(key)), strings.Split(string(privateKey), "\n")[1]} {
		for _, text := range texts {
			c.Assert(strings.Contains(text, secret), qt.IsFalse)
		}
	}
}
