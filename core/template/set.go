package template

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
)

type (
	// Change is one accepted change: the complete template as it was accepted,
	// under the number that the store assigned. Numbers rise by one.
	Change struct {
		Number uint64 `json:"number"`
		// ID is the operator's id of the change. It identifies a repeat after a
		// lost answer.
		ID       string   `json:"id"`
		Template Template `json:"template"`
	}

	// Set is the immutable set of the templates in force on a daemon, up to and
	// including change Number.
	Set struct {
		number            uint64
		templates         map[string]Template // by workspace
		workspaceByDigest map[string]string   // by hex digest of a credential
	}
)

// NewSet returns an empty set, at change number 0.
func NewSet() *Set {
	return &Set{templates: map[string]Template{}, workspaceByDigest: map[string]string{}}
}

// NewSetAt returns the set of the given templates as of change number.
func NewSetAt(number uint64, ts []Template) *Set {
	s := NewSet()
	for _, t := range ts {
		s.put(t)
	}
	s.number = number
	return s
}

// Number returns the number of the last change in force.
func (s *Set) Number() uint64 { return s.number }

// Apply returns a copy of s with the changes cs applied, which must be in rising
// order of number. Changes that s already includes are skipped, and application
// stops at a gap, so the number of the result is never lower than that of s and
// no change is left out.
func (s *Set) Apply(cs []Change) *Set {
	n := &Set{
		number:            s.number,
		templates:         maps.Clone(s.templates),
		workspaceByDigest: maps.Clone(s.workspaceByDigest),
	}
	for _, c := range cs {
		if c.Number <= n.number {
			continue
		}
		if c.Number != n.number+1 {
			break
		}
		n.put(c.Template)
		n.number = c.Number
	}
	return n
}

// Newer returns other if it is not nil and has a higher number, otherwise s.
func (s *Set) Newer(other *Set) *Set {
	if other != nil && other.number > s.number {
		return other
	}
	return s
}

func (s *Set) put(t Template) {
	for _, d := range s.templates[t.Workspace].CredentialSHA256 {
		delete(s.workspaceByDigest, d)
	}
	for _, d := range t.CredentialSHA256 {
		s.workspaceByDigest[d] = t.Workspace
	}
	s.templates[t.Workspace] = t
}

// Template returns the template of a workspace, and whether there is one.
func (s *Set) Template(workspace string) (Template, bool) {
	t, ok := s.templates[workspace]
	return t, ok
}

// Templates returns all templates, sorted by workspace name.
func (s *Set) Templates() []Template {
	ts := make([]Template, 0, len(s.templates))
	for _, k := range slices.Sorted(maps.Keys(s.templates)) {
		ts = append(ts, s.templates[k])
	}
	return ts
}

// Authorize returns the template of the workspace to which the credential
// belongs, and whether there is one. Only digests are compared.
func (s *Set) Authorize(credential string) (Template, bool) {
	sum := sha256.Sum256([]byte(credential))
	digest := hex.EncodeToString(sum[:])
	w, ok := s.workspaceByDigest[digest]
	if !ok {
		return Template{}, false
	}
	t := s.templates[w]
	for _, c := range t.CredentialSHA256 {
		if subtle.ConstantTimeCompare([]byte(c), []byte(digest)) == 1 {
			return t, true
		}
	}
	return Template{}, false
}
