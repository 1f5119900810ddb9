package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/core"
	"gooseberrylane.example/plugins/frontend/api"
)

// TestAgainstVM guards against incompatibilities between the tool, the front ends and the report plug-in. It runs every
// command that calls a VM against a real one.
func TestAgainstVM(t *testing.T) {
	c := qt.New(t)
	vm := startVM(c)
	unreachable := freeAddresses(c, 1)[0]
	keyFile := filepath.Join(c.TempDir(), "key")
	c.Assert(os.WriteFile(keyFile, []byte(testKey+"\n"), 0o600), qt.IsNil)
	operators := []string{"-operators", "vm-1=" + vm.operator, "-key-file", keyFile}
	mustRun := func(want int, args ...string) (string, string) {
		status, out, errs := run(args...)
		c.Assert(status, qt.Equals, want, qt.Commentf("%v\n%s\n%s", args, out, errs))
		return out, errs
	}
	withFlags := func(flags []string, args ...string) []string { return append(args, flags...) }

	out, _ := mustRun(ExitOK, "query", "-callers", vm.caller, "-explain", "harvest-logs")
	c.Check(out, qt.Contains, "ok, snapshot 1, revision")
	c.Check(out, qt.Contains, "30 of 30 shards")
	_, errs := mustRun(ExitOK, "query", "-callers", "gone="+unreachable+","+vm.caller, "-shards", "shard-03", "harvest-logs")
	c.Check(errs, qt.Contains, "did not answer: gone (connect_failed")
	_, errs = mustRun(ExitBadInput, "query", "-callers", vm.caller, "-o", "json", "nothing")
	c.Check(errs, qt.Contains, `"name":"unknown_service"`)
	mustRun(ExitNotRun, "query", "-callers", unreachable, "-write", "-shards", "shard-03", "harvest-logs")

	out, errs = mustRun(ExitPartial, "status", "-o", "json", "-operators", "vm-1="+vm.operator+",vm-2="+unreachable, "-key-file", keyFile)
	var status fleetStatus
	c.Assert(json.Unmarshal([]byte(out), &status), qt.IsNil)
	c.Check(status.VMs[0].VM, qt.Equals, core.VMName("vm-1"))
	c.Check(status.VMs[0].Upstreams, qt.HasLen, 68)
	c.Check(status.Unanswered[0].Name, qt.Equals, "vm-2")
	c.Check(errs, qt.Contains, "no answer from vm-2")
	mustRun(ExitBadInput, "status", "-operators", vm.operator)

	out, _ = mustRun(ExitOK, withFlags([]string{"upstream-1"}, withFlags(operators, "plan", "drain", "-by", "ada", "-reason", "disk")...)...)
	c.Check(out, qt.Contains, "warning: one replica is left")
	c.Check(out, qt.Contains, "gooseberrylane confirm plan-7")
	_, errs = mustRun(ExitConfiguration, withFlags([]string{"plan-8"}, withFlags(operators, "confirm", "-by", "bob")...)...)
	c.Check(errs, qt.Contains, "plan_not_found (5002)")
	mustRun(ExitOK, withFlags([]string{"plan-7"}, withFlags(operators, "confirm", "-by", "bob")...)...)
	for _, command := range [][]string{{"history"}, {"report", "changes"}} {
		out, _ = mustRun(ExitOK, withFlags(operators, command...)...)
		c.Check(out, qt.Contains, "drain upstream-1")
	}
	_, errs = mustRun(ExitPartial, withFlags(operators, "progress", "-revision", "1")...)
	c.Check(errs, qt.Contains, "no answer from vm-9")
	c.Run("reports", func(c *qt.C) { checkReports(c, vm, unreachable, operators) })
}

// checkReports checks the reports of a VM that has answered two queries and confirmed one change.
func checkReports(c *qt.C, vm testVM, unreachable string, operators []string) {
	dir := c.TempDir()
	archive, plotFile := filepath.Join(dir, "archive"), filepath.Join(dir, "burn.svg")
	status, out, errs := run("report", "burn", "-o", "json", "-metrics", "vm-1="+vm.metrics+",vm-2="+unreachable, "-archive", archive, "-plot", plotFile)
	c.Assert(status, qt.Equals, ExitPartial, qt.Commentf("%s", errs))
	var report burnReport
	c.Assert(json.Unmarshal([]byte(out), &report), qt.IsNil)
	c.Check(report.Unanswered[0].Name, qt.Equals, "vm-2")
	c.Assert(report.Services, qt.HasLen, 1)
	c.Check(report.Services[0].Period.Requests, qt.Equals, uint64(2))
	c.Check(report.Services[0].Period.ShardsCovered, qt.Equals, uint64(31))
	c.Check(report.Services[0].Latencies.Count, qt.Equals, int64(2))
	svg, err := os.ReadFile(plotFile)
	c.Assert(err, qt.IsNil)
	c.Check(string(svg), qt.Contains, "harvest-logs")
	for range 2 {
		// Counts that are already in the archive are not added again.
		status, out, errs = run(append([]string{"report", "month", "-o", "json", "-archive", archive, "-metrics", vm.metrics}, operators...)...)
		c.Assert(status, qt.Equals, ExitOK, qt.Commentf("%s", errs))
		var month burn.MonthReport
		c.Assert(json.Unmarshal([]byte(out), &month), qt.IsNil)
		c.Check(month.Services[0].Counts.Requests, qt.Equals, uint64(2))
		c.Check(month.Changes[0].What, qt.Equals, "drain upstream-1")
		c.Check(month.Changes[0].By, qt.Equals, "bob")
	}
	status, out, _ = run("report", "burn", "-archive", archive)
	c.Check(status, qt.Equals, ExitOK)
	c.Check(out, qt.Contains, "harvest-logs")
}

// TestExitStatusIsCodeFamily guards against exit statuses by which a script cannot distinguish a refused request from one
// that may have run.
func TestExitStatusIsCodeFamily(t *testing.T) {
	c := qt.New(t)
	want := map[core.Code]int{
		core.CodePartial: ExitPartial, core.CodeUnknownService: ExitBadInput, core.CodeOverloaded: ExitNotRun,
		core.CodeInProgress: ExitUnknown, core.CodeBaseMoved: ExitConfiguration, core.CodeInternal: ExitInternal,
	}
	for code, exit := range want {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(api.ErrorBody{Code: code, Problems: []core.Problem{{Path: "a.b", Detail: "wrong"}}})
		}))
		status, _, errs := run("query", "-callers", strings.TrimPrefix(server.URL, "http://"), "s")
		c.Check(status, qt.Equals, exit, qt.Commentf("%s", code))
		c.Check(errs, qt.Contains, "a.b: wrong")
		server.Close()
	}
	for _, info := range core.Codes() {
		c.Check(exitStatus(info.Code) <= ExitInternal, qt.IsTrue, qt.Commentf("%s", info.Name))
	}
}

// TestLostAnswer guards against reporting a request as not run when it was sent and its answer was lost.
func TestLostAnswer(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	c.Cleanup(server.Close)
	lost, unreachable := strings.TrimPrefix(server.URL, "http://"), freeAddresses(c, 1)[0]
	status, _, errs := run("confirm", "-operators", lost+","+unreachable, "-by", "ada", "plan-1")
	c.Check(status, qt.Equals, ExitConfiguration)
	c.Check(errs, qt.Contains, "not_known_yet")
	c.Check(errs, qt.Contains, "did not answer: "+unreachable)
	calls.Store(0)
	status, _, errs = run("query", "-callers", lost+","+lost, "-write", "-id", "order-1", "-shards", "a", "s")
	c.Check(status, qt.Equals, ExitUnknown)
	c.Check(errs, qt.Contains, "outcome_unknown")
	c.Check(calls.Load(), qt.Equals, int64(1), qt.Commentf("a request that may have run is not sent to another VM"))
	status, _, _ = run("confirm", "-operators", unreachable, "-by", "ada", "plan-1")
	c.Check(status, qt.Equals, ExitNotRun)
}

// TestBadCommandLines guards against invalid command lines that exit with status 0.
func TestBadCommandLines(t *testing.T) {
	c := qt.New(t)
	for _, line := range []string{
		"nothing", "query", "query -callers x:1", "query -callers nocolon s", "query s", "plan", "plan -operators 127.0.0.1:1 /nowhere",
		"status -operators 127.0.0.1:1 extra", "status", "history -limit x", "report burn", "report burn -metrics 127.0.0.1:1 -plot x.gif",
		"report burn -archive x -indicator speed", "report month -month 2026-13", "settings check", "settings nothing", "codes -o yaml",
	} {
		status, _, _ := run(strings.Fields(line)...)
		c.Check(status, qt.Equals, ExitBadInput, qt.Commentf("%s", line))
	}
	for _, line := range []string{"", "-h", "plan -h", "report", "codes"} {
		status, _, _ := run(strings.Fields(line)...)
		c.Check(status, qt.Equals, ExitOK, qt.Commentf("%s", line))
	}
}

// TestSettingsCheckListsAllProblems guards against a check that stops at the first problem, so that an operator needs one
// run for each.
func TestSettingsCheckListsAllProblems(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, []byte(`{
		"vm": {"name": "", "failure_domain": "fd 1", "colour": "red"}, "log_level": "loud", "seed": "x",
		"plugins": {
			"engine": [{"name": "standard", "settings": {"margin_ms": -1, "record_timeout_ms": "long", "marginms": 3}}],
			"hedging": [{"name": "no-such-plugin"}], "no_such_kind": [{"name": "none"}],
			"report": [{"name": "burn", "settings": {"services": [{"service": "s", "targets": {"latency_ms": 0, "latency": 2, "coverage": 0.5, "completed": 0.5}}]}}]
		}}`), 0o600), qt.IsNil)
	status, _, errs := run("settings", "check", "-o", "json", path)
	c.Check(status, qt.Equals, ExitBadSettings)
	var body api.ErrorBody
	c.Assert(json.Unmarshal([]byte(errs), &body), qt.IsNil)
	c.Check(body.Code, qt.Equals, core.CodeBadSettings)
	var paths []string
	for _, p := range body.Problems {
		paths = append(paths, p.Path)
	}
	c.Check(paths, qt.ContentEquals, []string{
		"vm.colour", "vm.name", "vm.failure_domain", "log_level", "seed",
		"plugins.engine[0].settings.margin_ms", "plugins.engine[0].settings.record_timeout_ms", "plugins.engine[0].settings.marginms",
		"plugins.hedging[0].name", "plugins.no_such_kind[0]",
		"plugins.report[0].settings.services[0].targets.latency_ms", "plugins.report[0].settings.services[0].targets.latency",
	})
}

// TestSettingsCheckFindsMissingAndDuplicateKinds guards against settings that pass the check but prevent a daemon from
// starting.
func TestSettingsCheckFindsMissingAndDuplicateKinds(t *testing.T) {
	c := qt.New(t)
	const rest = `"selection": [{"name": "random"}], "hedging": [{"name": "none"}], "retry": [{"name": "none"}],
		"admission": [{"name": "open"}], "records": [{"name": "none"}], "dispatch": [{"name": "owner"}], "executor": [{"name": "slots"}],
		"transport": [{"name": "http"}], "peer": [{"name": "websocket", "settings": {"listen": "127.0.0.1:1"}}],
		"configuration": [{"name": "static", "settings": {"services": []}}], "front_end": [{"name": "http", "settings": {"listen": "127.0.0.1:2"}}]`
	check := func(plugins string) (int, string) {
		path := filepath.Join(c.TempDir(), "settings.json")
		raw := `{"vm": {"name": "vm-1", "failure_domain": "fd-1"}, "plugins": {` + rest + plugins + `}}`
		c.Assert(os.WriteFile(path, []byte(raw), 0o600), qt.IsNil)
		status, _, errs := run("settings", "check", path)
		return status, errs
	}
	status, errs := check(`, "engine": [{"name": "standard"}], "membership": [{"name": "static"}]`)
	c.Check(status, qt.Equals, ExitOK, qt.Commentf("%s", errs))
	status, errs = check(`, "engine": [{"name": "standard"}]`)
	c.Check(status, qt.Equals, ExitBadSettings)
	c.Check(errs, qt.Contains, "plugins: missing type: kinds.Membership")
	status, errs = check(`, "engine": [{"name": "standard"}, {"name": "standard"}], "membership": [{"name": "static"}]`)
	c.Check(status, qt.Equals, ExitBadSettings)
	c.Check(errs, qt.Contains, "already provided")
}

// TestKeyIsSentToOperatorListenersOnly guards against sending the operator key to metrics listeners, which require
// no key.
func TestKeyIsSentToOperatorListenersOnly(t *testing.T) {
	c := qt.New(t)
	listener := func(answer string, keys *[]string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			*keys = append(*keys, r.Header.Get("Authorization"))
			_, _ = w.Write([]byte(answer))
		}))
		c.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	keyFile := filepath.Join(c.TempDir(), "key")
	c.Assert(os.WriteFile(keyFile, []byte(testKey), 0o600), qt.IsNil)
	var metricsKeys, operatorKeys []string
	status, _, errs := run("report", "month", "-key-file", keyFile, "-metrics", listener(`{}`, &metricsKeys), "-operators", listener(`{"changes": []}`, &operatorKeys))
	c.Assert(status, qt.Equals, ExitOK, qt.Commentf("%s", errs))
	c.Check(metricsKeys, qt.DeepEquals, []string{""})
	c.Check(operatorKeys, qt.DeepEquals, []string{"Bearer " + testKey, "Bearer " + testKey})
}
