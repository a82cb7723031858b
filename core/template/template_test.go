package template_test

import (
	"strings"
	"testing"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/template"
)

const validYAML = `workspace: till-oslo
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
		want     string // part of the message; "" for a valid template
	}{
		"valid":                  {"", "", ""},
		"unknown key":            {"urgency:", "urgncy:", "urgncy"},
		"invalid workspace name": {"till-oslo", "Till Oslo", "workspace"},
		"no credentials":         {`["` + digest + `"]`, "[]", "credential_sha256"},
		"invalid digest":         {digest, "secret", "credential_sha256"},
		"unknown urgency":        {"interactive", "now", "urgency"},
		"share over 1":           {"0.5", "1.5", "share.new_site"},
		"percent over 100":       {"percent: 20", "percent: 120", "crossover.percent"},
		"unknown state":          {"state: moving", "state: away", "crossover.state"},
		"deadline too long":      {"deadline_seconds: 8", "deadline_seconds: 86400", "deadline_seconds"},
		"relative path":          {"path: /issue", "path: issue", "calls.path"},
		"model without name":     {"name: voucher-7b", `name: ""`, "models.name"},
		"malformed YAML":         {"models:", "models: [", "can't be read"},
	} {
		t.Run(name, func(t *testing.T) {
			x, err := template.Parse([]byte(strings.Replace(validYAML, tc.old, tc.new, 1)))
			if tc.want == "" {
				if err != nil || x.Workspace != "till-oslo" || x.Version != 3 {
					t.Errorf("got %+v, %v", x, err)
				}
				return
			}
			f := fault.From(err)
			if f == nil || f.Kind() != fault.BadRequest || !strings.Contains(f.Message(), tc.want) || f.Remedy() == "" {
				t.Errorf("got %v, want a bad_request fault that contains %s", err, tc.want)
			}
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("the error contains a credential: %v", err)
			}
		})
	}
}

func TestYAMLRoundTrip(t *testing.T) {
	a, err := template.Parse([]byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	b, err := a.YAML()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := template.Parse(b); err != nil {
		t.Errorf("Parse rejects the output of YAML: %v\n%s", err, b)
	}
}

func TestAuthorize(t *testing.T) {
	x, err := template.Parse([]byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	set := template.NewSetAt(1, []template.Template{x})
	if _, ok := set.Authorize("test"); !ok {
		t.Error("a credential whose digest is in the template is refused")
	}
	if _, ok := set.Authorize(digest); ok {
		t.Error("the digest itself is accepted as a credential")
	}
	x.CredentialSHA256 = []string{strings.Repeat("0", 64)}
	set = set.Apply([]template.Change{{Number: 2, Template: x}})
	if _, ok := set.Authorize("test"); ok {
		t.Error("a removed credential is still accepted")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validYAML))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, b []byte) {
		x, err := template.Parse(b)
		if err != nil {
			if fault.From(err).Kind() != fault.BadRequest {
				t.Errorf("an invalid template gave %v, want a bad_request fault", err)
			}
			return
		}
		if err := x.Validate(); err != nil {
			t.Errorf("Validate rejects a parsed template: %v", err)
		}
	})
}
