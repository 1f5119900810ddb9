package kernel

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"

	"gooseberrylane.example/core"
)

// Problem is one fault of the settings, with the path of the field.
type Problem = core.Problem

// Settings are the settings of one daemon.
type Settings struct {
	VM VMSettings `json:"vm"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
	// Seed seeds the random source; 0 takes a seed from the operating system. Default 0.
	Seed uint64 `json:"seed"`
	// StopTimeoutMS bounds a graceful stop, in milliseconds. Default 30000.
	StopTimeoutMS int64 `json:"stop_timeout_ms" validate:"gte=1,lte=600000"`
	// Plugins names the plug-ins of each kind with their settings.
	Plugins map[Kind][]PluginChoice `json:"plugins" validate:"required"`
}

// VMSettings tell a process who and where it is.
type VMSettings struct {
	// Name is the unique name of the VM. Required.
	Name string `json:"name" validate:"required,max=64,hostname_rfc1123"`
	// FailureDomain is the failure domain of the VM. Required.
	FailureDomain string `json:"failure_domain" validate:"required,max=64,hostname_rfc1123"`
}

// PluginChoice names one plug-in and its settings.
type PluginChoice struct {
	Name     string          `json:"name"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// Default stop timeout in milliseconds.
const defaultStopTimeoutMS = 30_000

// Selected is a plug-in with its decoded settings.
type Selected struct {
	Plugin   Plugin
	Settings any
}

// Loaded is a checked set of settings.
type Loaded struct {
	Settings Settings
	Selected []Selected
}

// Load decodes and checks settings against a registry. The error is a *core.Error with CodeBadSettings that lists all
// problems at once.
func Load(registry *Registry, raw []byte) (*Loaded, error) {
	loaded := &Loaded{Settings: Settings{LogLevel: "info", StopTimeoutMS: defaultStopTimeoutMS}}
	problems := decodeStrict(raw, &loaded.Settings, "")
	if len(problems) == 0 {
		problems = validateFields(&loaded.Settings, "")
	}
	for _, kind := range sortedKinds(loaded.Settings.Plugins) {
		for i, choice := range loaded.Settings.Plugins[kind] {
			path := fmt.Sprintf("plugins.%s[%d]", kind, i)
			selected, found := selectPlugin(registry, kind, choice, path)
			problems = append(problems, found...)
			if len(found) == 0 {
				loaded.Selected = append(loaded.Selected, selected)
			}
		}
	}
	if len(problems) > 0 {
		return nil, &core.Error{Code: core.CodeBadSettings, Detail: "the settings were refused", Problems: problems}
	}
	return loaded, nil
}

func sortedKinds(plugins map[Kind][]PluginChoice) []Kind {
	kinds := make([]Kind, 0, len(plugins))
	for kind := range plugins {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	return kinds
}

func selectPlugin(registry *Registry, kind Kind, choice PluginChoice, path string) (Selected, []Problem) {
	plugin, ok := registry.Find(kind, choice.Name)
	if !ok {
		known := strings.Join(registry.Names(kind), ", ")
		if known == "" {
			return Selected{}, []Problem{{Path: path, Detail: fmt.Sprintf("unknown kind of plug-in %q", kind)}}
		}
		return Selected{}, []Problem{{Path: path + ".name", Detail: fmt.Sprintf("unknown plug-in %q; linked are: %s", choice.Name, known)}}
	}
	settingsPath := path + ".settings"
	if plugin.Settings == nil {
		if len(choice.Settings) > 0 {
			return Selected{}, []Problem{{Path: settingsPath, Detail: "the plug-in has no settings"}}
		}
		return Selected{Plugin: plugin}, nil
	}
	settings := plugin.Settings()
	if len(choice.Settings) > 0 {
		if problems := decodeStrict(choice.Settings, settings, settingsPath); len(problems) > 0 {
			return Selected{}, problems
		}
	}
	problems := validateFields(settings, settingsPath)
	if checker, ok := settings.(Checker); ok {
		for _, p := range checker.Check() {
			problems = append(problems, Problem{Path: joinPath(settingsPath, p.Path), Detail: p.Detail})
		}
	}
	return Selected{Plugin: plugin, Settings: settings}, problems
}

// decodeStrict decodes JSON into target. It reports every unknown field with its path, and the first field of a wrong
// type.
func decodeStrict(raw []byte, target any, path string) []Problem {
	problems := unknownFields(raw, reflect.TypeOf(target), path)
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(target); err != nil {
		problems = append(problems, decodeProblem(err, path))
	} else if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		problems = append(problems, Problem{Path: path, Detail: "text after the end of the JSON value"})
	}
	return problems
}

func decodeProblem(err error, path string) Problem {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return Problem{Path: joinPath(path, typeError.Field), Detail: fmt.Sprintf("want %s, got %s", typeError.Type, typeError.Value)}
	}
	return Problem{Path: path, Detail: err.Error()}
}

var rawMessageType = reflect.TypeOf(json.RawMessage(nil))

// unknownFields walks the JSON value next to the Go type and reports the keys that the type lacks.
func unknownFields(raw []byte, t reflect.Type, path string) []Problem {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == rawMessageType {
		return nil
	}
	switch t.Kind() {
	case reflect.Struct:
		return unknownStructFields(raw, t, path)
	case reflect.Map:
		return unknownMapFields(raw, t, path)
	case reflect.Slice:
		return unknownSliceFields(raw, t, path)
	default:
		return nil
	}
}

func unknownStructFields(raw []byte, t reflect.Type, path string) []Problem {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return nil
	}
	known := jsonFields(t)
	var problems []Problem
	for _, key := range sortedKeys(object) {
		field, ok := known[key]
		if !ok {
			problems = append(problems, Problem{Path: joinPath(path, key), Detail: "unknown field"})
			continue
		}
		problems = append(problems, unknownFields(object[key], field, joinPath(path, key))...)
	}
	return problems
}

func unknownMapFields(raw []byte, t reflect.Type, path string) []Problem {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return nil
	}
	var problems []Problem
	for _, key := range sortedKeys(object) {
		problems = append(problems, unknownFields(object[key], t.Elem(), joinPath(path, key))...)
	}
	return problems
}

func unknownSliceFields(raw []byte, t reflect.Type, path string) []Problem {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return nil
	}
	var problems []Problem
	for i, element := range list {
		problems = append(problems, unknownFields(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
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
		rule := field.Tag()
		if field.Param() != "" {
			rule += "=" + field.Param()
		}
		problems = append(problems, Problem{Path: joinPath(path, relative), Detail: fmt.Sprintf("value %v breaks the rule %s", field.Value(), rule)})
	}
	return problems
}
