// Package certtest issues certificates for the tests of other packages. Only tests
// import it.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"testing"
	"time"
)

// Authority signs certificates.
type Authority struct {
	// PEM is the certificate of the authority.
	PEM  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority that is valid for an hour.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &Authority{cert: cert, key: key, PEM: encode("CERTIFICATE", der)}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func encode(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}

// Issue returns the PEM of a certificate and of its key for a DNS name and for
// 127.0.0.1, valid for the two hours before notAfter.
func (a *Authority) Issue(t *testing.T, name string, notAfter time.Time) (cert, key string) {
	t.Helper()
	privateKey := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: notAfter.Add(-2 * time.Hour), NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &privateKey.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	return encode("CERTIFICATE", der), encode("PRIVATE KEY", keyDER)
}
