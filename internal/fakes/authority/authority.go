// Package authority is a certificate authority that issues short-lived
// certificates for the control links of hosts in tests and in the demo.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// validity is the time before and after now for which a certificate is valid.
const validity = time.Hour

// serialBits is the length of serial numbers in bits; RFC 5280, section 4.1.2.2,
// limits them to 20 octets.
const serialBits = 120

// Authority holds the self-signed CA certificate and its key.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

// Files are the paths of one host's PEM files.
type Files struct {
	Cert, Key, CA string
}

// New returns an authority with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, der: der}, nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
	}, nil
}

// Issue writes a new certificate for the IP address, its key and the CA
// certificate to dir.
func (a *Authority) Issue(dir string, addr netip.Addr) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, err
	}
	template, err := newTemplate("host")
	if err != nil {
		return Files{}, err
	}
	template.IPAddresses = []net.IP{addr.AsSlice()}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, err
	}
	return a.write(dir, der, keyDER)
}

func (a *Authority) write(dir string, certDER, keyDER []byte) (Files, error) {
	files := Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	blocks := []struct {
		path, kind string
		der        []byte
	}{
		{files.Cert, "CERTIFICATE", certDER},
		{files.Key, "EC PRIVATE KEY", keyDER},
		{files.CA, "CERTIFICATE", a.der},
	}
	for _, b := range blocks {
		text := pem.EncodeToMemory(&pem.Block{Type: b.kind, Bytes: b.der})
		if err := os.WriteFile(b.path, text, 0o600); err != nil {
			return Files{}, err
		}
	}
	return files, nil
}
