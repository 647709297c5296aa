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
	// dialTime bounds the wait for a connection, and dialEach that for one attempt. The
	// kernel sends a lost opening packet again after a second only: after a loss of power
	// of all VMs those that were back first had lost theirs, and waited that long for
	// VMs that were back 0.2 s after them. VMs are 20 ms apart at the most.
	dialTime = 1500 * time.Millisecond
	dialEach = 250 * time.Millisecond
	// unackedLimit is how long bytes to a peer may stay unacknowledged: one and a
	// half elections, so that a VM that comes back from a cut is heard at once.
	unackedLimit = 1500 * time.Millisecond
)

// Keys are the certificate and authority of mutual TLS. The zero value is
// plain text.
type Keys struct{ config *tls.Config }

// LoadKeys reads PEM files.
func LoadKeys(certificate, key, authority string) (Keys, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Keys{}, fmt.Errorf("keys: %w; check tls.certificate and tls.key", err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return Keys{}, fmt.Errorf("keys: %w; check tls.authority", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Keys{}, fmt.Errorf("keys: no certificate in %s; name the authority's PEM file", authority)
	}
	return Keys{config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}}, nil
}

// Listener wraps l so that only holders of a certificate get through.
func (k Keys) Listener(l net.Listener) net.Listener {
	if k.config == nil {
		return l
	}
	return tls.NewListener(l, k.config)
}

// PeerName returns the name in the certificate of the other end of a call, and
// whether there is one: in plain text there is not.
func PeerName(ctx context.Context) (string, bool) {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return "", false
	}
	secure, ok := transport.(*tls.Conn)
	if !ok || len(secure.ConnectionState().PeerCertificates) == 0 {
		return "", false
	}
	return secure.ConnectionState().PeerCertificates[0].Subject.CommonName, true
}

// ManagerOptions returns the limits of both ends of a connection.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MessageLimit}}
}

// Redial dials until there is a connection, an error other than a late answer, or the end
// of ctx. Each attempt has no longer than each.
func Redial(ctx context.Context, each time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, each)
		conn, err := dial(attempt)
		late := attempt.Err() != nil
		cancel()
		if err == nil || !late || ctx.Err() != nil {
			return conn, err
		}
	}
}

// Dial connects to a daemon's address for peers.
func (k Keys) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	dialer := net.Dialer{Control: Unacked(unackedLimit)}
	raw, err := Redial(ctx, dialEach, func(ctx context.Context) (net.Conn, error) {
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
