package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// render fills a template of settings as DEPLOY.md tells, as far as this project's template
// needs it.
func render(template string, fields map[string]any) string {
	return renderIn(template, fields, []any{fields})
}

var gap = regexp.MustCompile(`\{\{([#^/]?)([^{}]+)\}\}`)

func renderIn(t string, fields map[string]any, scopes []any) string {
	var out strings.Builder
	for {
		at := gap.FindStringSubmatchIndex(t)
		if at == nil {
			out.WriteString(t)
			return out.String()
		}
		out.WriteString(t[:at[0]])
		mark, name := t[at[2]:at[3]], t[at[4]:at[5]]
		t = t[at[1]:]
		if mark == "" {
			out.WriteString(value(name, scopes))
			continue
		}
		end := strings.Index(t, "{{/"+name+"}}")
		inner := t[:end]
		t = t[end+len("{{/"+name+"}}"):]
		v := lookup(name, scopes)
		if (mark == "^") == truthy(v) {
			continue
		}
		out.WriteString(section(inner, v, fields, scopes, mark))
	}
}

// section renders the inner part once, or once for each entry of a list or table.
func section(inner string, v any, fields map[string]any, scopes []any, mark string) string {
	var out strings.Builder
	each := func(key string, entry any, last bool) {
		comma := ","
		if last {
			comma = ""
		}
		text := strings.ReplaceAll(strings.ReplaceAll(inner, "{{@}}", key), "{{,}}", comma)
		out.WriteString(renderIn(text, fields, append(slices.Clone(scopes), entry)))
	}
	switch v := v.(type) {
	case []string:
		for i, entry := range v {
			each(fmt.Sprint(i), entry, i == len(v)-1)
		}
	case map[string]string:
		keys := slices.Sorted(maps.Keys(v))
		for i, k := range keys {
			each(k, v[k], i == len(keys)-1)
		}
	default:
		return renderIn(inner, fields, scopes)
	}
	return out.String()
}

func truthy(v any) bool {
	switch v := v.(type) {
	case nil:
		return false
	case bool:
		return v
	case []string:
		return len(v) > 0
	case map[string]string:
		return len(v) > 0
	}
	return true
}

func lookup(name string, scopes []any) any {
	if name == "." {
		return scopes[len(scopes)-1]
	}
	for _, s := range slices.Backward(scopes) {
		if v, ok := path(s, strings.Split(name, ".")); ok {
			return v
		}
	}
	return nil
}

// path follows the parts of a dotted name.
func path(v any, parts []string) (any, bool) {
	for _, p := range parts {
		switch t := v.(type) {
		case map[string]any:
			next, ok := t[p]
			if !ok {
				return nil, false
			}
			v = next
		case []int:
			v = t[int(number(p, 0))]
		default:
			return nil, false
		}
	}
	return v, true
}

func value(name string, scopes []any) string {
	name, asJSON := strings.CutSuffix(name, "|json")
	v := lookup(name, scopes)
	if asJSON {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err) // the fields are plain data
		}
		return string(b)
	}
	return fmt.Sprint(v)
}
