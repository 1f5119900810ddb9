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

// decodeChecked decodes JSON into settings and checks the validate tags. It reports every unknown field, every value of the
// wrong type and every violated rule, each with its path. A field of the wrong type is not checked further.
func decodeChecked(raw []byte, settings any, path string) []Problem {
	if err := json.Unmarshal(raw, new(any)); err != nil {
		return []Problem{{Path: path, Detail: syntaxErrorText(err)}}
	}
	problems := typeProblems(raw, reflect.TypeOf(settings), path)
	// Values of the wrong type are already reported; the others are decoded nevertheless.
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

// syntaxErrorText describes input that is not a single JSON value.
func syntaxErrorText(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("%v at byte %d", err, syntax.Offset)
	}
	return err.Error()
}

var rawMessageType = reflect.TypeOf(json.RawMessage(nil))

// typeProblems compares a JSON value with a Go type recursively. It reports unknown keys and values of the wrong type.
func typeProblems(raw []byte, t reflect.Type, path string) []Problem {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == rawMessageType || string(bytes.TrimSpace(raw)) == "null" {
		return nil
	}
	switch t.Kind() {
	case reflect.Struct:
		return structProblems(raw, t, path)
	case reflect.Map:
		return mapProblems(raw, t, path)
	case reflect.Slice:
		return sliceProblems(raw, t, path)
	default:
		return typeMismatch(raw, t, path)
	}
}

// typeMismatch reports a value that cannot be decoded into a type.
func typeMismatch(raw []byte, t reflect.Type, path string) []Problem {
	var typeError *json.UnmarshalTypeError
	err := json.Unmarshal(raw, reflect.New(t).Interface())
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeError):
		return []Problem{{Path: path, Detail: fmt.Sprintf("want %s, got %s", jsonTypeName(t), typeError.Value)}}
	default:
		return []Problem{{Path: path, Detail: err.Error()}}
	}
}

// jsonTypeName returns the name of a type as shown to users of the JSON settings.
func jsonTypeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "object"
	case reflect.Slice:
		return "list"
	default:
		return t.Kind().String()
	}
}

func structProblems(raw []byte, t reflect.Type, path string) []Problem {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return typeMismatch(raw, t, path)
	}
	known := jsonFields(t)
	var problems []Problem
	for _, key := range sortedKeys(object) {
		field, ok := known[key]
		if !ok {
			problems = append(problems, Problem{Path: joinPath(path, key), Detail: "unknown field"})
			continue
		}
		problems = append(problems, typeProblems(object[key], field, joinPath(path, key))...)
	}
	return problems
}

func mapProblems(raw []byte, t reflect.Type, path string) []Problem {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return typeMismatch(raw, t, path)
	}
	var problems []Problem
	for _, key := range sortedKeys(object) {
		problems = append(problems, typeProblems(object[key], t.Elem(), joinPath(path, key))...)
	}
	return problems
}

func sliceProblems(raw []byte, t reflect.Type, path string) []Problem {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return typeMismatch(raw, t, path)
	}
	var problems []Problem
	for i, element := range list {
		problems = append(problems, typeProblems(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
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

// mapKey matches a map key in a validator path, where it is written like an index.
var mapKey = regexp.MustCompile(`\[([^\]0-9][^\]]*)\]`)

// validateFields checks the validate tags of a struct and reports every violated rule.
func validateFields(settings any, path string) []Problem {
	err := fieldValidator.Struct(settings)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return nil
	}
	problems := make([]Problem, 0, len(violations))
	for _, field := range violations {
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
