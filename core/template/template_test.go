package template_test

import (
	"strings"
	"testing"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/template"
)

const good = `workspace: till-oslo
version: 3
credential_sha256: ["` + digest + `"]
models:
  - name: voucher-7b
    version: "2"
calls:
  - path: /issue
    service: vouchers
    repeatable: false
urgency: interactive
share: {old_site: 0.2, new_site: 0.5}
deadline_seconds: 8
crossover: {state: moving, percent: 20, epoch: 2}
`

const digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func TestParse(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		want     string // in the message; "" for a good template
	}{
		"good":               {"", "", ""},
		"unknown key":        {"urgency:", "urgncy:", "urgncy"},
		"bad name":           {"till-oslo", "Till Oslo", "workspace"},
		"no credential":      {`["` + digest + `"]`, "[]", "credential_sha256"},
		"not a digest":       {digest, "secret", "credential_sha256"},
		"urgency":            {"interactive", "now", "urgency"},
		"share":              {"0.5", "1.5", "share.new_site"},
		"percent":            {"percent: 20", "percent: 120", "crossover.percent"},
		"state":              {"state: moving", "state: away", "crossover.state"},
		"deadline":           {"deadline_seconds: 8", "deadline_seconds: 86400", "deadline_seconds"},
		"path":               {"path: /issue", "path: issue", "calls.path"},
		"model with no name": {"name: voucher-7b", `name: ""`, "models.name"},
		"not YAML":           {"models:", "models: [", "can't be read"},
	} {
		t.Run(name, func(t *testing.T) {
			x, err := template.Parse([]byte(strings.Replace(good, tc.old, tc.new, 1)))
			if tc.want == "" {
				if err != nil || x.Workspace != "till-oslo" || x.Version != 3 {
					t.Errorf("got %+v, %v", x, err)
				}
				return
			}
			f := fault.From(err)
			if f == nil || f.Kind() != fault.BadRequest || !strings.Contains(f.Message(), tc.want) || f.Remedy() == "" {
				t.Errorf("got %v, want a bad request that names %s", err, tc.want)
			}
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("the message shows a credential: %v", err)
			}
		})
	}
}

func TestYAMLRoundTrip(t *testing.T) {
	a, err := template.Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	b, err := a.YAML()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := template.Parse(b); err != nil {
		t.Errorf("what get prints, apply refuses: %v\n%s", err, b)
	}
}

func TestAuthorize(t *testing.T) {
	x, err := template.Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	b := template.NewSetAt(1, []template.Template{x})
	if _, ok := b.Authorize("test"); !ok {
		t.Error("the credential whose digest the template has is refused")
	}
	if _, ok := b.Authorize(digest); ok {
		t.Error("the digest itself is taken for a credential")
	}
	x.CredentialSHA256 = []string{strings.Repeat("0", 64)}
	b = b.Apply([]template.Change{{Number: 2, Template: x}})
	if _, ok := b.Authorize("test"); ok {
		t.Error("a credential that was taken out is still accepted")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, b []byte) {
		x, err := template.Parse(b)
		if err != nil {
			if fault.From(err).Kind() != fault.BadRequest {
				t.Errorf("bad input gave %v", err)
			}
			return
		}
		if err := x.Validate(); err != nil {
			t.Errorf("a parsed template is not valid: %v", err)
		}
	})
}
