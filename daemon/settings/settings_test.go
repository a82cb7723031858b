package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"slipcrank.example/core/fault"
	"slipcrank.example/daemon/settings"
)

const good = `hall: oslo-a
platform: 127.0.0.1:18100
operator_token_sha256: 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
listen:
  callers: 127.0.0.1:18080
  peers: 127.0.0.1:18070
  operators: 127.0.0.1:18090
`

func TestParse(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new string
		want     []string // substrings of the message; none for good settings
	}{
		"good":             {"", "", nil},
		"with durations":   {"hall:", "periods: {heartbeat: 500ms}\ndrain: {limit: 1h}\nhall:", nil},
		"unknown key":      {"hall:", "hal: x\nhall:", []string{"hal"}},
		"no hall":          {"hall: oslo-a\n", "", []string{"hall"}},
		"platform by name": {"127.0.0.1:18100", "platform.example:18100", []string{"platform", "platform.example"}},
		"no port":          {"127.0.0.1:18080", "127.0.0.1", []string{"listen.callers", "127.0.0.1"}},
		"short digest":     {"5e884898", "", []string{"operator_token_sha256", "hidden"}},
		"period too short": {"hall:", "periods: {heartbeat: 1ms}\nhall:", []string{"periods.heartbeat", "1ms"}},
		"body too large":   {"hall:", "limits: {body_bytes: 999999999}\nhall:", []string{"limits.body_bytes", "999999999"}},
		"TLS incomplete":   {"hall:", "tls: {cert_file: a.pem}\nhall:", []string{"tls."}},
		"unknown exporter": {"hall:", "trace: {exporter: zipkin}\nhall:", []string{"trace.exporter", "zipkin"}},
		"no endpoint":      {"hall:", "trace: {exporter: otlp}\nhall:", []string{"trace.endpoint"}},
		"bad bootstrap":    {"hall:", "bootstrap: [here]\nhall:", []string{"bootstrap", "here"}},
		"not YAML":         {"listen:", "listen: [", []string{"can't be read"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := settings.Parse([]byte(strings.Replace(good, tc.old, tc.new, 1)))
			if len(tc.want) == 0 {
				if err != nil || s.Hall != "oslo-a" || s.Limits.Requests == 0 {
					t.Errorf("got %+v, %v", s, err)
				}
				return
			}
			f := fault.From(err)
			if f == nil || f.Kind() != fault.BadRequest || f.Remedy() == "" {
				t.Fatalf("got %v, want a bad request with a remedy", err)
			}
			for _, w := range tc.want {
				if !strings.Contains(f.Message(), w) {
					t.Errorf("%q does not name %q", f.Message(), w)
				}
			}
		})
	}
}

// TestEveryKeyIsDocumented checks that docs/OPERATIONS.md lists each key.
func TestEveryKeyIsDocumented(t *testing.T) {
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	keys := append(keysOf(reflect.TypeFor[settings.Settings](), ""), keysOf(reflect.TypeFor[settings.Entry](), "")...)
	for _, k := range keys {
		if !strings.Contains(string(b), "| `"+k+"` |") {
			t.Errorf("docs/OPERATIONS.md lacks the key %s", k)
		}
	}
	if len(keys) < 20 {
		t.Errorf("only %d keys found", len(keys))
	}
}

// keysOf returns the YAML keys of a struct type and its nested structs, with their
// paths.
func keysOf(t reflect.Type, path string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		k := path + strings.Split(f.Tag.Get("yaml"), ",")[0]
		if f.Type.Kind() == reflect.Struct {
			out = append(out, keysOf(f.Type, k+".")...)
			continue
		}
		out = append(out, k)
	}
	return out
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("hall: [1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := settings.Parse(b)
		if err == nil && s.Validate() != nil {
			t.Error("parsed settings are not valid")
		}
		if err != nil && fault.From(err).Kind() != fault.BadRequest {
			t.Errorf("bad input gave %v", err)
		}
	})
}

const entryText = `host: h
hall: oslo-a
listen: {callers: "127.0.0.1:1", readiness: "127.0.0.1:2", metrics: "127.0.0.1:3", news: "127.0.0.1:4"}
platform: "127.0.0.1:5"
bounds:
  key_proof: 5000ms
  config: 2000ms
  grace: 8s
  retries: {share: 0.2, extra: 100, span: 10s}
`

func TestEntrySettings(t *testing.T) {
	for name, tc := range map[string]struct {
		old, now string
		want     string // in the error; empty for none
	}{
		"good":            {"", "", ""},
		"unknown key":     {"hall:", "hale:", "hale"},
		"no host":         {"host: h", "host: \"\"", "host"},
		"bad address":     {"127.0.0.1:4", "somewhere", "listen.news"},
		"share too large": {"share: 0.2", "share: 2", "bounds.retries.share"},
		"grace too short": {"grace: 8s", "grace: 0s", "bounds.grace"},
		"not YAML":        {"host: h", "{", "read"},
		"a list":          {entryText, "- 1", "read"},
		"not a duration":  {"key_proof: 5000ms", "key_proof: soon", "read"},
		"keys served":     {"  grace:", "  unproven_keys: serve\n  grace:", ""},
		"keys refused":    {"  grace:", "  unproven_keys: refuse\n  grace:", ""},
		"unknown choice":  {"  grace:", "  unproven_keys: maybe\n  grace:", "bounds.unproven_keys"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := settings.ParseEntry([]byte(strings.Replace(entryText, tc.old, tc.now, 1)))
			if tc.want == "" {
				if err != nil || s.Bounds.KeyProof != 5*time.Second {
					t.Errorf("%+v, %v", s, err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want one that names %q", err, tc.want)
			}
		})
	}
}

func TestFollow(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) {
		t.Helper()
		// The platform replaces the file atomically too.
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(entryText)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type update struct {
		settings settings.Entry
		err      error
	}
	updates := make(chan update, 1)
	go settings.Follow(ctx, path, time.Millisecond, func(s settings.Entry, err error) {
		select {
		case updates <- update{s, err}:
		case <-ctx.Done():
		}
	})
	next := func() update {
		t.Helper()
		select {
		case u := <-updates:
			return u
		case <-time.After(5 * time.Second):
			t.Fatal("the settings are not reported")
		}
		return update{}
	}
	// The file may have changed after it was read for the start.
	got := next()
	if got.err != nil || got.settings.Host != "h" {
		t.Errorf("got the host %q, %v, want h", got.settings.Host, got.err)
	}
	write(strings.Replace(entryText, "host: h", "host: hx", 1))
	if got = next(); got.err != nil || got.settings.Host != "hx" {
		t.Errorf("got the host %q, %v, want hx", got.settings.Host, got.err)
	}
	write("host: [")
	for got.err == nil {
		got = next()
	}
}
