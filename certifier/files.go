package certifier

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/configurer"
)

// section is the section of the settings that names the certificate files.
const section = "TLS"

// Files names the certificate files of a process: all of them or none.
type Files struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile contains the authority certificates that sign the certificate
	// of this process and those of its peers.
	AuthorityFile string
}

// Declare adds the section that names the certificate files to a program's
// settings.
func (files *Files) Declare(set *configurer.Set) {
	set.String(&files.CertificateFile, configurer.Key{Section: section, Name: "CertificateFile", Allowed: "a PEM file; set all three keys of the section or none", Help: "Certificate of this process, with its IP addresses as subject alternative names. TLS is off if the section is empty."})
	set.String(&files.KeyFile, configurer.Key{Section: section, Name: "KeyFile", Allowed: "a PEM file", Help: "Private key of the certificate."})
	set.String(&files.AuthorityFile, configurer.Key{Section: section, Name: "AuthorityFile", Allowed: "a PEM file", Help: "Certificates of the system's own certificate authority. Every peer with a certificate signed by it is trusted, so it must sign only for the processes and workers of the system."})
	set.Check(files.check)
}

func (files *Files) check() []configurer.Fault {
	if !files.enabled() {
		return nil
	}
	var faults []configurer.Fault
	for _, key := range []struct{ name, value string }{
		{"CertificateFile", files.CertificateFile}, {"KeyFile", files.KeyFile}, {"AuthorityFile", files.AuthorityFile},
	} {
		if key.value == "" {
			faults = append(faults, configurer.Fault{Section: section, Key: key.name, Problem: "missing", Allowed: "all three keys of the section or none"})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	fileContents, err := files.read()
	if err == nil {
		_, err = fileContents.parse(time.Now())
	}
	if err != nil {
		faults = append(faults, configurer.Fault{Section: section, Key: "CertificateFile", Problem: err.Error(), Allowed: "a certificate within its validity period, with its key and signed by the authority"})
	}
	return faults
}

func (files *Files) enabled() bool {
	return files.CertificateFile != "" || files.KeyFile != "" || files.AuthorityFile != ""
}

// fileContents is the raw content of the files.
type fileContents struct {
	certificate, key, authority []byte
}

func (files *Files) read() (*fileContents, error) {
	var fileContents fileContents
	var err error
	if fileContents.certificate, err = readFile(files.CertificateFile); err != nil {
		return nil, err
	}
	if fileContents.key, err = readFile(files.KeyFile); err != nil {
		return nil, err
	}
	if fileContents.authority, err = readFile(files.AuthorityFile); err != nil {
		return nil, err
	}
	return &fileContents, nil
}

func (fileContents *fileContents) digest() [sha256.Size]byte {
	return sha256.Sum256(slices.Concat(fileContents.certificate, []byte{0}, fileContents.key, []byte{0}, fileContents.authority))
}

// parse validates all three files together: every peer would reject a
// certificate that its own authority did not sign.
func (fileContents *fileContents) parse(now time.Time) (*certificateSet, error) {
	certificate, err := tls.X509KeyPair(fileContents.certificate, fileContents.key)
	if err != nil {
		return nil, eris.Wrap(err, "load the certificate and its key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(fileContents.authority) {
		return nil, eris.New("the authority file contains no certificate")
	}
	leaf := certificate.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return nil, eris.Errorf("the certificate is valid only from %s to %s", leaf.NotBefore.UTC().Format(time.RFC3339), leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	intermediates := x509.NewCertPool()
	for _, raw := range certificate.Certificate[1:] {
		if parsed, err := x509.ParseCertificate(raw); err == nil {
			intermediates.AddCert(parsed)
		}
	}
	_, err = leaf.Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		return nil, eris.Wrap(err, "verify the certificate against the authority file")
	}
	return &certificateSet{certificate: certificate, authority: pool}, nil
}
