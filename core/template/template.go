// Package template defines the templates with which operators configure
// slipcrank.
//
// A [Template] states, for one workspace, the models, versions and adapters that
// it may use, its share of each site, the urgency of its traffic, the calls that
// it may make to plain services, and the progress of its crossover from the old
// site. Templates are immutable values: the With methods return changed copies,
// and a changed template is accepted by a compare-and-swap on its version.
//
// # Usage
//
//	t, err := template.Parse(yamlBytes)
//	if err != nil { ... }            // a fault that states key, value and remedy
//	t = t.WithCrossover(template.Crossover{State: template.Moving, Percent: 20, Epoch: 4})
//
// A [Set] is the immutable set of all templates in force on a daemon. Its number
// only rises: [Set.Apply] ignores changes that the set already includes.
package template

import (
	"bytes"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"slipcrank.example/core/fault"
)

// Urgency is the priority class of a workspace's traffic.
type Urgency string

// The urgencies, most urgent first.
const (
	Interactive Urgency = "interactive"
	Standard    Urgency = "standard"
	Review      Urgency = "review"
)

// State is the state of a crossover: which sites serve a workspace's traffic.
type State string

// The states of a crossover. The usual cycle is old, moving, new, returning, old.
const (
	Old       State = "old"
	Moving    State = "moving"
	New       State = "new"
	Returning State = "returning"
)

const (
	// DefaultDeadline is the time limit of a request if neither the caller nor
	// the template sets one.
	DefaultDeadline = 60 * time.Second
	// MaxDeadline is the longest time limit that a caller or a template may set.
	MaxDeadline = 30 * time.Minute

	maxPercent = 100
)

type (
	// Model names one model that a workspace may use.
	Model struct {
		Name     string   `json:"name" yaml:"name"`
		Version  string   `json:"version" yaml:"version"`
		Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
		// Unrepeatable means that a prompt to this model may run at most
		// once, such as a review that is billed.
		Unrepeatable bool `json:"unrepeatable,omitempty" yaml:"unrepeatable,omitempty"`
	}

	// Call is one kind of call to a plain service.
	Call struct {
		Path       string `json:"path" yaml:"path"`
		Service    string `json:"service" yaml:"service"`
		Repeatable bool   `json:"repeatable" yaml:"repeatable"`
	}

	// Share is the fraction of each site's capacity, from 0 to 1, that the
	// workspace may use while other workspaces compete for it.
	Share struct {
		OldSite float64 `json:"old_site" yaml:"old_site"`
		NewSite float64 `json:"new_site" yaml:"new_site"`
	}

	// Crossover is the progress of a workspace's move between sites. Percent
	// is the percentage of stable keys that the new site serves. Epoch rises
	// with every change of the other two fields.
	Crossover struct {
		State   State  `json:"state" yaml:"state"`
		Percent int    `json:"percent" yaml:"percent"`
		Epoch   uint64 `json:"epoch" yaml:"epoch"`
	}

	// Template is the immutable template of one workspace.
	Template struct {
		Workspace string `json:"workspace" yaml:"workspace"`
		// Version is assigned when a change is accepted; 0 before the first.
		Version uint64 `json:"version" yaml:"version"`
		// CredentialSHA256 holds the hex SHA-256 digests of accepted credentials.
		CredentialSHA256 []string  `json:"credential_sha256" yaml:"credential_sha256"`
		Models           []Model   `json:"models" yaml:"models"`
		Calls            []Call    `json:"calls,omitempty" yaml:"calls,omitempty"`
		Urgency          Urgency   `json:"urgency" yaml:"urgency"`
		Share            Share     `json:"share" yaml:"share"`
		DeadlineSeconds  float64   `json:"deadline_seconds,omitempty" yaml:"deadline_seconds,omitempty"`
		Crossover        Crossover `json:"crossover" yaml:"crossover"`
	}
)

// Parse decodes a template from YAML, sets defaults and validates it. Unknown
// keys are an error.
func Parse(b []byte) (Template, error) {
	var t Template
	d := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict())
	if err := d.Decode(&t); err != nil {
		return Template{}, fault.Newf(fault.BadRequest,
			"mend the YAML; docs/OPERATIONS.md lists the keys of a template",
			"the template can't be read: %s", yaml.FormatError(err, false, false))
	}
	t = t.withDefaults()
	return t, t.Validate()
}

// YAML returns t encoded as YAML.
func (t Template) YAML() ([]byte, error) { return yaml.Marshal(t) }

func (t Template) withDefaults() Template {
	if t.Urgency == "" {
		t.Urgency = Standard
	}
	if t.Crossover.State == "" {
		t.Crossover.State = New
		t.Crossover.Percent = maxPercent
	}
	return t
}

// Deadline returns the time limit of a request of this workspace whose caller
// sets none.
func (t Template) Deadline() time.Duration {
	if t.DeadlineSeconds <= 0 {
		return DefaultDeadline
	}
	return time.Duration(t.DeadlineSeconds * float64(time.Second))
}

// Model returns the model called name, and whether the template has it.
func (t Template) Model(name string) (Model, bool) {
	i := slices.IndexFunc(t.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return t.Models[i], true
}

// Call returns the call with this path, and whether the template has it.
func (t Template) Call(path string) (Call, bool) {
	i := slices.IndexFunc(t.Calls, func(c Call) bool { return c.Path == path })
	if i < 0 {
		return Call{}, false
	}
	return t.Calls[i], true
}

// WithVersion returns a copy of t with version v.
func (t Template) WithVersion(v uint64) Template {
	t.Version = v
	return t
}

// WithCrossover returns a copy of t with crossover c.
func (t Template) WithCrossover(c Crossover) Template {
	t.Crossover = c
	return t
}

// WithUrgency returns a copy of t with urgency u.
func (t Template) WithUrgency(u Urgency) Template {
	t.Urgency = u
	return t
}

// WithModels returns a copy of t with these models.
func (t Template) WithModels(m ...Model) Template {
	t.Models = slices.Clone(m)
	return t
}
