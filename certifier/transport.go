package certifier

import (
	"context"
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
)

// TransportCredentials returns the gRPC credentials for connections between the
// system's processes, or nil if the settings name no certificates. Both sides of
// a connection must present a certificate.
func (certifier *Certifier) TransportCredentials() credentials.TransportCredentials {
	if !certifier.Enabled() {
		return nil
	}
	return &transportCredentials{certifier: certifier}
}

// transportCredentials creates gRPC's TLS credentials for each handshake, from the
// certificates that are current at that time.
type transportCredentials struct {
	certifier *Certifier
}

// ClientHandshake implements credentials.TransportCredentials.
func (transportCredentials *transportCredentials) ClientHandshake(ctx context.Context, authority string, connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config, err := transportCredentials.certifier.clientConfig()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(config).ClientHandshake(ctx, authority, connection)
}

// ServerHandshake implements credentials.TransportCredentials.
func (transportCredentials *transportCredentials) ServerHandshake(connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config := transportCredentials.certifier.ServerConfig(tls.RequireAndVerifyClientCert, "h2")
	return credentials.NewTLS(config).ServerHandshake(connection)
}

// Info implements credentials.TransportCredentials.
func (transportCredentials *transportCredentials) Info() credentials.ProtocolInfo {
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS12}).Info()
}

// Clone implements credentials.TransportCredentials.
func (transportCredentials *transportCredentials) Clone() credentials.TransportCredentials {
	cloned := *transportCredentials
	return &cloned
}

// OverrideServerName implements credentials.TransportCredentials. It does
// nothing: peers are identified by the IP addresses in the settings.
func (transportCredentials *transportCredentials) OverrideServerName(string) error { return nil }
