package operator

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/plugins/frontend/api"
)

const testKey = "0123456789abcdef"

// fakeOperations keeps plans in memory and returns the errors that a test sets.
type fakeOperations struct {
	plans   map[config.PlanID]config.Plan
	changes []config.Change
	err     error
}

// testSet is the configuration that the fake plans against.
func testSet() *core.ConfigSet {
	rule := core.Rule{DefaultDeadlineMS: 100, MaxDeadlineMS: 1000, VersionRule: core.VersionNewest}
	group := core.Group{Name: "g", Upstreams: []core.Upstream{{ID: "u-1", Address: "127.0.0.1:1", Domain: "fd-1", Slots: 1, Connections: 2}}}
	layout := core.Layout{FirstVersion: 1, Shards: []core.Shard{{Name: "a", Group: "g"}}}
	service := &core.Service{Name: "s", Rule: rule, Groups: []core.Group{group}, Layouts: []core.Layout{layout}}
	set := &core.ConfigSet{Revision: 7, Services: map[core.ServiceName]*core.Service{"s": service}}
	return set.Index()
}

func (f *fakeOperations) Plan(_ context.Context, intent config.Intent) (config.Plan, error) {
	plan, err := config.NewPlan("plan-1", testSet(), intent, time.Unix(1000, 0).UTC())
	if err != nil {
		return plan, err
	}
	f.plans[plan.ID] = plan
	return plan, f.err
}

func (f *fakeOperations) GetPlan(_ context.Context, id config.PlanID) (config.Plan, error) {
	plan, ok := f.plans[id]
	if !ok {
		return plan, core.Errorf(core.CodePlanNotFound, "plan %q", id)
	}
	return plan, f.err
}

func (f *fakeOperations) Confirm(_ context.Context, id config.PlanID, operator string) (config.Change, error) {
	if f.err != nil {
		return config.Change{}, f.err
	}
	change := config.Change{Revision: core.Revision(len(f.changes) + 1), Plan: id, ConfirmedBy: operator}
	f.changes = append(f.changes, change)
	return change, nil
}

func (f *fakeOperations) History(_ context.Context, after core.Revision, limit int) ([]config.Change, error) {
	rest := f.changes[min(int(after), len(f.changes)):]
	return rest[:min(limit, len(rest))], f.err
}

func (f *fakeOperations) Progress(_ context.Context, revision core.Revision) (config.Progress, error) {
	return config.Progress{Revision: revision, InForce: []core.VMName{"vm-1"}, Unreachable: []core.VMName{"vm-2"}}, f.err
}

type stoppedClock struct{ now time.Time }

func (s stoppedClock) Now() time.Time { return s.now }

func newTest(key string) (*frontEnd, *fakeOperations) {
	operations := &fakeOperations{plans: map[config.PlanID]config.Plan{}}
	p := params{
		State: kernel.NewState(), Identity: kernel.Identity{VM: "vm-1", Domain: "fd-1", Incarnation: 5},
		Clock: stoppedClock{time.Unix(1000, 0)}, Log: slog.New(slog.DiscardHandler), Operations: operations,
	}
	f := newFrontEnd(discardLifecycle{}, p, &Settings{Key: key, MaxBodyBytes: 4096, MaxConnections: 1})
	return f, operations
}

// call sends a request and decodes the answer into target.
func call(c *qt.C, f *frontEnd, method, path, key, body string, target any) int {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	raw, err := io.ReadAll(recorder.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(raw, target), qt.IsNil, qt.Commentf("%s", raw))
	return recorder.Code
}

// TestEveryPathRequiresTheKey guards against a path, known or unknown, that answers without the operator key.
func TestEveryPathRequiresTheKey(t *testing.T) {
	c := qt.New(t)
	f, _ := newTest(testKey)
	paths := [][2]string{
		{"POST", "/v1/plans"},
		{"GET", "/v1/plans/x"},
		{"POST", "/v1/plans/x/confirm"},
		{"GET", "/v1/history"},
		{"GET", "/v1/progress"},
		{"GET", "/v1/status"},
		{"GET", "/nothing"},
		{"DELETE", "/v1/plans"},
	}
	for _, path := range paths {
		for _, key := range []string{"", "wrong", testKey + "x", testKey[:15]} {
			var body api.ErrorBody
			status := call(c, f, path[0], path[1], key, "{}", &body)
			c.Check(status, qt.Equals, http.StatusUnauthorized, qt.Commentf("%v key %q", path, key))
			c.Check(body.Code, qt.Equals, core.CodeUnauthorized)
		}
	}
	var status api.Status
	c.Check(call(c, f, "GET", "/v1/status", testKey, "", &status), qt.Equals, http.StatusOK)
	open, _ := newTest("")
	c.Check(call(c, open, "GET", "/v1/status", "", "", &status), qt.Equals, http.StatusOK)
}

// TestPlanConfirmHistory guards against a change whose plan, operator or position in the history is lost.
func TestPlanConfirmHistory(t *testing.T) {
	c := qt.New(t)
	f, _ := newTest("")
	intent := `{"operator":"ada","reason":"disk","operations":[{"set_draining":{"upstream":"u-1","draining":true}}]}`
	var plan, stored config.Plan
	c.Assert(call(c, f, "POST", "/v1/plans", "", intent, &plan), qt.Equals, http.StatusCreated)
	c.Assert(call(c, f, "GET", "/v1/plans/"+string(plan.ID), "", "", &stored), qt.Equals, http.StatusOK)
	c.Check(stored, qt.DeepEquals, plan)
	c.Check(stored.Intent.Operations[0].SetDraining.Upstream, qt.Equals, core.UpstreamID("u-1"))
	var change config.Change
	for range 2 {
		c.Assert(call(c, f, "POST", "/v1/plans/plan-1/confirm", "", `{"operator":"bob"}`, &change), qt.Equals, http.StatusOK)
	}
	c.Check(change.ConfirmedBy, qt.Equals, "bob")
	var first, rest api.History
	c.Assert(call(c, f, "GET", "/v1/history?limit=1", "", "", &first), qt.Equals, http.StatusOK)
	c.Assert(call(c, f, "GET", "/v1/history?after=1", "", "", &rest), qt.Equals, http.StatusOK)
	c.Check(first.Next, qt.Equals, core.Revision(1))
	c.Check(first.Changes[0].Revision, qt.Equals, core.Revision(1))
	c.Check(rest.Next, qt.Equals, core.Revision(0))
	c.Check(rest.Changes, qt.HasLen, 1)
	var progress config.Progress
	c.Assert(call(c, f, "GET", "/v1/progress?revision=2", "", "", &progress), qt.Equals, http.StatusOK)
	c.Check(progress.Unreachable, qt.DeepEquals, []core.VMName{"vm-2"})
}

// TestBadRequestsListAllProblems guards against an answer that reports only the first problem of a request.
func TestBadRequestsListAllProblems(t *testing.T) {
	c := qt.New(t)
	f, _ := newTest("")
	tests := []struct {
		method, path, body string
		code               core.Code
		paths              []string
	}{
		{"POST", "/v1/plans", `{"operator":"","operations":[{},{"delete_service":"a","set_draining":{"upstream":"u","draining":true}}]}`, core.CodeInvalidIntent, []string{"operator", "operations[0]", "operations[1]"}},
		{"POST", "/v1/plans", `{"operator":"a b","operations":[]}`, core.CodeInvalidIntent, []string{"operator", "operations"}},
		{"POST", "/v1/plans", `{"operatr":"x"}`, core.CodeBadRequest, nil},
		{"POST", "/v1/plans", `{} {}`, core.CodeBadRequest, nil},
		{"POST", "/v1/plans", `{"reason":"` + strings.Repeat("x", 5000) + `"}`, core.CodeBodyTooLarge, nil},
		{"POST", "/v1/plans/a%20b/confirm", `{"operator":"ada"}`, core.CodeBadName, nil},
		{"POST", "/v1/plans/plan-1/confirm", `{"operator":""}`, core.CodeBadRequest, []string{"operator"}},
		{"GET", "/v1/plans/none", "", core.CodePlanNotFound, nil},
		{"GET", "/v1/history?after=-1&limit=0&afterr=2", "", core.CodeBadRequest, []string{"after", "limit", "afterr"}},
		{"GET", "/v1/history?limit=1001", "", core.CodeBadRequest, []string{"limit"}},
		{"GET", "/v1/progress?revision=x", "", core.CodeBadRequest, []string{"revision"}},
		{"GET", "/v1/status?upstreams=some", "", core.CodeBadRequest, []string{"upstreams"}},
		{"DELETE", "/v1/plans", "", core.CodeMethodNotAllowed, nil},
		{"GET", "/v2/plans", "", core.CodeNotFound, nil},
	}
	for _, test := range tests {
		comment := qt.Commentf("%s %s", test.method, test.path)
		var body api.ErrorBody
		status := call(c, f, test.method, test.path, "", test.body, &body)
		c.Check(body.Code, qt.Equals, test.code, comment)
		c.Check(body.Meaning, qt.Equals, test.code.Meaning(), comment)
		c.Check(status >= 400, qt.IsTrue, comment)
		var paths []string
		for _, p := range body.Problems {
			paths = append(paths, p.Path)
		}
		c.Check(paths, qt.DeepEquals, test.paths, comment)
	}
}

// TestCodesOfOperationsReachTheOperator guards against an answer that does not distinguish a refused change from one with
// an unknown outcome.
func TestCodesOfOperationsReachTheOperator(t *testing.T) {
	c := qt.New(t)
	f, operations := newTest("")
	want := map[core.Code]int{
		core.CodeBaseMoved: http.StatusConflict, core.CodePlanExpired: http.StatusConflict,
		core.CodeNotKnownYet: http.StatusGatewayTimeout, core.CodePlatformUnavailable: http.StatusServiceUnavailable,
	}
	for code, status := range want {
		operations.err = core.Errorf(code, "")
		var body api.ErrorBody
		c.Check(call(c, f, "POST", "/v1/plans/plan-1/confirm", "", `{"operator":"ada"}`, &body), qt.Equals, status)
		c.Check(body.Code, qt.Equals, code)
	}
	f.Operations = nil
	var body api.ErrorBody
	c.Check(call(c, f, "GET", "/v1/history", "", "", &body), qt.Equals, http.StatusNotFound)
}

// TestStatusShowsTheView guards against a status that omits a stale configuration, a suspect member or an upstream without
// new work.
func TestStatusShowsTheView(t *testing.T) {
	c := qt.New(t)
	f, _ := newTest("")
	var body api.Status
	call(c, f, "GET", "/v1/status", "", "", &body)
	c.Check(body.Ready, qt.IsFalse)
	c.Check(body.PlatformAgeMS, qt.IsNil)
	set := &core.ConfigSet{Revision: 9, Services: map[core.ServiceName]*core.Service{"s": {Groups: []core.Group{{
		Upstreams: []core.Upstream{{ID: "u-2"}, {ID: "u-1"}},
	}}}}}
	f.State.SetConfig(set.Index())
	f.State.Update(func(v *core.View) {
		v.Ready, v.Stale, v.LastPlatformContact = true, true, time.Unix(990, 0)
		v.Members = &core.Members{All: []core.VM{{Name: "vm-1"}, {Name: "vm-2", State: core.VMSuspect}}}
		v.Ownership = &core.Ownership{Owner: core.MapOf(map[core.UpstreamID]core.VMName{"u-1": "vm-1", "u-2": "vm-2"}), Held: map[core.UpstreamID]bool{"u-1": true}}
	})
	view := f.State.Load()
	view.State("u-2").EjectedUntil.Store(time.Unix(1001, 0).UnixNano())
	view.State("u-1").DrainSince.Store(1)
	view.State("u-1").Shed.Add(3)
	call(c, f, "GET", "/v1/status", "", "", &body)
	c.Check(body.Stale, qt.IsTrue)
	c.Check(*body.PlatformAgeMS, qt.Equals, int64(10_000))
	c.Check(body.Revision, qt.Equals, core.Revision(9))
	c.Check(body.Members[1].State, qt.Equals, "suspect")
	c.Check(body.Upstreams[0], qt.DeepEquals, api.Upstream{ID: "u-1", Owner: "vm-1", Held: true, Draining: true, Shed: 3})
	c.Check(body.Upstreams[1], qt.DeepEquals, api.Upstream{ID: "u-2", Owner: "vm-2", Ejected: true})
	call(c, f, "GET", "/v1/status?upstreams=held", "", "", &body)
	c.Check(body.Upstreams, qt.HasLen, 1)
}

// FuzzIntent guards against an operator request that panics, or that is stored as another intent than the one checked.
func FuzzIntent(f *testing.F) {
	for _, seed := range []string{
		`{"operator":"ada","operations":[{"delete_service":"s"}]}`, `{"operations":[{}]}`, `[`, `null`, `{"operator":1}`,
		`{"operator":"ada","operations":[{"put_service":{"name":"x","groups":[{"name":"g"}]}}]}`,
	} {
		f.Add(seed)
	}
	front, _ := newTest("")
	f.Fuzz(func(t *testing.T, body string) {
		c := qt.New(t)
		var plan config.Plan
		if call(c, front, "POST", "/v1/plans", "", body, &plan) != http.StatusCreated {
			return
		}
		c.Assert(config.Check(testSet(), plan.Intent), qt.HasLen, 0)
	})
}

// discardLifecycle drops the hooks, because the tests call the router and open no listener.
type discardLifecycle struct{}

func (discardLifecycle) Append(fx.Hook) {}
