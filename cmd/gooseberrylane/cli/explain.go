package cli

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"gooseberrylane.example/core"
)

const (
	// defaultAround is how far before and after a request other log lines of its VMs are included.
	defaultAround = 3 * time.Second
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// commonFields are the fields of every log line. They are not repeated under "fields" in the output.
var commonFields = []string{"time", "level", "msg", "vm", "incarnation", "request"}

// logLine is one line of a daemon's log.
type logLine struct {
	At      time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Event   string         `json:"msg"`
	Request string         `json:"request,omitempty"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// explanation is the JSON output of the command explain.
type explanation struct {
	Request string `json:"request"`
	// Lines carry the ID of the request. Around are lines without a request ID from the same VMs at about the same time.
	Lines  []logLine `json:"lines"`
	Around []logLine `json:"around"`
	// Unreadable counts lines that are not log lines.
	Unreadable int `json:"unreadable"`
}

func (a *app) explainCommand() *ffcli.Command {
	flags := a.flagSet("explain")
	around := flags.Duration("around", defaultAround, "show other lines of the VMs involved within this `time` of the request")
	return a.command("explain", "gooseberrylane explain [flags] ID FILE...", "show the log lines of a request from the logs of several VMs", 0, flags,
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return core.Errorf(core.CodeBadRequest, "want ID FILE...")
			}
			return a.explain(args[0], args[1:], *around)
		})
}

func (a *app) explain(id string, paths []string, around time.Duration) error {
	var lines []logLine
	e := explanation{Request: id}
	for _, path := range paths {
		raw, err := a.readFile(path)
		if err != nil {
			return err
		}
		found, unreadable, err := readLog(bytes.NewReader(raw))
		if err != nil {
			return core.Errorf(core.CodeBadRequest, "%s: %v", path, err)
		}
		lines = append(lines, found...)
		e.Unreadable += unreadable
	}
	e.split(lines, around)
	if len(e.Lines) == 0 {
		return core.Errorf(core.CodeNotFound, "no log line of request %s", id)
	}
	return a.print(e, func(t *table) {
		t.row("TIME", "VM", "EVENT", "FIELDS")
		for _, l := range e.Lines {
			t.row(l.At.Format("15:04:05.000000"), l.VM, l.Event, l.text())
		}
		if len(e.Around) > 0 {
			t.line("around it:")
		}
		for _, l := range e.Around {
			t.row(l.At.Format("15:04:05.000000"), l.VM, l.Event, l.text())
		}
	})
}

// readLog reads JSON lines. Text before the JSON object of a line, such as the prefix of a log collector, is skipped.
func readLog(r io.Reader) (lines []logLine, unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			unreadable++
			continue
		}
		var l logLine
		if err := json.Unmarshal(text[start:], &l); err != nil || l.Event == "" {
			unreadable++
			continue
		}
		if err := json.Unmarshal(text[start:], &l.Fields); err != nil {
			unreadable++
			continue
		}
		for _, name := range commonFields {
			delete(l.Fields, name)
		}
		lines = append(lines, l)
	}
	return lines, unreadable, scanner.Err()
}

// split assigns the lines to Lines and Around, in the order of their times.
func (e *explanation) split(lines []logLine, around time.Duration) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	vms := make(map[string]bool)
	for _, l := range lines {
		if l.Request == e.Request {
			e.Lines = append(e.Lines, l)
			vms[l.VM] = true
		}
	}
	if len(e.Lines) == 0 {
		return
	}
	from, to := e.Lines[0].At.Add(-around), e.Lines[len(e.Lines)-1].At.Add(around)
	for _, l := range lines {
		if l.Request == "" && vms[l.VM] && !l.At.Before(from) && !l.At.After(to) {
			e.Around = append(e.Around, l)
		}
	}
}

// text returns the fields as name=value in a fixed order.
func (l *logLine) text() string {
	var parts []string
	for name, value := range l.Fields {
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.SortFunc(parts, cmp.Compare[string])
	return strings.Join(parts, " ")
}
