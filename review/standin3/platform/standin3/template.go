//go:build standin3

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// scope is a stack of values in which the names of a template are resolved, the innermost last.
type scope struct {
	values []any
	key    string // of the current entry of a section
	last   bool   // whether the current entry is the last one
}

// render fills in a template of the deploy file as DEPLOY.md describes it.
func render(text string, sc scope) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("placeholder %q is not closed", rest)
		}
		text = after
		if strings.HasPrefix(tag, "#") || strings.HasPrefix(tag, "^") {
			name := tag[1:]
			inner, behind, ok := strings.Cut(after, "{{/"+name+"}}")
			if !ok {
				return "", fmt.Errorf("section %q is not closed", name)
			}
			part, err := renderSection(inner, sc, name, tag[0] == '^')
			if err != nil {
				return "", err
			}
			out.WriteString(part)
			text = behind
			continue
		}
		out.WriteString(renderValue(tag, sc))
	}
}

// renderSection renders a section once for each entry, or once.
func renderSection(inner string, sc scope, name string, inverted bool) (string, error) {
	val := sc.find(name)
	present := val != nil && val != false
	if inverted {
		if present {
			return "", nil
		}
		return render(inner, sc)
	}
	switch vals := val.(type) {
	case []any:
		var out strings.Builder
		for ix, entry := range vals {
			part, err := render(inner, scope{values: append(slices.Clone(sc.values), entry), key: fmt.Sprint(ix), last: ix == len(vals)-1})
			if err != nil {
				return "", err
			}
			out.WriteString(part)
		}
		return out.String(), nil
	case map[string]any:
		var out strings.Builder
		keys := slices.Sorted(maps.Keys(vals))
		for ix, key := range keys {
			part, err := render(inner, scope{values: append(slices.Clone(sc.values), vals[key]), key: key, last: ix == len(keys)-1})
			if err != nil {
				return "", err
			}
			out.WriteString(part)
		}
		return out.String(), nil
	default:
		if !present {
			return "", nil
		}
		return render(inner, sc)
	}
}

// renderValue returns the text of one placeholder.
func renderValue(tag string, sc scope) string {
	switch tag {
	case "@":
		return sc.key
	case ",":
		if sc.last {
			return ""
		}
		return ","
	}
	name, asJSON := strings.CutSuffix(tag, "|json")
	val := sc.find(name)
	if asJSON {
		return toJSON(val)
	}
	switch vals := val.(type) {
	case nil:
		return ""
	case []any:
		texts := make([]string, 0, len(vals))
		for _, entry := range vals {
			texts = append(texts, fmt.Sprint(entry))
		}
		return strings.Join(texts, ",")
	case map[string]any:
		return toJSON(vals)
	default:
		return fmt.Sprint(vals)
	}
}

func toJSON(val any) string {
	data, err := json.Marshal(val)
	if err != nil {
		return ""
	}
	return string(data)
}

// find resolves a name such as "a.b" in the innermost value that has its first part; "." is the innermost value itself.
func (sc scope) find(name string) any {
	if name == "." {
		return sc.values[len(sc.values)-1]
	}
	parts := strings.Split(name, ".")
	for _, val := range slices.Backward(sc.values) {
		table, ok := val.(map[string]any)
		if !ok {
			continue
		}
		if _, known := table[parts[0]]; !known {
			continue
		}
		var found any = table
		for _, part := range parts {
			inner, isTable := found.(map[string]any)
			if !isTable {
				return nil
			}
			found = inner[part]
		}
		return found
	}
	return nil
}
