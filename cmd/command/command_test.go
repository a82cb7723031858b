package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"slipcrank.example/cmd/command"
	"slipcrank.example/cmd/devel"
)

// run runs the command line and returns its exit code, standard output and
// standard error.
func run(t *testing.T, args ...string) (subcommands.ExitStatus, string, string) {
	t.Helper()
	var out, stderr bytes.Buffer
	f := flag.NewFlagSet("slipcrank", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	c := subcommands.NewCommander(f, "slipcrank")
	c.Output, c.Error = &out, &stderr
	command.Register(c, &out, &stderr)
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	return c.Execute(context.Background()), out.String(), stderr.String()
}

func TestOperatorsCommands(t *testing.T) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := devel.Start(ctx, devel.WithHalls("leon"), devel.WithDaemons(2), devel.WithEngines(1))
	if err != nil {
		t.Fatal(err)
	}
	limit, tick := time.After(30*time.Second), time.NewTicker(10*time.Millisecond)
	defer tick.Stop()
	for !f.Ready() {
		select {
		case <-limit:
			t.Fatal("the fleet is not ready")
		case <-tick.C:
		}
	}
	t.Setenv("SLIPCRANK_ADDR", f.Nodes[0].Operators())
	t.Setenv("SLIPCRANK_TOKEN", devel.Token)
	_, text, _ := run(t, "template", "get", "till")
	path := filepath.Join(t.TempDir(), "till.yaml")
	if err := os.WriteFile(path, []byte(strings.Replace(text, "urgency: interactive", "urgency: standard", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct { // in order: later ones build on earlier ones
		name string
		args []string
		code subcommands.ExitStatus
		want string // a part of standard output or standard error
	}{
		{"list", []string{"template", "list"}, command.ExitSuccess, "manuscripts"},
		{"apply", []string{"template", "--change-id", "c1", "apply", path}, command.ExitSuccess, "c1"},
		{"apply with the same change ID", []string{"template", "--change-id", "c1", "apply", path}, command.ExitSuccess, "c1"},
		{"apply to an old version", []string{"template", "--change-id", "c2", "apply", path}, command.ExitConflict, "version 2"},
		{"history", []string{"template", "history", "till"}, command.ExitSuccess, "c1"},
		{"status", []string{"template", "status"}, command.ExitSuccess, f.Nodes[1].Peers()},
		{"unknown workspace", []string{"template", "get", "nobody"}, command.ExitFailed, "workspace list"},
		{"no such file", []string{"template", "apply", "/nonexistent"}, command.ExitUsage, "file"},
		{"no verb", []string{"template"}, command.ExitUsage, "help template"},
		{"return without a percentage", []string{"workspace", "return", "till"}, command.ExitUsage, "--percent"},
		{"return", []string{"workspace", "return", "--percent", "30", "till"}, command.ExitSuccess, "returning 30%"},
		{"return with the flag first", []string{"workspace", "--percent", "0", "return", "till"}, command.ExitSuccess, "old 0%"},
		{"unknown flag", []string{"engines", "--nonsense"}, command.ExitUsage, ""},
		{"engines", []string{"engines"}, command.ExitSuccess, "voucher-7b@1"},
		{"hosts", []string{"hosts"}, command.ExitSuccess, "oldsite"},
		{"unknown request", []string{"explain", "nothing"}, command.ExitFailed, "last requests"},
		{"version", []string{"version"}, command.ExitSuccess, "slipcrank"},
		{"wrong token", []string{"engines", "--token", "wrong"}, command.ExitFailed, "SLIPCRANK_TOKEN"},
		{"no daemon at the address", []string{"hosts", "--addr", "127.0.0.1:1"}, command.ExitUnreachable, "--addr"},
	} {
		code, out, stderr := run(t, tc.args...)
		if code != tc.code || !strings.Contains(out+stderr, tc.want) {
			t.Errorf("%s: exit code %d, want %d; %q in %s%s", tc.name, code, tc.code, tc.want, out, stderr)
		}
	}
	_, out, _ := run(t, "template", "--json", "list")
	var r struct {
		Templates []struct {
			Workspace string `json:"workspace"`
		} `json:"templates"`
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Templates) != len(devel.Templates()) {
		t.Errorf("--json printed %v %s", err, out)
	}
}

func TestExperiment(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "scenario.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const good = `engines: 4
engine: {slots: 4, memory: 100000, stride: 10, step: 1ms, read_rate: 100000, chunk: 2048, usual_prompt: 2000, usual_answer: 100}
wait: 5s
loads:
- {name: short, from: 0s, until: 2s, rate: 20, prompt: 2000, answer: 100, objective: 200ms, gap: 200ms}
`
	for name, tc := range map[string]struct {
		args []string
		exit subcommands.ExitStatus
		want string // a part of standard output or standard error
	}{
		"scenario file": {[]string{"--scenario", write(good), "--seeds", "2"}, command.ExitSuccess, "let-back  short"},
		"load of several workspaces": {
			[]string{"--scenario", write(strings.Replace(good, "gap: 200ms}", "gap: 200ms, workspaces: 3, group: tills}", 1)), "--seeds", "2", "--policy", "no-shares,default"},
			command.ExitSuccess, "no-shares  short",
		},
		"too many workspaces": {
			[]string{"--scenario", write(strings.Replace(good, "gap: 200ms}", "gap: 200ms, workspaces: 30000}", 1))}, command.ExitUsage, "workspaces",
		},
		"unknown policy":         {[]string{"--policy", "default,best"}, command.ExitUsage, "there is no policy best"},
		"one seed":               {[]string{"--seeds", "1"}, command.ExitUsage, "--seeds 2 to 1000"},
		"no file":                {[]string{"--scenario", "nowhere.yaml"}, command.ExitUsage, "can't be read"},
		"unknown key":            {[]string{"--scenario", write(strings.Replace(good, "wait:", "weight:", 1))}, command.ExitUsage, "weight"},
		"no engines":             {[]string{"--scenario", write(strings.Replace(good, "engines: 4", "engines: 0", 1))}, command.ExitUsage, "engines"},
		"load ends at its start": {[]string{"--scenario", write(strings.Replace(good, "until: 2s", "until: 0s", 1))}, command.ExitUsage, "until"},
		"zero read rate":         {[]string{"--scenario", write(strings.Replace(good, "read_rate: 100000", "read_rate: 0", 1))}, command.ExitUsage, "read_rate"},
	} {
		t.Run(name, func(t *testing.T) {
			exit, out, stderr := run(t, append([]string{"experiment"}, tc.args...)...)
			if exit != tc.exit || !strings.Contains(out+stderr, tc.want) {
				t.Errorf("exit code %d, output %q, errors %q; want exit code %d and %q", exit, out, stderr, tc.exit, tc.want)
			}
		})
	}
}
