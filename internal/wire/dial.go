package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	// dialTimeout bounds a dial with its TLS handshake, and attemptTimeout one attempt. The kernel
	// retransmits a lost SYN only after one second: after a power loss of all VMs, those that
	// restarted first lost theirs, and waited that long for VMs that restarted 0.2 s later. VMs
	// are at most 20 ms apart.
	dialTimeout    = 1500 * time.Millisecond
	attemptTimeout = 250 * time.Millisecond
	// unackedTimeout is how long bytes to a peer may stay unacknowledged: one and a half election
	// timeouts, so that messages reach a VM soon after a partition heals.
	unackedTimeout = 1500 * time.Millisecond
)

// Credentials are the certificate and authority for mutual TLS. The zero value means
// plain text.
type Credentials struct{ config *tls.Config }

// LoadCredentials reads a certificate, its key and the authority from PEM files.
func LoadCredentials(certificate, key, authority string) (Credentials, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Credentials{}, fmt.Errorf("keys: %w; check tls.certificate and tls.key", err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return Credentials{}, fmt.Errorf("keys: %w; check tls.authority", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Credentials{}, fmt.Errorf("keys: no certificate in %s; name the authority's PEM file", authority)
	}
	return Credentials{config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}}, nil
}

// Listener wraps l so that it accepts only peers with a valid certificate.
func (k Credentials) Listener(l net.Listener) net.Listener {
	if k.config == nil {
		return l
	}
	return tls.NewListener(l, k.config)
}

// PeerName returns the common name in the peer's certificate, and whether there is one; in
// plain text there is none.
func PeerName(ctx context.Context) (string, bool) {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return "", false
	}
	if bounded, ok := transport.(*intakeConn); ok {
		transport = bounded.Conn
	}
	secure, ok := transport.(*tls.Conn)
	if !ok || len(secure.ConnectionState().PeerCertificates) == 0 {
		return "", false
	}
	return secure.ConnectionState().PeerCertificates[0].Subject.CommonName, true
}

// ManagerOptions returns the drpc limits for both ends of a connection.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MessageLimit}}
}

// DialWithRetry dials until it succeeds, fails with an error other than a timeout of the
// attempt, or ctx ends. Each attempt takes at most timeout.
func DialWithRetry(ctx context.Context, timeout time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		conn, err := dial(attempt)
		timedOut := attempt.Err() != nil
		cancel()
		if err == nil || !timedOut || ctx.Err() != nil {
			return conn, err
		}
	}
}

// Dial connects to the peer address of a daemon.
func (k Credentials) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{Control: TCPUserTimeout(unackedTimeout)}
	raw, err := DialWithRetry(ctx, attemptTimeout, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
	if err != nil {
		return nil, err
	}
	options := drpcconn.Options{Manager: ManagerOptions()}
	if k.config == nil {
		return drpcconn.NewWithOptions(raw, options), nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config := k.config.Clone()
	config.ServerName = host
	secure := tls.Client(raw, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, fmt.Errorf("keys: %s refused the handshake: %w; check the authority on both sides", address, err)
	}
	return drpcconn.NewWithOptions(secure, options), nil
}
