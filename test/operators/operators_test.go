// Package operators tests the path of an operator from the command line to the VMs, with daemons as processes.
package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/cmd/gooseberrylane/cli"
	"gooseberrylane.example/coord/burn"
	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/test/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }

// metricsPort is the port of the metrics listener that these tests add to each VM.
const metricsPort = "7105"

func metricsAddress(vm *harness.VM) string {
	host, _, _ := net.SplitHostPort(vm.Operator)
	return net.JoinHostPort(host, metricsPort)
}

// withOperatorPlugins adds the plug-ins that the command-line tool uses.
func withOperatorPlugins(vm *harness.VM, settings *deployment.Settings) {
	front := deployment.Plugin{Name: "operator", Settings: map[string]any{"listen": vm.Operator}}
	settings.Plugins["front_end"] = append(settings.Plugins["front_end"], front)
	settings.Set("configuration", "log", nil)
	settings.Set("metrics", "expvar", map[string]any{"listen": metricsAddress(vm)})
	settings.Set("report", "burn", nil)
}

// tool runs the command-line tool against a cluster.
type tool struct {
	c                  *qt.C
	operators, metrics string
}

func newTool(c *qt.C, cl *harness.Cluster) *tool {
	var operators, metrics []string
	for _, vm := range cl.VMs {
		operators = append(operators, vm.Name+"="+vm.Operator)
		metrics = append(metrics, vm.Name+"="+metricsAddress(vm))
	}
	return &tool{c: c, operators: strings.Join(operators, ","), metrics: strings.Join(metrics, ",")}
}

func (t *tool) run(args ...string) (status int, out, errs string) {
	var stdout, stderr bytes.Buffer
	status = cli.Run(context.Background(), args, cli.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return status, stdout.String(), stderr.String()
}

// mustRun runs a command, checks its exit status, decodes its output and returns its error output.
func (t *tool) mustRun(want int, result any, args ...string) string {
	status, out, errs := t.run(args...)
	t.c.Assert(status, qt.Equals, want, qt.Commentf("%v\n%s\n%s", args, out, errs))
	if result != nil {
		t.c.Assert(json.Unmarshal([]byte(out), result), qt.IsNil)
	}
	return errs
}

// plan runs the plan command and returns the plan's ID.
func (t *tool) plan(args ...string) string {
	var plan config.Plan
	full := append([]string{"plan"}, args[:len(args)-1]...)
	full = append(full, "-o", "json", "-operators", t.operators, "-by", "ada", args[len(args)-1])
	t.mustRun(cli.ExitOK, &plan, full...)
	return string(plan.ID)
}

func (t *tool) confirm(want int, id string) (config.Change, string) {
	var change config.Change
	status, out, errs := t.run("confirm", "-o", "json", "-operators", t.operators, "-by", "bob", id)
	t.c.Assert(status, qt.Equals, want, qt.Commentf("%s", errs))
	if want == cli.ExitOK {
		t.c.Assert(json.Unmarshal([]byte(out), &change), qt.IsNil)
	}
	return change, errs
}

// TestOperatorPath guards against a confirmed change that is lost, applied twice or not in force, and against reports
// that omit a failed VM.
func TestOperatorPath(t *testing.T) {
	c := qt.New(t)
	cl := harness.StartWithoutWait(c, "directorate", 3, withOperatorPlugins)
	tool := newTool(c, cl)
	cl.WaitFor("operator listeners", func() bool {
		status, _, _ := tool.run("status", "-operators", tool.operators)
		return status == cli.ExitOK
	})
	putServices(c, cl, tool)
	for _, vm := range cl.VMs {
		// A VM that receives the revision from a peer may still be opening its links to the owners.
		cl.WaitFor("complete answer at "+vm.Name, func() bool {
			status, _, _ := tool.run("query", "-callers", vm.Caller, "harvest-logs")
			return status == cli.ExitOK
		})
	}
	upstream := string(cl.Deployment.Upstreams[0].ID)
	drain, outdated := tool.plan("drain", upstream), tool.plan("delete-service", "dealer-book")
	change, _ := tool.confirm(cli.ExitOK, drain)
	again, _ := tool.confirm(cli.ExitOK, drain)
	c.Check(again, qt.DeepEquals, change)
	_, errs := tool.confirm(cli.ExitConfiguration, outdated)
	c.Check(errs, qt.Contains, `"name":"base_moved"`)
	awaitInForce(cl, tool)
	var history struct{ Changes []config.Change }
	tool.mustRun(cli.ExitOK, &history, "history", "-o", "json", "-operators", tool.operators)
	c.Assert(history.Changes, qt.HasLen, 2)
	c.Check(history.Changes[1].Plan, qt.Equals, config.PlanID(drain))
	checkLostVM(c, cl, tool)
}

// putServices confirms the services of the deployment from a file.
func putServices(c *qt.C, cl *harness.Cluster, tool *tool) {
	raw, err := json.Marshal(cl.Deployment.Intent("ada"))
	c.Assert(err, qt.IsNil)
	path := filepath.Join(c.TempDir(), "services.json")
	c.Assert(os.WriteFile(path, raw, 0o600), qt.IsNil)
	change, _ := tool.confirm(cli.ExitOK, tool.plan(path))
	c.Check(change.Revision, qt.Equals, core.Revision(1))
	awaitInForce(cl, tool)
}

func awaitInForce(cl *harness.Cluster, tool *tool) {
	cl.WaitFor("change in force", func() bool {
		status, _, _ := tool.run("progress", "-operators", tool.operators)
		return status == cli.ExitOK
	})
}

// checkLostVM kills a VM and checks that the reports name it and keep its records.
func checkLostVM(c *qt.C, cl *harness.Cluster, tool *tool) {
	type report struct {
		Services   []burn.ServiceReport
		Unanswered []struct{ Name string }
	}
	archive := filepath.Join(c.TempDir(), "archive")
	var before, after report
	burnArgs := []string{"report", "burn", "-o", "json", "-metrics", tool.metrics, "-archive", archive}
	tool.mustRun(cli.ExitOK, &before, burnArgs...)
	c.Check(before.Services[0].Period.Completed >= 3, qt.IsTrue)
	killed := cl.VMs[2]
	c.Assert(killed.Signal(syscall.SIGKILL), qt.IsNil)
	killed.WaitExit()
	errs := tool.mustRun(cli.ExitPartial, &after, burnArgs...)
	c.Check(errs, qt.Contains, "no answer from vm-3")
	c.Check(after.Unanswered[0].Name, qt.Equals, "vm-3")
	c.Check(after.Services[0].Period, qt.Equals, before.Services[0].Period)
	errs = tool.mustRun(cli.ExitPartial, nil, "status", "-operators", tool.operators)
	c.Check(errs, qt.Contains, "no answer from vm-3")
	errs = tool.mustRun(cli.ExitPartial, nil, "progress", "-operators", tool.operators)
	c.Check(errs, qt.Contains, "no answer from vm-3")
	var month burn.MonthReport
	tool.mustRun(cli.ExitPartial, &month, "report", "month", "-o", "json", "-metrics", tool.metrics, "-operators", tool.operators, "-archive", archive)
	c.Check(month.Changes, qt.HasLen, 2)
	c.Check(month.Changes[1].What, qt.Equals, "drain "+string(cl.Deployment.Upstreams[0].ID))
}
