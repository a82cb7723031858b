package node

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/member"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/settings"
)

// batchers is how many daemons of a hall gather claims. With more, each
// transaction holds fewer rows; with one, its loss would touch all claims.
const batchers = 2

// batcherOf returns the daemon of the hall that gathers a key's claims.
func batcherOf(v *control.View, key string) string {
	few := route.Rank("claims", v.LiveDaemons(v.Self.Hall))
	return route.Owner(key, few[:min(batchers, len(few))])
}

// leaseName names a holder so that a restarted daemon is another one.
func leaseName(m member.Member) string { return fmt.Sprintf("%s/%d", m.Addr, m.Incarnation) }

// loadTLS returns the configuration for connections between daemons, in which
// each side checks the other's certificate, or nil if TLS is not set.
func loadTLS(t settings.TLS) (*tls.Config, error) {
	if t.CertFile == "" {
		return nil, nil
	}
	c, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, badTLS("tls.cert_file or tls.key_file", err)
	}
	b, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, badTLS("tls.ca_file", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, badTLS("tls.ca_file", errors.New("no PEM certificate in it"))
	}
	return &tls.Config{
		Certificates: []tls.Certificate{c},
		ClientCAs:    p,
		RootCAs:      p,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

func badTLS(key string, err error) error {
	return fault.Newf(fault.BadRequest, "give readable PEM files that belong together", "setting %s can't be used", key).WithCause(err)
}
