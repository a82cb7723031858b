package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/google/uuid"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/template"
)

const templateUsage = `template list | get WORKSPACE | apply FILE | history WORKSPACE | status
  Show and change templates.

  slipcrank template get till > till.yaml
  slipcrank template apply till.yaml
  slipcrank template apply --change-id 2f1c... till.yaml   (again, after a lost answer)
  slipcrank template status                                (who lags behind)

  A template replaces the version that it names. If that version is no longer in
  force, because another operator has changed the template, the command ends with
  exit code 3 and prints the version in force.`

type (
	templatesReply struct {
		Number    uint64              `json:"number"`
		Templates []template.Template `json:"templates"`
	}

	applyRequest struct {
		ChangeID string `json:"change_id"`
		YAML     string `json:"yaml"`
	}

	changeReply struct {
		Number   uint64            `json:"number"`
		ChangeID string            `json:"change_id"`
		Template template.Template `json:"template"`
	}

	historyReply struct {
		Changes []template.Change `json:"changes"`
	}

	statusReply struct {
		Self         string         `json:"self"`
		Number       uint64         `json:"number"`
		PlatformDown bool           `json:"platform_down"`
		LeaseHolder  string         `json:"lease_holder"`
		Daemons      []daemonStatus `json:"daemons"`
	}

	daemonStatus struct {
		Addr   string `json:"addr"`
		Hall   string `json:"hall"`
		Status string `json:"status"`
		Number uint64 `json:"number"`
		Lags   bool   `json:"lags"`
	}
)

func templateCommand() *command {
	var changeID string
	c := &command{name: "template", synopsis: "show and change templates", usage: templateUsage}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&changeID, "change-id", "", "ID of the change; repeat it to retry an apply whose answer was lost")
	}
	c.run = func(ctx context.Context, e *env, args []string) error {
		verb, name := argument(args, 0), argument(args, 1)
		switch {
		case verb == "list":
			return listTemplates(ctx, e)
		case verb == "status":
			return templateStatus(ctx, e)
		case verb == "get" && name != "":
			return getTemplate(ctx, e, name)
		case verb == "apply" && name != "":
			return applyTemplate(ctx, e, name, changeID)
		case verb == "history" && name != "":
			return templateHistory(ctx, e, name)
		default:
			return usageError("unknown or incomplete arguments after template", "see slipcrank help template")
		}
	}
	return c
}

func listTemplates(ctx context.Context, e *env) error {
	var r templatesReply
	if err := e.client.Get(ctx, "/v1/templates", &r); err != nil {
		return err
	}
	t := table{header: []string{"WORKSPACE", "VERSION", "URGENCY", "MODELS", "CROSSOVER"}}
	for _, x := range r.Templates {
		t.rows = append(t.rows, []string{
			x.Workspace, strconv.FormatUint(x.Version, 10), string(x.Urgency), formatModels(x), formatCrossover(x),
		})
	}
	return e.print(r, t)
}

func getTemplate(ctx context.Context, e *env, name string) error {
	var r templatesReply
	if err := e.client.Get(ctx, "/v1/templates/"+name, &r); err != nil {
		return err
	}
	if e.json {
		return e.print(r, table{})
	}
	b, err := r.Templates[0].YAML()
	if err != nil {
		return err
	}
	_, err = e.out.Write(b)
	return err
}

func applyTemplate(ctx context.Context, e *env, path, changeID string) error {
	b, err := readInput(path)
	if err != nil {
		return fault.Newf(fault.BadRequest, "give a readable file, or - for standard input", "%v", err)
	}
	if changeID == "" {
		changeID = uuid.NewString()
	}
	var r changeReply
	err = e.client.Post(ctx, "/v1/templates", applyRequest{ChangeID: changeID, YAML: string(b)}, &r)
	if fault.Is(err, fault.Undecided) || fault.Is(err, fault.PlatformDown) {
		fmt.Fprintf(os.Stderr, "the change id was %s\n", changeID)
	}
	if err != nil {
		return err
	}
	return e.print(r, table{
		header: []string{"WORKSPACE", "VERSION", "CHANGE", "CHANGE ID"},
		rows: [][]string{{
			r.Template.Workspace, strconv.FormatUint(r.Template.Version, 10), strconv.FormatUint(r.Number, 10), r.ChangeID,
		}},
	})
}

func templateHistory(ctx context.Context, e *env, name string) error {
	var r historyReply
	if err := e.client.Get(ctx, "/v1/history/"+name, &r); err != nil {
		return err
	}
	t := table{header: []string{"CHANGE", "VERSION", "URGENCY", "MODELS", "CROSSOVER", "CHANGE ID"}}
	for _, x := range r.Changes {
		t.rows = append(t.rows, []string{
			strconv.FormatUint(x.Number, 10), strconv.FormatUint(x.Template.Version, 10),
			string(x.Template.Urgency), formatModels(x.Template), formatCrossover(x.Template), x.ID,
		})
	}
	return e.print(r, t)
}

func templateStatus(ctx context.Context, e *env) error {
	var r statusReply
	if err := e.client.Get(ctx, "/v1/status", &r); err != nil {
		return err
	}
	t := table{header: []string{"DAEMON", "HALL", "STATUS", "CHANGE", "LAGS"}}
	for _, d := range r.Daemons {
		t.rows = append(t.rows, []string{d.Addr, d.Hall, d.Status, strconv.FormatUint(d.Number, 10), yesNo(d.Lags)})
	}
	return e.print(r, t)
}

func formatModels(t template.Template) string {
	out := ""
	for i, m := range t.Models {
		if i > 0 {
			out += ","
		}
		out += m.Name + "@" + m.Version
	}
	return out
}

func formatCrossover(t template.Template) string {
	return fmt.Sprintf("%s %d%% epoch %d", t.Crossover.State, t.Crossover.Percent, t.Crossover.Epoch)
}

func argument(args []string, i int) string {
	if i < len(args) {
		return args[i]
	}
	return ""
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
