package peerlink

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Keys are the TLS certificate, key and certificate authority of a host. Both
// sides of a connection must present a certificate of that authority; the one of
// a dialled peer must contain its IP address. A nil *Keys means plain TCP.
type Keys struct {
	certFile, keyFile, caFile string
	current                   atomic.Pointer[keyPair]
}

// keyPair is the content of the files as of one load.
type keyPair struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// LoadKeys reads the PEM files of a certificate chain, its private key and the
// certificate authority. It fails if the certificate isn't valid for the
// authority.
func LoadKeys(certFile, keyFile, caFile string) (*Keys, error) {
	k := &Keys{certFile: certFile, keyFile: keyFile, caFile: caFile}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the files again. On an error the previous keys remain in use.
func (k *Keys) Reload() error {
	cert, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return errors.Wrapf(err, "certificate %s and key %s", k.certFile, k.keyFile)
	}
	pem, err := os.ReadFile(k.caFile)
	if err != nil {
		return errors.Wrap(err, "certificate authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Newf("certificate authority %s contains no certificate", k.caFile)
	}
	if err := verifyOwn(&cert, roots); err != nil {
		return errors.Wrapf(err, "certificate %s is not valid for the authority %s", k.certFile, k.caFile)
	}
	k.current.Store(&keyPair{cert: cert, roots: roots})
	return nil
}

// verifyOwn verifies this host's certificate against the authority, for use as a
// server and as a client, as peers do.
func verifyOwn(cert *tls.Certificate, roots *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, der := range cert.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return err
		}
		intermediates.AddCert(c)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := cert.Leaf.Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (k *Keys) serverConfig() *tls.Config {
	pair := k.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{pair.cert},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              pair.roots,
		SessionTicketsDisabled: true,
	}
}

// serverHandshake does the TLS handshake of an accepted connection. With nil keys
// it returns conn itself.
func (k *Keys) serverHandshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if k == nil {
		return conn, nil
	}
	return handshake(ctx, tls.Server(conn, k.serverConfig()))
}

// clientHandshake does the TLS handshake of a connection to a control address.
// With nil keys it returns conn itself.
func (k *Keys) clientHandshake(ctx context.Context, conn net.Conn, control string) (net.Conn, error) {
	if k == nil {
		return conn, nil
	}
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return nil, err
	}
	pair := k.current.Load()
	return handshake(ctx, tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair.cert},
		RootCAs:      pair.roots,
		ServerName:   host,
	}))
}

func handshake(ctx context.Context, conn *tls.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return conn, nil
}
