package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

type (
	// Request is what makes two attempts the same request: who asks for what.
	Request struct {
		Workspace, Key       string
		Method, Host, Target string
		Body                 []byte
	}

	// Identity is a request as suspects are known: digests, and whose it is.
	Identity struct {
		HeadHash    HeadHash
		Fingerprint Fingerprint
		Workspace   string
	}

	// HeadHash is a cheap digest of a request, which doesn't read its body. Two
	// requests with one mark may differ; it decides where something is looked
	// up, never what becomes of a request.
	HeadHash uint64

	// Fingerprint is a digest of a whole request that nobody can craft another
	// request for. Zero is none.
	Fingerprint [printSize]byte
)

const (
	// printSize is in bytes: 128 bits, for which no second request can be found.
	printSize = 16
	// separator can't stand in what it separates.
	separator = "\x00"
)

// HeadHash returns the request's mark. It hashes some hundred bytes.
func (r Request) HeadHash() HeadHash {
	d := xxhash.New()
	for _, part := range r.head() {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.WriteString(separator)
	}
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(r.Body)))
	_, _ = d.Write(size[:])
	return HeadHash(d.Sum64())
}

// WorkspaceHash is the mark under which all requests of a confined workspace run.
func WorkspaceHash(workspace string) HeadHash { return Request{Workspace: workspace}.HeadHash() }

// Fingerprint returns the request's print. It hashes the body, which may have
// megabytes: it is asked for only where there is something to compare with.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, part := range r.head() {
		_, _ = h.Write([]byte(part + separator)) // never fails
	}
	_, _ = h.Write(r.Body)
	return Fingerprint(h.Sum(nil)[:printSize])
}

// Identity returns both digests.
func (r Request) Identity() Identity { return Identity{r.HeadHash(), r.Fingerprint(), r.Workspace} }

// head is the request without its body. The workspace is part of it, so that no
// caller can make a request that counts as one of another workspace's.
func (r Request) head() [5]string {
	return [5]string{r.Workspace, r.Key, r.Method, r.Host, r.Target}
}

// MarshalText implements encoding.TextMarshaler.
func (p Fingerprint) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Fingerprint) UnmarshalText(b []byte) error {
	raw, err := hex.DecodeString(string(b))
	if err != nil || len(raw) != printSize {
		return errors.Newf("a print has %d hexadecimal digits, not %q", 2*printSize, b)
	}
	copy(p[:], raw)
	return nil
}

// String returns the mark as it stands in logs.
func (m HeadHash) String() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(m))
	return hex.EncodeToString(b[:])
}

// String returns the print as it stands in logs.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:]) }
