package kernel

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
)

// decodeChecked decodes JSON into settings and checks the validate tags. It reports every unknown field, every value of a
// wrong type and every broken rule, each with its path; a field of a wrong type is not checked further.
func decodeChecked(raw []byte, settings any, path string) []Problem {
	if err := json.Unmarshal(raw, new(any)); err != nil {
		return []Problem{{Path: path, Detail: syntaxText(err)}}
	}
	problems := misfits(raw, reflect.TypeOf(settings), path)
	// The values that do not fit are reported already; the others are decoded in spite of them.
	_ = json.Unmarshal(raw, settings)
	reported := make(map[string]bool, len(problems))
	for _, p := range problems {
		reported[p.Path] = true
	}
	for _, p := range validateFields(settings, path) {
		if !reported[p.Path] {
			problems = append(problems, p)
		}
	}
	return problems
}

// syntaxText describes text that is not one JSON value.
func syntaxText(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("%v at byte %d", err, syntax.Offset)
	}
	return err.Error()
}

var rawMessageType = reflect.TypeOf(json.RawMessage(nil))

// misfits walks the JSON value next to the Go type. It reports the keys that the type lacks and the values that it cannot
// hold.
func misfits(raw []byte, t reflect.Type, path string) []Problem {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == rawMessageType || string(bytes.TrimSpace(raw)) == "null" {
		return nil
	}
	switch t.Kind() {
	case reflect.Struct:
		return structMisfits(raw, t, path)
	case reflect.Map:
		return mapMisfits(raw, t, path)
	case reflect.Slice:
		return sliceMisfits(raw, t, path)
	default:
		return misfit(raw, t, path)
	}
}

// misfit reports a value that a type cannot hold.
func misfit(raw []byte, t reflect.Type, path string) []Problem {
	var typeError *json.UnmarshalTypeError
	err := json.Unmarshal(raw, reflect.New(t).Interface())
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeError):
		return []Problem{{Path: path, Detail: fmt.Sprintf("want %s, got %s", kindText(t), typeError.Value)}}
	default:
		return []Problem{{Path: path, Detail: err.Error()}}
	}
}

// kindText names what a type holds in terms of JSON.
func kindText(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "object"
	case reflect.Slice:
		return "list"
	default:
		return t.Kind().String()
	}
}

func structMisfits(raw []byte, t reflect.Type, path string) []Problem {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return misfit(raw, t, path)
	}
	known := jsonFields(t)
	var problems []Problem
	for _, key := range sortedKeys(object) {
		field, ok := known[key]
		if !ok {
			problems = append(problems, Problem{Path: joinPath(path, key), Detail: "unknown field"})
			continue
		}
		problems = append(problems, misfits(object[key], field, joinPath(path, key))...)
	}
	return problems
}

func mapMisfits(raw []byte, t reflect.Type, path string) []Problem {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return misfit(raw, t, path)
	}
	var problems []Problem
	for _, key := range sortedKeys(object) {
		problems = append(problems, misfits(object[key], t.Elem(), joinPath(path, key))...)
	}
	return problems
}

func sliceMisfits(raw []byte, t reflect.Type, path string) []Problem {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return misfit(raw, t, path)
	}
	var problems []Problem
	for i, element := range list {
		problems = append(problems, misfits(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return problems
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		field := t.Field(i)
		if !field.IsExported() {
			continue
		}
		if name := jsonName(field); name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

func sortedKeys(object map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	if field == "" {
		return path
	}
	return path + "." + field
}

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// mapKey finds the key of a map in a path of the validator, which has the form of an index.
var mapKey = regexp.MustCompile(`\[([^\]0-9][^\]]*)\]`)

// validateFields checks the validate tags of a struct and reports every broken rule.
func validateFields(settings any, path string) []Problem {
	err := fieldValidator.Struct(settings)
	var broken validator.ValidationErrors
	if !errors.As(err, &broken) {
		return nil
	}
	problems := make([]Problem, 0, len(broken))
	for _, field := range broken {
		_, relative, _ := strings.Cut(field.Namespace(), ".")
		relative = mapKey.ReplaceAllString(relative, ".$1")
		rule := field.Tag()
		if field.Param() != "" {
			rule += "=" + field.Param()
		}
		problems = append(problems, Problem{Path: joinPath(path, relative), Detail: fmt.Sprintf("value %v breaks the rule %s", field.Value(), rule)})
	}
	return problems
}
