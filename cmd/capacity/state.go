package capacity

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/member"
	"slipcrank.example/core/prefix"
	"slipcrank.example/core/route"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
)

// Full size of the deployment, from the users' requirements.
const (
	fullDaemons    = 370
	fullEngines    = 600
	fullWorkspaces = 19_000
	fullHalls      = 5
)

// stateMeasurement measures the state that each daemon keeps at full size.
func stateMeasurement() measurement {
	return measurement{
		part: "state",
		names: []string{
			"memory, a workspace's template", "memory, a member", "memory, an engine's record",
			"memory, a block of a prefix index",
			"template change in force, 19,000 workspaces", "view rebuilt, 370 members and 600 engines",
			"offer of an engine with 50 placements", "names of a prompt of 1M tokens",
		},
		run: func(context.Context, config) ([]Row, error) {
			var rows []Row
			add := func(name string, v float64, unit string) { rows = append(rows, Row{name, v, unit}) }
			before := liveHeapBytes()
			templates := fullTemplateSet()
			add("memory, a workspace's template", (liveHeapBytes()-before)/fullWorkspaces, "B")
			before = liveHeapBytes()
			members := fullMembers()
			add("memory, a member", (liveHeapBytes()-before)/fullDaemons, "B")
			before = liveHeapBytes()
			engines := fullDirectory()
			add("memory, an engine's record", (liveHeapBytes()-before)/fullEngines, "B")
			before = liveHeapBytes()
			index, blocks := route.NewIndex(), 50_000
			for i := range blocks {
				index.Add(uint64(i+1), uint64(i)*2654435761)
			}
			add("memory, a block of a prefix index", (liveHeapBytes()-before)/float64(blocks), "B")
			runtime.KeepAlive(index)
			n := templates.Number()
			next := []template.Change{{Number: n + 1, Template: exampleTemplate(7)}}
			add("template change in force, 19,000 workspaces", microsPerCall(func() { templates.Apply(next) }), "us")
			add("view rebuilt, 370 members and 600 engines", viewRebuildMicros(members, engines), "us")
			add("offer of an engine with 50 placements", offerMicros(), "us")
			text := strings.Repeat("0123456789abcdef", 1_000_000*prefix.BytesPerToken/16)
			add("names of a prompt of 1M tokens", microsPerCall(func() { prefix.Chain("m", text) }), "us")
			return rows, nil
		},
	}
}

func exampleTemplate(i int) template.Template {
	return template.Template{
		Workspace:        fmt.Sprintf("workspace-%05d", i),
		CredentialSHA256: []string{fmt.Sprintf("%064x", i)},
		Models:           []template.Model{{Name: fmt.Sprintf("model-%02d", i%29), Version: "3", Adapters: []string{"a1"}}},
		Calls:            []template.Call{{Path: "/balance", Service: "vouchers", Repeatable: true}, {Path: "/issue", Service: "vouchers"}},
		Urgency:          template.Standard,
		Crossover:        template.Crossover{State: template.New, Percent: 100},
	}
}

func fullTemplateSet() *template.Set {
	ts := make([]template.Template, fullWorkspaces)
	for i := range ts {
		ts[i] = exampleTemplate(i)
	}
	return template.NewSetAt(fullWorkspaces, ts)
}

func fullMembers() []member.Member {
	ms := make([]member.Member, fullDaemons)
	t := member.New(member.Member{Addr: "127.0.0.1:1", Hall: "hall-0", Incarnation: 1})
	for i := range ms {
		ms[i] = member.Member{Addr: fmt.Sprintf("127.0.0.2:%d", i), Hall: fmt.Sprintf("hall-%d", i%fullHalls), Incarnation: 1}
		t.Merge(ms[i], time.Now())
	}
	return t.All()
}

func fullDirectory() []directory.Engine {
	d := directory.New()
	for i := range fullEngines {
		d.Merge(directory.Engine{
			Addr: fmt.Sprintf("127.0.1.1:%d", i), Hall: fmt.Sprintf("hall-%d", i%fullHalls), Incarnation: 1, Revision: 1,
			TotalTokens: 400_000,
			Copies: []directory.Copy{
				{Model: fmt.Sprintf("model-%02d", i%29), Version: "3"}, {Model: fmt.Sprintf("model-%02d", (i+7)%29), Version: "3"},
			},
		})
	}
	return d.All()
}

// viewRebuildMicros measures the time that the control goroutine takes to apply one
// change of a member and to rebuild its view.
func viewRebuildMicros(ms []member.Member, es []directory.Engine) float64 {
	l := control.New(member.Member{Addr: "127.0.0.1:1", Hall: "hall-0", Incarnation: 1}, control.WithState(func(s *control.State) {
		s.MergeMembers(ms)
		s.MergeEngines(es)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	n := uint32(1)
	return microsPerCall(func() {
		n++
		l.Do(ctx, func(s *control.State) {
			m := ms[1]
			m.Revision = n
			s.MergeMembers([]member.Member{m})
		})
	})
}

func offerMicros() float64 {
	now := time.Now()
	l := route.NewLoadTracker("e", now)
	l.ApplyReport(route.Load{Taken: now, Incarnation: 1, Total: 400_000}, now)
	p := route.Prompt{Tokens: 4000, MaxTokens: 100, Deadline: now.Add(time.Hour)}
	for i := range 50 {
		p.Priority = int64(i)
		l.Place(fmt.Sprint(i), p, now)
	}
	return microsPerCall(func() { l.Offer(p, now) })
}
