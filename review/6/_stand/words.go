package main

import (
	_ "embed"
	"encoding/json"
	"text/template"
)

// words holds the names of the users' platform, which stand in words.json and settings.toml.tmpl because code outside of platform/ does
// not contain them.
var words = readWords()

type wordList struct {
	SettingsVariable string `json:"settings_variable"`
	Headers          struct {
		AttemptID      string `json:"attempt_id"`
		Deadline       string `json:"deadline"`
		TargetInstance string `json:"target_instance"`
		InstanceID     string `json:"instance_id"`
		Signature      string `json:"signature"`
		NotExecuted    string `json:"not_executed"`
	} `json:"headers"`
	Fields struct {
		Prefix     string `json:"prefix"`
		WarmupLeft string `json:"warmup_left"`
	} `json:"fields"`
}

//go:embed words.json
var wordsFile []byte

//go:embed settings.toml.tmpl
var settingsText string

// settingsTemplate is the settings file of a VM, filled in from settingsValues.
var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// settingsValues are the values in the settings file of one VM. The bounds are those of the small deployments.
type settingsValues struct {
	Name, Host, Zone, PeerPort, Front, Ready, Store                string
	StabilityWindowMS, DrainMS, GraceS, ConfigApplyMS, RetryWindow int64
	RetryRatio                                                     float64
	RetrySlack                                                     int
}

func readWords() wordList {
	var w wordList
	if err := json.Unmarshal(wordsFile, &w); err != nil {
		panic(err)
	}
	return w
}
