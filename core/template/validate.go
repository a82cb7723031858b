package template

import (
	"encoding/hex"
	"regexp"
	"slices"
	"strings"

	"slipcrank.example/core/fault"
)

const digestBytes = 32

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	urgencies   = []Urgency{Interactive, Standard, Review}
	states      = []State{Old, Moving, New, Returning}
)

// Validate returns nil, or a fault of kind bad_request that states the first key
// with an invalid value, the value and the remedy.
func (t Template) Validate() error {
	checks := []func() error{
		t.checkNames, t.checkCredentials, t.checkCalls, t.checkShare, t.checkCrossover,
	}
	for _, c := range checks {
		if err := c(); err != nil {
			return err
		}
	}
	if !slices.Contains(urgencies, t.Urgency) {
		return invalid("urgency", string(t.Urgency), "use interactive, standard or review")
	}
	if t.Deadline() > MaxDeadline {
		return invalid("deadline_seconds", t.Deadline().String(), "use at most "+MaxDeadline.String())
	}
	return nil
}

func (t Template) checkNames() error {
	if !namePattern.MatchString(t.Workspace) {
		return invalid("workspace", t.Workspace, "use 1 to 63 of a-z, 0-9, dot, dash, underscore")
	}
	for _, m := range t.Models {
		if !namePattern.MatchString(m.Name) {
			return invalid("models.name", m.Name, "use 1 to 63 of a-z, 0-9, dot, dash, underscore")
		}
		if m.Version == "" {
			return invalid("models.version", "", "state the version of model "+m.Name)
		}
	}
	return nil
}

func (t Template) checkCredentials() error {
	if len(t.CredentialSHA256) == 0 {
		return invalid("credential_sha256", "", "give the SHA-256 of at least one credential, in hex")
	}
	for _, c := range t.CredentialSHA256 {
		b, err := hex.DecodeString(c)
		if err != nil || len(b) != digestBytes {
			return invalid("credential_sha256", "(hidden)", "use 64 hex digits, as printed by sha256sum")
		}
	}
	return nil
}

func (t Template) checkCalls() error {
	for _, c := range t.Calls {
		if !strings.HasPrefix(c.Path, "/") {
			return invalid("calls.path", c.Path, "begin the path with a slash")
		}
		if !namePattern.MatchString(c.Service) {
			return invalid("calls.service", c.Service, "name a service of the host list")
		}
	}
	return nil
}

func (t Template) checkShare() error {
	for k, s := range map[string]float64{"share.old_site": t.Share.OldSite, "share.new_site": t.Share.NewSite} {
		if s < 0 || s > 1 {
			return invalid(k, "outside 0 to 1", "use a part from 0 to 1")
		}
	}
	return nil
}

func (t Template) checkCrossover() error {
	if !slices.Contains(states, t.Crossover.State) {
		return invalid("crossover.state", string(t.Crossover.State), "use old, moving, new or returning")
	}
	if t.Crossover.Percent < 0 || t.Crossover.Percent > maxPercent {
		return invalid("crossover.percent", "outside 0 to 100", "use a whole number from 0 to 100")
	}
	return nil
}

func invalid(key, value, remedy string) error {
	return fault.Newf(fault.BadRequest, remedy, "template key %s has the bad value %q", key, value)
}
