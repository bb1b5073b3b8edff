package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// fields are the settings of a process, as the platform knows them.
type fields map[string]any

var tagPattern = regexp.MustCompile(`\{\{([#^/]?)([^}]*)\}\}`)

// render fills in a template of the deploy file: placeholders, sections and inverted sections.
func render(text string, scope ...fields) string {
	var out strings.Builder
	for {
		loc := tagPattern.FindStringSubmatchIndex(text)
		if loc == nil {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:loc[0]])
		kind, name := text[loc[2]:loc[3]], text[loc[4]:loc[5]]
		rest := text[loc[1]:]
		if kind == "" {
			out.WriteString(valueText(lookup(name, scope)))
			text = rest
			continue
		}
		end := "{{/" + name + "}}"
		inner, after, _ := strings.Cut(rest, end)
		out.WriteString(renderSection(kind, inner, lookup(name, scope), scope))
		text = after
	}
}

// renderSection renders a section once for each entry of a list, or once if the value is present; an inverted one if it is not.
func renderSection(kind, inner string, val any, scope []fields) string {
	present := val != nil && val != false
	if kind == "^" {
		if present {
			return ""
		}
		return render(inner, scope...)
	}
	list, isList := val.([]string)
	if !isList {
		if !present {
			return ""
		}
		return render(inner, scope...)
	}
	var out strings.Builder
	for ix, entry := range list {
		comma := ","
		if ix == len(list)-1 {
			comma = ""
		}
		out.WriteString(render(inner, append([]fields{{".": entry, ",": comma, "@": ix}}, scope...)...))
	}
	return out.String()
}

// lookup finds a dotted name in the innermost scope that has it.
func lookup(name string, scope []fields) any {
	for _, sc := range scope {
		if val, ok := sc[name]; ok {
			return val
		}
		head, tail, nested := strings.Cut(name, ".")
		if inner, ok := sc[head].(fields); ok && nested {
			return lookup(tail, []fields{inner})
		}
	}
	return nil
}

func valueText(val any) string {
	switch val := val.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(val, ",")
	case fields:
		text, err := json.Marshal(val)
		if err != nil {
			return ""
		}
		return string(text)
	default:
		return fmt.Sprint(val)
	}
}
