// Package configuration tests the change log with a stand-in platform and several applications in one process.
package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
	_ "gooseberrylane.example/plugins/standard"
	"gooseberrylane.example/standins/platform"
)

// seed seeds the stand-in and the operators.
const seed = 20261204

// testTimeout ends a test that waits for a state that is never reached. No check depends on its value.
const testTimeout = 2 * time.Minute

// unreachableAddress refuses connections, as the platform's address of a VM that is cut off from the platform.
const unreachableAddress = "127.0.0.1:1"

type cluster struct {
	c        *qt.C
	ctx      context.Context
	platform *platform.Server
	members  []map[string]string
	settings map[string]any
	clock    *shiftedClock
	vms      []*vm
}

// vm is one running application.
type vm struct {
	name       string
	app        *kernel.App
	operations kinds.Operations
	platform   kinds.Platform
	log        *lines
}

// shiftedClock is the system clock with an offset that a test can change.
type shiftedClock struct{ offset atomic.Int64 }

// Now implements kernel.Clock.
func (s *shiftedClock) Now() time.Time { return time.Now().Add(time.Duration(s.offset.Load())) }

// newCluster starts a platform and reserves addresses for n VMs in three failure domains; none is started.
func newCluster(t *testing.T, n int) *cluster {
	c := qt.New(t)
	c.Logf("seed %d", seed)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	cl := &cluster{c: c, ctx: ctx, platform: platform.New("127.0.0.1:0", seed), clock: &shiftedClock{}}
	cl.settings = map[string]any{"compare_ms": 50, "start_ms": 1000, "watch_ms": 60_000, "stale_after_ms": 3_600_000, "progress_ms": 60_000}
	c.Assert(cl.platform.Start(), qt.IsNil)
	c.Cleanup(func() { c.Check(cl.platform.Stop(), qt.IsNil) })
	for i := range n {
		cl.members = append(cl.members, map[string]string{
			"name": fmt.Sprintf("vm-%d", i), "failure_domain": fmt.Sprintf("fd-%d", i%3), "peer_address": peerAddress(),
		})
	}
	return cl
}

const peerPort = 7103

var lastAddress atomic.Uint32

// peerAddress returns an address of the loopback range that only this process uses, and only once. A port of 127.0.0.1
// that is free now could be taken by an outgoing connection before the VM listens.
func peerAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+(pid>>8)%254, pid%256, 1+lastAddress.Add(1)%254, peerPort)
}

// start starts VM i with a platform address.
func (cl *cluster) start(i int, platformAddress string) *vm {
	m := cl.members[i]
	plugin := func(name string, settings any) []any {
		return []any{map[string]any{"name": name, "settings": settings}}
	}
	raw, err := json.Marshal(map[string]any{
		"vm": map[string]any{"name": m["name"], "failure_domain": m["failure_domain"]},
		"plugins": map[string]any{
			"peer":          plugin("websocket", map[string]any{"listen": m["peer_address"]}),
			"platform":      plugin("http", map[string]any{"address": platformAddress, "timeout_ms": 10_000}),
			"membership":    plugin("static", map[string]any{"members": cl.members}),
			"configuration": plugin("log", cl.settings),
		},
	})
	cl.c.Assert(err, qt.IsNil)
	loaded, err := kernel.Load(kernel.DefaultRegistry(), raw)
	cl.c.Assert(err, qt.IsNil)
	v := &vm{name: m["name"], log: newLines()}
	var membership kinds.Membership
	v.app, err = kernel.New(loaded, kernel.Options{
		Log: v.log, Clock: cl.clock, Extra: []fx.Option{fx.Populate(&v.operations, &v.platform, &membership)},
	})
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(v.app.Start(cl.ctx), qt.IsNil)
	cl.c.Cleanup(func() { cl.c.Check(v.app.Stop(context.Background()), qt.IsNil) })
	cl.vms = append(cl.vms, v)
	return v
}

func (cl *cluster) startAll() {
	for i := range cl.members {
		cl.start(i, cl.platform.Address())
	}
}

// await waits until the view of a VM satisfies a condition.
func (cl *cluster) await(v *vm, what string, done func(*core.View) bool) {
	cl.c.Helper()
	for {
		changed := v.app.State.Changed()
		if done(v.app.State.Load()) {
			return
		}
		select {
		case <-changed:
		case <-cl.ctx.Done():
			cl.c.Fatalf("%s: timed out waiting for %s; revision %d", v.name, what, v.app.State.Load().Config.Revision)
		}
	}
}

// awaitAll waits until all VMs have a revision in force and are ready.
func (cl *cluster) awaitAll(revision core.Revision) {
	cl.c.Helper()
	done := func(view *core.View) bool { return view.Ready && view.Config.Revision >= revision }
	for _, v := range cl.vms {
		cl.await(v, fmt.Sprintf("revision %d", revision), done)
	}
}

// service returns a valid service with its own upstreams.
func service(name string) *core.Service {
	upstream := func(n int) core.Upstream {
		return core.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("%s-%d", name, n)), Address: "127.0.0.1:9", Domain: core.FailureDomain(fmt.Sprintf("fd-%d", n)),
			Slots: 2, Connections: 60,
		}
	}
	return &core.Service{
		Name:    core.ServiceName(name),
		Rule:    core.Rule{DefaultDeadlineMS: 100, MaxDeadlineMS: 1000, VersionRule: core.VersionNewest},
		Groups:  []core.Group{{Name: "g", Upstreams: []core.Upstream{upstream(0), upstream(1)}}},
		Layouts: []core.Layout{{FirstVersion: 1, Shards: []core.Shard{{Name: "s", Group: "g"}}}},
	}
}

// putIntent returns an intent that adds a service.
func putIntent(name string) config.Intent {
	return config.Intent{Operator: "op", Reason: "test", Operations: []config.Operation{{PutService: service(name)}}}
}

// apply plans and confirms one new service at a VM.
func (cl *cluster) apply(v *vm, name string) config.Change {
	cl.c.Helper()
	plan, err := v.operations.Plan(cl.ctx, putIntent(name))
	cl.c.Assert(err, qt.IsNil)
	change, err := v.operations.Confirm(cl.ctx, plan.ID, "op")
	cl.c.Assert(err, qt.IsNil)
	return change
}

// retryPause is the time between two calls while the client of the platform rejects calls after failures.
const retryPause = 5 * time.Millisecond

// untilAvailable repeats a call until the platform is available.
func untilAvailable[T any](ctx context.Context, call func() (T, error)) (T, error) {
	for {
		value, err := call()
		if codeOf(err) != core.CodePlatformUnavailable || ctx.Err() != nil {
			return value, err
		}
		time.Sleep(retryPause)
	}
}

// history returns all changes, as the first VM reports them.
func (cl *cluster) history() []config.Change {
	cl.c.Helper()
	history, err := untilAvailable(cl.ctx, func() ([]config.Change, error) {
		return cl.vms[0].operations.History(cl.ctx, 0, math.MaxInt)
	})
	cl.c.Assert(err, qt.IsNil)
	return history
}

// lines collects log lines.
type lines struct {
	mu      sync.Mutex
	all     []map[string]any
	changed chan struct{}
}

func newLines() *lines { return &lines{changed: make(chan struct{})} }

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	var line map[string]any
	if err := json.Unmarshal(bytes.TrimSpace(p), &line); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, line)
	close(l.changed)
	l.changed = make(chan struct{})
	return len(p), nil
}

// events returns the lines of an event so far and a channel that is closed at the next line.
func (l *lines) events(name string) (found []map[string]any, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.all {
		if line["msg"] == name {
			found = append(found, line)
		}
	}
	return found, l.changed
}

// awaitEvent waits until a VM has logged an event and returns the lines.
func (cl *cluster) awaitEvent(v *vm, name string) []map[string]any {
	cl.c.Helper()
	for {
		found, changed := v.log.events(name)
		if len(found) > 0 {
			return found
		}
		select {
		case <-changed:
		case <-cl.ctx.Done():
			cl.c.Fatalf("%s: no event %s", v.name, name)
		}
	}
}

// checkLogs checks from the log lines alone that the revision of each VM only increased and that all VMs applied the same content for
// each revision.
func (cl *cluster) checkLogs() {
	cl.c.Helper()
	digests := make(map[float64]string)
	for _, v := range cl.vms {
		var last float64
		applied, _ := v.log.events("config_applied")
		for _, line := range applied {
			revision, digest := line["revision"].(float64), line["digest"].(string)
			cl.c.Check(revision > last, qt.IsTrue, qt.Commentf("%s went from %v to %v", v.name, last, revision))
			last = revision
			if expected := digests[revision]; expected != "" {
				cl.c.Check(digest, qt.Equals, expected, qt.Commentf("%s revision %v", v.name, revision))
			}
			digests[revision] = digest
		}
		refused, _ := v.log.events("config_change_refused")
		cl.c.Check(refused, qt.HasLen, 0)
	}
}
