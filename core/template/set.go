package template

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
)

type (
	// Change is one accepted change: the whole template as it was accepted,
	// under the number that the store gave it. Numbers rise by one.
	Change struct {
		Number uint64 `json:"number"`
		// ID is the operator's id of the change, by which a repeat after a
		// lost answer is recognised.
		ID       string   `json:"id"`
		Template Template `json:"template"`
	}

	// Set is the immutable set of the templates in force on a daemon, up to
	// and with change Number.
	Set struct {
		number     uint64
		templates  map[string]Template
		credential map[string]string // credential digest to workspace
	}
)

// NewSet returns a book that has no change yet.
func NewSet() *Set {
	return &Set{templates: map[string]Template{}, credential: map[string]string{}}
}

// NewSetAt returns a book of whole templates as of change number n.
func NewSetAt(n uint64, ts []Template) *Set {
	b := NewSet()
	for _, t := range ts {
		b.put(t)
	}
	b.number = n
	return b
}

// Number returns the number of the last change in force.
func (b *Set) Number() uint64 { return b.number }

// Apply returns a book with the changes cs, which must be in rising order of
// number. A change that b has already is passed over, and a gap ends the
// walk, so the result never goes back and never skips a change.
func (b *Set) Apply(cs []Change) *Set {
	n := &Set{
		number:     b.number,
		templates:  maps.Clone(b.templates),
		credential: maps.Clone(b.credential),
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

// Newer returns whichever of b and o has the higher number.
func (b *Set) Newer(o *Set) *Set {
	if o != nil && o.number > b.number {
		return o
	}
	return b
}

func (b *Set) put(t Template) {
	for _, d := range b.templates[t.Workspace].CredentialSHA256 {
		delete(b.credential, d)
	}
	for _, d := range t.CredentialSHA256 {
		b.credential[d] = t.Workspace
	}
	b.templates[t.Workspace] = t
}

// Template returns the template of a workspace, and whether there is one.
func (b *Set) Template(workspace string) (Template, bool) {
	t, ok := b.templates[workspace]
	return t, ok
}

// Templates returns all templates, by name of workspace.
func (b *Set) Templates() []Template {
	ts := make([]Template, 0, len(b.templates))
	for _, k := range slices.Sorted(maps.Keys(b.templates)) {
		ts = append(ts, b.templates[k])
	}
	return ts
}

// Authorize returns the template of the workspace that this credential
// belongs to. Only digests are compared.
func (b *Set) Authorize(credential string) (Template, bool) {
	s := sha256.Sum256([]byte(credential))
	d := hex.EncodeToString(s[:])
	w, ok := b.credential[d]
	if !ok {
		return Template{}, false
	}
	t := b.templates[w]
	for _, c := range t.CredentialSHA256 {
		if subtle.ConstantTimeCompare([]byte(c), []byte(d)) == 1 {
			return t, true
		}
	}
	return Template{}, false
}
