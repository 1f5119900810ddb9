package http

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx/fxtest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/plugins/frontend/api"
)

// echoEngine answers every query and records the last one.
type echoEngine struct{ last *core.Query }

func (e *echoEngine) Run(_ context.Context, q core.Query) core.Answer {
	e.last = &q
	return core.Answer{RequestID: q.RequestID, Covered: []core.ShardResult{{Shard: "a", Data: []byte("1")}}}
}

type noMembership struct{}

func (noMembership) Leave(context.Context) error { return nil }

func newTest(t testing.TB) (*frontEnd, *echoEngine) {
	state := kernel.NewState()
	rule := core.Rule{DefaultDeadlineMS: 100, MaxDeadlineMS: 1000}
	state.SetConfig((&core.ConfigSet{Services: map[core.ServiceName]*core.Service{"s": {Rule: rule}}}).Index())
	state.Update(func(v *core.View) { v.Ready = true })
	engine := &echoEngine{}
	p := params{State: state, Clock: kernel.SystemClock{}, Log: slog.New(slog.DiscardHandler), Engine: engine, Membership: noMembership{}}
	return newFrontEnd(fxtest.NewLifecycle(t), p, &Settings{MaxBodyBytes: 2048, MaxConnections: 1}), engine
}

func (f *frontEnd) post(body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(body)))
	return recorder
}

// TestBadQueriesListAllProblems guards against an answer that reports only the first problem of a request, or no code.
func TestBadQueriesListAllProblems(t *testing.T) {
	c := qt.New(t)
	f, engine := newTest(t)
	tests := []struct {
		body  string
		code  core.Code
		paths []string
	}{
		{`{"service":"","request_id":"a b","caller":"/","timeout_ms":-1}`, core.CodeBadRequest, []string{"service", "request_id", "caller", "idempotent", "timeout_ms"}},
		{`{"service":"s","request_id":"r","idempotent":true,"colour":1}`, core.CodeBadRequest, nil},
		{`{"service":"s","request_id":"r","idempotent":true}x`, core.CodeBadRequest, nil},
		{`{"service":"t","request_id":"r","idempotent":true}`, core.CodeUnknownService, nil},
		{`{"service":"s","request_id":"r","idempotent":true,"timeout_ms":5000}`, core.CodeBadDeadline, nil},
		{`{"service":"s","request_id":"r","idempotent":true,"payload":` + strings.Repeat("[", 500) + strings.Repeat("]", 500) + `}`, core.CodeBadRequest, nil},
		{`{"service":"s","request_id":"r","idempotent":true,"shards":["` + strings.Repeat("x", 129) + `"]}`, core.CodeBadRequest, []string{"shards[0]"}},
		{`{"payload":"` + strings.Repeat("x", 2048) + `"}`, core.CodeBodyTooLarge, nil},
	}
	for _, test := range tests {
		recorder := f.post(test.body)
		var body api.ErrorBody
		c.Assert(json.Unmarshal(recorder.Body.Bytes(), &body), qt.IsNil)
		c.Check(body.Code, qt.Equals, test.code, qt.Commentf("%s", test.body))
		var paths []string
		for _, p := range body.Problems {
			paths = append(paths, p.Path)
		}
		c.Check(paths, qt.DeepEquals, test.paths)
		c.Check(engine.last, qt.IsNil)
	}
}

// FuzzQuery guards against a caller request that panics, or reaches the engine without an ID or with a deadline above the
// limit of the service.
func FuzzQuery(f *testing.F) {
	for _, seed := range []string{
		`{"service":"s","request_id":"r","idempotent":true}`, `{"service":"s","request_id":"r","idempotent":false,"shards":["a"],"payload":{"x":[1]}}`,
		`{"service":"s","request_id":"r","idempotent":true,"timeout_ms":1e3}`, `{"shards":null}`, `[`, `null`,
	} {
		f.Add(seed)
	}
	front, engine := newTest(f)
	f.Fuzz(func(t *testing.T, body string) {
		engine.last = nil
		recorder := front.post(body)
		if !json.Valid(recorder.Body.Bytes()) {
			t.Fatalf("the answer is not JSON: %q", recorder.Body)
		}
		q := engine.last
		if (q != nil) != (recorder.Code == http.StatusOK) {
			t.Fatalf("status %d, query %+v", recorder.Code, q)
		}
		if q != nil && (q.RequestID == "" || q.Service != "s" || time.Until(q.Deadline) > time.Second) {
			t.Fatalf("query %+v", q)
		}
	})
}
