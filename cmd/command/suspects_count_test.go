package command_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"slipcrank.example/cmd/command"
)

// TestCountSuspects checks that counting succeeds on logs of crashes alone and
// fails on logs with blocked or refused suspects.
func TestCountSuspects(t *testing.T) {
	const crashReport = `  13.50 host-1 {"event":1313,"why":"stream_broken","workspace":"w"}` + "\n"
	for name, tc := range map[string]struct {
		log  string
		code subcommands.ExitStatus
		want string
	}{
		"unconfirmed crashes":        {crashReport + crashReport + `{"event":1517,"stage":"suspect"}`, command.ExitSuccess, "ends found by one host 2"},
		"confirmed crash":            {crashReport + `{"event":1314}`, command.ExitSuccess, "ends proved by another 1"},
		"refusal for another reason": {`{"event":1513,"why":"queue_too_long"}`, command.ExitSuccess, "suspect_waits 0"},
		"lines of other programs":    {"worth 0.7\n{day}", command.ExitSuccess, "held 0"},
		"blocked":                    {`{"event":1517,"stage":"held"}`, command.ExitFailed, "held 1"},
		"refused for now":            {`{"event":1513,"why":"suspect_waits"}`, command.ExitFailed, "suspect_waits 1"},
		"request refused":            {`{"event":1513,"why":"request_ends_servers"}`, command.ExitFailed, "request_ends_servers 1"},
		"part suspected":             {`{"event":1524,"stage":"doubtful"}`, command.ExitSuccess, "doubtful 1"},
		"part blocked":               {`{"event":1524,"stage":"held"}`, command.ExitFailed, "held 1"},
		"part refused":               {`{"event":1513,"why":"prompt_part_ends_servers"}`, command.ExitFailed, "prompt_part_ends_servers 1"},
		"workspace refused":          {`{"event":1513,"why":"workspace_ends_servers"}`, command.ExitFailed, "workspace_ends_servers 1"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "host.log")
			if err := os.WriteFile(path, []byte(tc.log), 0o600); err != nil {
				t.Fatal(err)
			}
			code, out, stderr := run(t, "suspects", "count", path)
			if code != tc.code || !strings.Contains(strings.Join(strings.Fields(out), " "), tc.want) {
				t.Errorf("exit code %d, output %q, errors %q; want exit code %d, output %q", code, out, stderr, tc.code, tc.want)
			}
		})
	}
	if code, _, _ := run(t, "suspects", "count", "/nonexistent"); code != command.ExitUsage {
		t.Errorf("missing log file: exit code %d", code)
	}
}
