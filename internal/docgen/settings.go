package docgen

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"gooseberrylane.example/kernel"
)

const settingsIntro = `
The settings of a daemon are one JSON file: ` + "`gooseberrylaned -settings FILE`" + `. ` + "`gooseberrylane settings check FILE`" + ` lists all
problems at once, each with the path of its field. Unknown fields are refused.

In a path, ` + "`[]`" + ` stands for each element of a list and ` + "`<name>`" + ` for each key of an object. A rule names the check that a value
must pass; ` + "`required`" + ` fields have no default.

`

// settingsPage returns the tables of the settings of the daemon and of all plug-ins of a registry.
func settingsPage(root string, registry *kernel.Registry) (string, error) {
	var b strings.Builder
	b.WriteString("# Settings\n\n" + generatedNote + settingsIntro + "## Daemon\n\n")
	docs := &sources{root: root, comments: map[string]map[string]string{}}
	if err := writeTable(&b, docs, kernel.Defaults()); err != nil {
		return "", err
	}
	for _, kind := range registry.Kinds() {
		for _, name := range registry.Names(kind) {
			plugin, _ := registry.Find(kind, name)
			fmt.Fprintf(&b, "\n## %s: %s\n\n", kind, name)
			if plugin.Settings == nil {
				b.WriteString("No settings.\n")
				continue
			}
			if err := writeTable(&b, docs, plugin.Settings()); err != nil {
				return "", fmt.Errorf("%s %s: %w", kind, name, err)
			}
		}
	}
	return b.String(), nil
}

// field is one row of a table.
type field struct {
	path, typeText, defaultValue, rule, unit, meaning string
	// comment is the whole doc comment.
	comment string
}

func writeTable(b *strings.Builder, docs *sources, settings any) error {
	var fields []field
	value := reflect.Indirect(reflect.ValueOf(settings))
	if err := docs.walk(&fields, "", value.Type(), value); err != nil {
		return err
	}
	if len(fields) == 0 {
		b.WriteString("No settings.\n")
		return nil
	}
	b.WriteString("| field | type | default | rule | unit | meaning |\n|---|---|---|---|---|---|\n")
	for _, f := range fields {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", f.path, f.typeText, orDash(f.defaultValue), orDash(f.rule), orDash(f.unit), orDash(f.meaning))
	}
	return nil
}

func orDash(text string) string {
	if text == "" {
		return "–"
	}
	return strings.ReplaceAll(text, "|", `\|`)
}

// walk appends the fields of a struct and of its nested structs. defaults is invalid within lists and objects, whose
// elements have no defaults.
func (s *sources) walk(fields *[]field, prefix string, t reflect.Type, defaults reflect.Value) error {
	comments, err := s.fieldComments(t)
	if err != nil {
		return err
	}
	for i := range t.NumField() {
		structField := t.Field(i)
		name, _, _ := strings.Cut(structField.Tag.Get("json"), ",")
		if !structField.IsExported() || name == "" || name == "-" {
			continue
		}
		var value reflect.Value
		if defaults.IsValid() {
			value = defaults.Field(i)
		}
		f := describe(prefix+name, name, structField, value, comments[structField.Name])
		*fields = append(*fields, f)
		path, nested, inline := nestedStruct(f.path, structField.Type)
		if nested == nil {
			continue
		}
		if !inline {
			value = reflect.Value{}
		}
		if err := s.walk(fields, path+".", nested, value); err != nil {
			return err
		}
	}
	return nil
}

// nestedStruct returns the path and the type of the struct within a field, or nil if there is none. inline is true when
// the field itself is the struct, not a list, object or pointer.
func nestedStruct(path string, t reflect.Type) (string, reflect.Type, bool) {
	inline := true
	for {
		switch t.Kind() {
		case reflect.Pointer:
			inline = false
		case reflect.Slice:
			inline = false
			path += "[]"
		case reflect.Map:
			inline = false
			path += ".<name>"
		case reflect.Struct:
			return path, t, inline
		default:
			return path, nil, false
		}
		t = t.Elem()
	}
}

func describe(path, name string, f reflect.StructField, value reflect.Value, comment string) field {
	required := strings.Contains(","+f.Tag.Get("validate")+",", ",required,")
	return field{
		path: path, typeText: typeText(f.Type), defaultValue: defaultText(value, required), rule: ruleText(f.Tag.Get("validate")),
		unit: unitOf(name, comment), meaning: meaningOf(f.Name, name, comment), comment: comment,
	}
}

var rawType = reflect.TypeFor[json.RawMessage]()

func typeText(t reflect.Type) string {
	if t == rawType {
		return "JSON"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return typeText(t.Elem())
	case reflect.Slice:
		return "list of " + typeText(t.Elem())
	case reflect.Map:
		return "object of " + typeText(t.Elem())
	case reflect.Struct:
		return "object"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Float32, reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

// defaultText returns the default of a field, or "" where it has none.
func defaultText(value reflect.Value, required bool) string {
	if !value.IsValid() || required {
		return ""
	}
	switch value.Kind() {
	case reflect.Struct, reflect.Pointer:
		return ""
	case reflect.Slice, reflect.Map:
		if value.Len() == 0 {
			return "none"
		}
	case reflect.String:
		if value.Len() == 0 {
			return "empty"
		}
	}
	return fmt.Sprint(value.Interface())
}

// ruleText returns the rules of a validate tag without dive and omitempty, which only control where other rules apply.
func ruleText(tag string) string {
	var rules []string
	for _, rule := range strings.Split(tag, ",") {
		if rule != "" && rule != "dive" && rule != "omitempty" {
			rules = append(rules, "`"+rule+"`")
		}
	}
	return strings.Join(rules, " ")
}

var (
	unitInComment    = regexp.MustCompile(`\bin (milliseconds|microseconds|seconds|bytes|percent)\b`)
	defaultInComment = regexp.MustCompile(`\s*Default [^.]*(\.\d+[^.]*)?\.( |$)`)
	requiredComment  = regexp.MustCompile(`\s*Required\.`)
)

// unitOf returns the unit of a field according to its name or, failing that, its comment.
func unitOf(name, comment string) string {
	suffixes := map[string]string{"_ms": "milliseconds", "_us": "microseconds", "_bytes": "bytes", "_percent": "percent", "_s": "seconds"}
	for suffix, unit := range suffixes {
		if strings.HasSuffix(name, suffix) {
			return unit
		}
	}
	if found := unitInComment.FindStringSubmatch(comment); found != nil {
		return found[1]
	}
	return ""
}

// meaningOf returns a comment without the default and "Required", which have columns of their own, and with the JSON name
// of the field in place of its Go name.
func meaningOf(goName, name, comment string) string {
	comment = defaultInComment.ReplaceAllString(comment, " ")
	comment = requiredComment.ReplaceAllString(comment, "")
	if rest, ok := strings.CutPrefix(comment, goName+" "); ok {
		comment = "`" + name + "` " + rest
	}
	return strings.TrimSpace(comment)
}
