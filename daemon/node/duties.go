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

// batchersPerHall is the number of daemons of a hall that batch claims. With
// more batchers each transaction has fewer rows; with one, its failure would
// affect all claims.
const batchersPerHall = 2

// batcherFor returns the daemon of the hall that batches the claims of a key.
func batcherFor(v *control.View, key string) string {
	ranked := route.Rank("claims", v.LiveDaemons(v.Self.Hall))
	return route.Owner(key, ranked[:min(batchersPerHall, len(ranked))])
}

// leaseHolderName returns the name under which a daemon holds leases. The name
// includes the incarnation, so that a restarted daemon counts as another holder.
func leaseHolderName(m member.Member) string { return fmt.Sprintf("%s/%d", m.Addr, m.Incarnation) }

// loadTLS returns the configuration of mutual TLS between daemons, or nil if TLS
// is not configured.
func loadTLS(t settings.TLS) (*tls.Config, error) {
	if t.CertFile == "" {
		return nil, nil
	}
	c, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, invalidTLS("tls.cert_file or tls.key_file", err)
	}
	b, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, invalidTLS("tls.ca_file", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, invalidTLS("tls.ca_file", errors.New("the file contains no PEM certificate"))
	}
	return &tls.Config{
		Certificates: []tls.Certificate{c},
		ClientCAs:    p,
		RootCAs:      p,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// invalidTLS returns the error for a TLS setting.
func invalidTLS(key string, err error) error {
	return fault.Newf(fault.BadRequest, "give readable PEM files that belong together", "setting %s can't be used", key).WithCause(err)
}
