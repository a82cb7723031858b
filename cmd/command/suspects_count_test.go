package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"slipcrank.example/cmd/command"
)

// TestCountSuspects counts logs of days on which no request should be refused.
func TestCountSuspects(t *testing.T) {
	const found = `  13.50 host-1 {"event":1313,"why":"stream_broken","workspace":"w"}` + "\n"
	for name, tc := range map[string]struct {
		log  string
		code subcommands.ExitStatus
		want string
	}{
		"a cut":             {found + found + `{"event":1517,"stage":"suspect"}`, command.ExitSuccess, "ends found by one host 2"},
		"a crash":           {found + `{"event":1314}`, command.ExitSuccess, "ends proved by another 1"},
		"another refusal":   {`{"event":1513,"why":"queue_too_long"}`, command.ExitSuccess, "suspect_waits 0"},
		"no host's lines":   {"worth 0.7\n{day}", command.ExitSuccess, "held 0"},
		"held":              {`{"event":1517,"stage":"held"}`, command.ExitFailed, "held 1"},
		"has to wait":       {`{"event":1513,"why":"suspect_waits"}`, command.ExitFailed, "suspect_waits 1"},
		"refused":           {`{"event":1513,"why":"request_ends_servers"}`, command.ExitFailed, "request_ends_servers 1"},
		"workspace refused": {`{"event":1513,"why":"workspace_ends_servers"}`, command.ExitFailed, "workspace_ends_servers 1"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "host.log")
			if err := os.WriteFile(path, []byte(tc.log), 0o600); err != nil {
				t.Fatal(err)
			}
			code, out, complaint := run(t, "suspects", "count", path)
			if code != tc.code || !strings.Contains(strings.Join(strings.Fields(out), " "), tc.want) {
				t.Errorf("exit %d with %q and %q, want %d with %q", code, out, complaint, tc.code, tc.want)
			}
		})
	}
	if code, _, _ := run(t, "suspects", "count", "/nonexistent"); code != command.ExitUsage {
		t.Errorf("a log that isn't there: exit %d", code)
	}
}
