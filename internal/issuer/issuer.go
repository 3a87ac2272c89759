// Package issuer creates a certificate authority and certificates signed by it,
// for tests and the demo. Production fleets supply their own certificates.
package issuer

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
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/certifier"
)

// Issuer is a certificate authority.
type Issuer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// authorityValidity is how long an authority's certificate is valid before and
// after its creation.
const authorityValidity = 24 * time.Hour

// New creates an authority with a new key and a self-signed certificate.
func New(name string) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate the authority's key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-authorityValidity),
		NotAfter:              time.Now().Add(authorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "create the authority's certificate")
	}
	certificate, err := x509.ParseCertificate(raw)
	return &Issuer{certificate: certificate, key: key, serial: 1}, eris.Wrap(err, "parse the authority's certificate")
}

// Issue writes a new certificate for 127.0.0.1, its key and the authority's
// certificate into the folder and returns their paths. The certificate is for
// servers and clients. Each file is replaced atomically.
func (issuer *Issuer) Issue(folder string, notBefore, notAfter time.Time) (certifier.Files, error) {
	files := certifier.Files{
		CertificateFile: filepath.Join(folder, "certificate.pem"),
		KeyFile:         filepath.Join(folder, "key.pem"),
		AuthorityFile:   filepath.Join(folder, "authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, eris.Wrap(err, "generate a key")
	}
	issuer.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(issuer.serial),
		Subject:      pkix.Name{CommonName: "dotterelrill"},
		NotBefore:    notBefore,
		NotAfter:     notAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, issuer.certificate, key.Public(), issuer.key)
	if err != nil {
		return files, eris.Wrap(err, "issue a certificate")
	}
	privateKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, eris.Wrap(err, "encode a key")
	}
	for _, file := range []struct {
		path, kind string
		raw        []byte
	}{
		{files.AuthorityFile, "CERTIFICATE", issuer.certificate.Raw},
		{files.KeyFile, "PRIVATE KEY", privateKey},
		{files.CertificateFile, "CERTIFICATE", raw},
	} {
		if err := replaceFile(file.path, file.kind, file.raw); err != nil {
			return files, err
		}
	}
	return files, nil
}

// replaceFile replaces a PEM file atomically, so that a process which reloads
// certificates never reads half of one.
func replaceFile(path, kind string, raw []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return eris.Wrap(err, "write a certificate file")
	}
	return eris.Wrap(os.Rename(path+".new", path), "replace a certificate file")
}
