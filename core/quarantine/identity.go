package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

type (
	// Request holds the properties that identify a request. Two attempts with equal
	// properties are attempts at the same request.
	Request struct {
		Workspace, Key       string
		Method, Host, Target string
		Body                 []byte
	}

	// Identity identifies a request in the registry by its digests.
	Identity struct {
		HeadHash    HeadHash
		Fingerprint Fingerprint
		Workspace   string
	}

	// HeadHash is a fast non-cryptographic hash of a request without the contents of
	// its body. Different requests may share a head hash, so it only decides where to
	// look up or place a request, never how the request is treated.
	HeadHash uint64

	// Fingerprint is a cryptographic digest of a complete request. It is infeasible to
	// craft a second request with the same fingerprint. The zero value stands for no
	// request.
	Fingerprint [fingerprintSize]byte
)

const (
	// fingerprintSize is in bytes. 128 bits are enough to make finding a second
	// request with a given fingerprint infeasible.
	fingerprintSize = 16
	// separator can't occur in the fields that it separates.
	separator = "\x00"
)

// HeadHash returns the head hash of the request. It hashes the head and the length of
// the body, some hundred bytes in all.
func (r Request) HeadHash() HeadHash {
	d := xxhash.New()
	for _, field := range r.head() {
		_, _ = d.WriteString(field) // never fails
		_, _ = d.WriteString(separator)
	}
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(r.Body)))
	_, _ = d.Write(size[:])
	return HeadHash(d.Sum64())
}

// WorkspaceHash returns the head hash under which all requests of a confined workspace
// are placed.
func WorkspaceHash(workspace string) HeadHash { return Request{Workspace: workspace}.HeadHash() }

// Fingerprint returns the fingerprint of the request. It hashes the whole body, which
// may be megabytes long, so callers compute it only if [Registry.MayContain] reports
// a possible match.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range r.head() {
		_, _ = h.Write([]byte(field + separator)) // never fails
	}
	_, _ = h.Write(r.Body)
	return Fingerprint(h.Sum(nil)[:fingerprintSize])
}

// Identity returns both digests of the request and its workspace.
func (r Request) Identity() Identity { return Identity{r.HeadHash(), r.Fingerprint(), r.Workspace} }

// head returns the fields of the request without its body. It includes the workspace,
// so that no caller can make a request that is taken for one of another workspace.
func (r Request) head() [5]string {
	return [5]string{r.Workspace, r.Key, r.Method, r.Host, r.Target}
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error unless b
// consists of 32 hexadecimal digits.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	raw, err := hex.DecodeString(string(b))
	if err != nil || len(raw) != fingerprintSize {
		return errors.Newf("a print has %d hexadecimal digits, not %q", 2*fingerprintSize, b)
	}
	copy(f[:], raw)
	return nil
}

// String returns the head hash in hexadecimal, as written to logs.
func (h HeadHash) String() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(h))
	return hex.EncodeToString(b[:])
}

// String returns the fingerprint in hexadecimal, as written to logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
