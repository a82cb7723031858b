package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/member"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/peers"
	"slipcrank.example/daemon/settings"
)

// authority is a certificate authority for the loopback address.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	x := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, x, x, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert, key}
}

// files writes a certificate signed by a, its key, and the certificate of the
// trusted authority, and returns settings with the paths of the three files.
func (a authority) files(t *testing.T, trusted authority) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	x := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, x, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return settings.TLS{
		CertFile: write("cert.pem", "CERTIFICATE", cert),
		KeyFile:  write("key.pem", "PRIVATE KEY", private),
		CAFile:   write("ca.pem", "CERTIFICATE", trusted.cert.Raw),
	}
}

// loadConfig loads the TLS configuration of the settings.
func loadConfig(t *testing.T, s settings.TLS) *tls.Config {
	t.Helper()
	c, err := loadTLS(s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestDaemonsVerifyEachOthersCertificates(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	for name, tc := range map[string]struct {
		client *tls.Config
		ok     bool
	}{
		"same authority": {loadConfig(t, ours.files(t, ours)), true},
		"client certificate of another authority": {loadConfig(t, theirs.files(t, ours)), false},
		"client trusts another authority":         {loadConfig(t, ours.files(t, theirs)), false},
		"client without TLS":                      {nil, false},
		"client without certificate":              {&tls.Config{RootCAs: loadConfig(t, ours.files(t, ours)).RootCAs, MinVersion: tls.VersionTLS13}, false},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			loop := control.New(member.Member{Addr: l.Addr().String(), Hall: "a", Incarnation: 1})
			go loop.Run(ctx)
			peers.NewServer(loop, peers.NewClient(), peers.WithServerTLS(loadConfig(t, ours.files(t, ours)))).Serve(ctx, l)
			c := peers.NewClient(peers.WithClientTLS(tc.client))
			defer c.Close()
			call, stop := context.WithTimeout(ctx, 10*time.Second)
			defer stop()
			if _, err := c.Ping(call, l.Addr().String(), "x", "a", control.Gossip{}); (err == nil) != tc.ok {
				t.Errorf("the ping returned the error %v", err)
			}
		})
	}
}

func TestErrorNamesInvalidTLSSetting(t *testing.T) {
	a := newAuthority(t)
	good, other := a.files(t, a), a.files(t, a)
	for name, tc := range map[string]struct {
		files settings.TLS
		key   string
	}{
		"missing certificate file":   {settings.TLS{CertFile: good.CertFile + ".gone", KeyFile: good.KeyFile, CAFile: good.CAFile}, "tls.cert_file"},
		"key of another certificate": {settings.TLS{CertFile: good.CertFile, KeyFile: other.KeyFile, CAFile: good.CAFile}, "tls.key_file"},
		"missing CA file":            {settings.TLS{CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: good.CAFile + ".gone"}, "tls.ca_file"},
		"key in the CA file":         {settings.TLS{CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: good.KeyFile}, "tls.ca_file"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadTLS(tc.files)
			var f *fault.Error
			if !errors.As(err, &f) || f.Kind() != fault.BadRequest || !strings.Contains(f.Error(), tc.key) {
				t.Errorf("got error %v, want a fault of kind bad_request that names %s", err, tc.key)
			}
		})
	}
}
